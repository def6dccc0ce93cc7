"""How often heartbeats go to each failure domain, and what they carry."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.deferredreports import DeferredReports
from dotterelhatch.core.peers import (
    Heartbeat,
    PeerDirectory,
    heartbeat_interval_seconds,
    heartbeat_plan,
    longest_interval_seconds,
    receive_pause_seconds,
)
from dotterelhatch.core.prompts import PromptPart, SentPrompt
from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.heartbeatrounds import HeartbeatRounds
from dotterelhatch.gateway.heartbeats import decode_heartbeat
from dotterelhatch.ids import FailureDomain, Incarnation, RouterId, TargetId
from dotterelhatch.platform.wire import PlatformWireFormat
from tests.gateway_helpers import gateway_settings

# A peer that is silent for longer counts as lost, and its reports expire.
EXPIRY_SECONDS = 2.0
# Lag of sender and receiver, and transit.
LAG_SECONDS = 0.15


def peers_by_domain(routers_count: int, domains_count: int) -> tuple[int, int]:
    """Return the peers of a router in its failure domain and elsewhere."""
    near_count = routers_count // domains_count - 1
    return near_count, routers_count - 1 - near_count


@pytest.mark.parametrize(
    'routers_count, domains_count, most_per_second',
    [(4, 2, 30), (12, 3, 110), (36, 3, 110), (63, 4, 130), (78, 5, 155)],
)
def test_two_heartbeats_in_a_row_may_be_lost(
    routers_count: int, domains_count: int, most_per_second: float
) -> None:
    """Guards against peers that are taken for lost with few heartbeats.

    Their loads would be left out, and their targets would get more requests
    than they take. Each router receives as many datagrams as it sends, as all
    use the same plan.
    """
    near_count, elsewhere_count = peers_by_domain(routers_count, domains_count)
    plan = heartbeat_plan(near_count, elsewhere_count)
    age_seconds = plan.interval_seconds * plan.elsewhere_period
    assert 3 * age_seconds + LAG_SECONDS < EXPIRY_SECONDS
    # Loads are of use for a second.
    assert age_seconds + LAG_SECONDS < 1
    sent_per_second = plan.sent_per_second(near_count, elsewhere_count)
    assert sent_per_second <= most_per_second


@pytest.mark.parametrize('routers_count', [1, 4, 20])
def test_small_fleets_send_all_heartbeats_to_all(routers_count: int) -> None:
    """Guards against small fleets that place requests by older loads."""
    for near_count in range(routers_count):
        elsewhere_count = routers_count - 1 - near_count
        plan = heartbeat_plan(near_count, elsewhere_count)
        assert plan.elsewhere_period == 1
        assert plan.interval_seconds == heartbeat_interval_seconds(
            routers_count - 1
        )
    assert not receive_pause_seconds(routers_count - 1)


@given(st.integers(0, 400), st.integers(0, 400))
def test_the_plan_is_never_worse(near_count: int, elsewhere_count: int) -> None:
    """Guards against a plan with more datagrams or older loads than allowed.

    With 373 routers, no plan that outlasts the loss of a heartbeat has fewer
    datagrams, so that all peers get all heartbeats at the former rate.
    """
    former_seconds = heartbeat_interval_seconds(near_count + elsewhere_count)
    plan = heartbeat_plan(near_count, elsewhere_count)
    age_seconds = plan.interval_seconds * plan.elsewhere_period
    assert plan.interval_seconds <= former_seconds
    assert age_seconds <= max(0.6 + 1e-9, former_seconds)
    former_per_second = (near_count + elsewhere_count) / former_seconds
    sent_per_second = plan.sent_per_second(near_count, elsewhere_count)
    assert sent_per_second <= former_per_second + 1e-9


def test_a_very_large_fleet_keeps_its_rate() -> None:
    """Guards against loads of 373 routers that become older than before."""
    plan = heartbeat_plan(*peers_by_domain(373, 5))
    assert plan.elsewhere_period == 1
    assert plan.interval_seconds == heartbeat_interval_seconds(372)


def sent_prompt(number: int) -> SentPrompt:
    """Return the report of a prompt."""
    return SentPrompt(TargetId('m'), (PromptPart(str(number), 1),), 9)


def heartbeat(number: int, domain: str, **changes: object) -> Heartbeat:
    """Return the heartbeat of a router."""
    fields: dict[str, object] = {
        'router': RouterId(f'r{number}'),
        'incarnation': Incarnation(1),
        'sequence': 1,
        'failure_domain': FailureDomain(domain),
        'caller_address': '',
        'control_address': '',
        'heartbeat_address': f'10.0.0.{number}:1',
        'is_ready': True,
        'is_accepting': True,
        'snapshot_versions': {},
        'loads': {},
    }
    return Heartbeat(**(fields | changes))  # type: ignore[arg-type]


def make_rounds(
    routers_count: int, domains_count: int = 3, **settings: object
) -> HeartbeatRounds:
    """Return the rounds of a router that has heard all its peers."""
    peers = PeerDirectory(RouterId('r0'), '10.0.0.0:1')
    for number in range(1, routers_count):
        peers.on_heartbeat(heartbeat(number, f'd{number % domains_count}'), 0.0)
    return HeartbeatRounds(
        gateway_settings('r0', failure_domain='d0', **settings), peers
    )


def test_all_reports_reach_the_other_failure_domains() -> None:
    """Guards against prompts and rejections that routers elsewhere miss.

    Each heartbeat lists what happened since the one before, and two of three
    are not sent to other failure domains.
    """
    rounds = make_rounds(36)
    now_seconds = 1.0
    prompts: list[SentPrompt] = []
    rejected: dict[str, float] = {}
    for number in range(12):
        now_seconds += rounds.next_interval_seconds(1.0)
        is_to_all = rounds.is_due_elsewhere(now_seconds)
        recipients = rounds.recipients(now_seconds, is_to_all=is_to_all)
        assert len(recipients.near) == 11
        assert len(recipients.elsewhere) == (24 if is_to_all else 0)
        sent = rounds.on_sent(
            heartbeat(
                0,
                'd0',
                sent_prompts=(sent_prompt(number),),
                refused=((str(number), 0.5),),
            ),
            now_seconds,
            is_to_all=is_to_all,
        )
        if is_to_all:
            prompts.extend(sent.sent_prompts)
            for name, age_seconds in sent.refused:
                rejected[name] = now_seconds - age_seconds
    assert prompts == [sent_prompt(number) for number in range(10)]
    assert list(rejected) == [str(number) for number in range(10)]
    interval_seconds = rounds.next_interval_seconds(1.0)
    for number in range(10):
        arrived_seconds = 1.0 + (number + 1) * interval_seconds - 0.5
        assert rejected[str(number)] == pytest.approx(arrived_seconds, abs=0.01)


def test_news_of_crashes_go_to_all_routers() -> None:
    """Guards against requests that crash targets of another failure domain.

    All heartbeats of two seconds go to all, as the first may be lost.
    """
    rounds = make_rounds(36)
    rounds.next_interval_seconds(1.0)
    rounds.on_sent(heartbeat(0, 'd0'), 1.0, is_to_all=True)
    assert not rounds.is_due_elsewhere(1.1)
    rounds.on_news(1.1)
    assert all(rounds.is_due_elsewhere(1.1 + age) for age in (0, 1, 1.9))
    assert not rounds.is_due_elsewhere(3.2)


def test_reports_are_sent_when_a_fleet_becomes_small() -> None:
    """Guards against reports that are kept as the plan changes.

    A failure domain is lost between two heartbeats to other domains.
    """
    rounds = make_rounds(21)
    rounds.next_interval_seconds(1.0)
    rounds.on_sent(heartbeat(0, 'd0'), 1.0, is_to_all=True)
    late = heartbeat(0, 'd0', sent_prompts=(sent_prompt(1),))
    rounds.on_sent(late, 1.1, is_to_all=False)
    rounds.next_interval_seconds(10.0)
    assert rounds.is_due_elsewhere(10.0)
    recipients = rounds.recipients(10.0, is_to_all=True)
    assert (len(recipients.near), len(recipients.elsewhere)) == (6, 14)
    sent = rounds.on_sent(heartbeat(0, 'd0'), 10.0, is_to_all=True)
    assert sent.sent_prompts == (sent_prompt(1),)


def test_the_setting_turns_it_off() -> None:
    """Guards against a deployment that can't return to the former rate."""
    rounds = make_rounds(36, has_fewer_heartbeats_elsewhere=False)
    interval_seconds = rounds.next_interval_seconds(1.0)
    assert interval_seconds == heartbeat_interval_seconds(35)
    for _ in range(3):
        assert rounds.is_due_elsewhere(1.0)
        recipients = rounds.recipients(1.0, is_to_all=True)
        assert len(recipients.near) + len(recipients.elsewhere) == 35
        rounds.on_sent(heartbeat(0, 'd0'), 1.0, is_to_all=True)


def test_deferred_reports_are_limited() -> None:
    """Guards against a heartbeat to other domains that is too long."""
    deferred = DeferredReports()
    prompt = SentPrompt(
        TargetId('m'), tuple(PromptPart(str(one), 1) for one in range(60)), 9
    )
    for number in range(30):
        names = [(f'{number}-{one}', 0.0) for one in range(512)]
        deferred.add([prompt] * 16, names, 1.0)
    assert sum(len(one.parts) + 1 for one in deferred.take_prompts()) <= 1_000
    taken = [len(deferred.take_rejected(2.0)) for _ in range(17)]
    assert taken == [512] * 16 + [0]
    assert deferred.is_empty


def test_a_gateway_sends_every_third_heartbeat_elsewhere() -> None:
    """Guards against window totals that peers elsewhere don't get in time.

    The totals are in some heartbeats only, and others go elsewhere.
    """
    gateway = Gateway(
        gateway_settings('r0', failure_domain='d0'), PlatformWireFormat()
    )
    now_seconds = gateway.state.clock()
    for number in range(1, 36):
        gateway.state.peers.on_heartbeat(
            heartbeat(number, f'd{number % 3}'), now_seconds
        )
    gateway._rounds.next_interval_seconds(now_seconds)
    sent: list[tuple[bytes, str]] = []
    gateway._heartbeats.send = (  # type: ignore[method-assign]
        lambda datagram, address: sent.append((datagram, address))
    )
    counts = []
    for _ in range(7):
        sent.clear()
        gateway._send_heartbeats_to(
            is_to_all=gateway._rounds.is_due_elsewhere(now_seconds)
        )
        counts.append(len(sent))
        elsewhere = [one for one, address in sent if address == '10.0.0.1:1']
        assert all(decode_heartbeat(one).totals for one in elsewhere)
    assert counts == [35, 11, 11, 35, 11, 11, 35]


def test_peers_elsewhere_are_not_taken_for_silent() -> None:
    """Guards against requests that are not passed on in a large fleet.

    A flooded router passes requests on to peers that were heard within three
    intervals. Those of peers in other failure domains are longer.
    """
    for routers_count in (4, 20, 36, 63, 78, 373):
        near_count, elsewhere_count = peers_by_domain(routers_count, 3)
        plan = heartbeat_plan(near_count, elsewhere_count)
        longest_seconds = longest_interval_seconds(routers_count - 1)
        age_seconds = plan.interval_seconds * plan.elsewhere_period
        assert longest_seconds >= age_seconds - 1e-9
        if routers_count <= 20:
            assert longest_seconds == age_seconds


def test_bytes_of_heartbeats_are_counted_by_failure_domain() -> None:
    """Guards against traffic between failure domains that nobody sees."""
    gateway = Gateway(
        gateway_settings('r0', failure_domain='d0'), PlatformWireFormat()
    )
    now_seconds = gateway.state.clock()
    for number in range(1, 4):
        gateway.state.peers.on_heartbeat(
            heartbeat(number, 'd0' if number == 1 else 'd1'), now_seconds
        )
    sizes: list[int] = []
    gateway._heartbeats.send = (  # type: ignore[method-assign]
        lambda datagram, address: sizes.append(len(datagram))
    )
    gateway._send_heartbeats_to(is_to_all=True)
    assert len(sizes) == 3
    counted = gateway.state.metrics.sent_bytes
    assert counted.labels('heartbeat', 'own')._value.get() == sizes[0]
    assert counted.labels('heartbeat', 'other')._value.get() == sum(sizes[1:])


def test_bytes_are_counted_by_cause_and_failure_domain() -> None:
    """Guards against requests passed on that count for the wrong domain."""
    gateway = Gateway(
        gateway_settings('r0', failure_domain='d0'), PlatformWireFormat()
    )
    state = gateway.state
    for number, domain in ((1, 'd0'), (2, 'd1')):
        state.peers.on_heartbeat(
            heartbeat(number, domain, caller_address=f'c{number}'),
            state.clock(),
        )
    intake = gateway._handler.intake
    for number, sent_bytes in ((1, 10), (2, 200), (3, 3000)):
        intake.on_passed(f'c{number}', sent_bytes)
    counted = {
        domain: state.metrics.sent_bytes.labels('passed_request', domain)
        for domain in ('own', 'other', 'unknown')
    }
    assert {
        domain: counter._value.get() for domain, counter in counted.items()
    } == {'own': 10, 'other': 200, 'unknown': 3000}
