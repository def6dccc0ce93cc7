"""What a router keeps of peers that are lost, or that it is cut off from."""

import functools

import pytest

from dotterelhatch.core import load
from dotterelhatch.core.load import LoadTracker, TargetLoad
from dotterelhatch.core.peersums import PeerSums
from dotterelhatch.core.rejections import RejectedRequests
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.ids import Fingerprint, RouterId, TargetId
from emulator.patterns import Pattern, RequestKind
from emulator.policies import Policy
from emulator.simulation import Simulation
from standins.server import ServerBehaviour, ServerStandIn
from tests.gateway_helpers import MODEL, open_gateway, run_async
from tests.test_gateway_intake import heartbeat

TARGET = TargetId('m-1')
LOAD = TargetLoad(64, 1000, 9000)
PEERS = tuple(RouterId(f'r{number}') for number in range(2, 5))


def tracker_of_lost_peers() -> LoadTracker:
    """Return the tracker of a router whose peers were heard at 0 s."""
    tracker = LoadTracker()
    for peer in PEERS:
        tracker.on_report(peer, {TARGET: LOAD}, 0)
    return tracker


def test_requests_of_lost_peers_run_for_ever() -> None:
    """Guards against a last router that rejects requests to idle targets.

    No peer is left whose report would make the others expire.
    """
    tracker = tracker_of_lost_peers()
    counts = []
    for tenths in range(100):
        tracker.expire(tenths / 10, is_isolated=tenths > 20)
        counts.append(tracker.total(TARGET).requests_count)
    assert counts[:50] == [192] * 50
    assert counts == sorted(counts, reverse=True)
    assert 192 > counts[65] > 0
    assert tracker.total(TARGET) == TargetLoad()


def test_half_of_the_peers_are_forgotten_before_they_are_missed() -> None:
    """Guards against a cut in which the reports of this side drop the others.

    They arrive more often than the ages are compared.
    """
    tracker = tracker_of_lost_peers()
    tracker.expire(2.0, is_isolated=False)
    tracker.on_report(PEERS[0], {TARGET: LOAD}, 2.05)
    tracker.expire(2.1, is_isolated=True)
    assert tracker.total(TARGET).requests_count == 192


def test_a_lost_peer_is_kept_while_others_are_silent_for_a_moment() -> None:
    """Guards against loads of one lost peer that hold without reports."""
    tracker = tracker_of_lost_peers()
    for peer in PEERS[1:]:
        tracker.on_report(peer, {TARGET: LOAD}, 1.9)
    tracker.expire(2.1, is_isolated=False)
    assert tracker.total(TARGET).requests_count == 128


@pytest.mark.parametrize('is_rejected', [False, True])
def test_a_router_that_is_cut_off_takes_busy_targets_for_idle(
    *, is_rejected: bool
) -> None:
    """Guards against a flood of targets that silent peers go on using.

    A request that begins late, or is rejected, shows that they do.
    """
    tracker = tracker_of_lost_peers()
    for tenths in range(100):
        tracker.expire(tenths / 10, is_isolated=tenths > 20)
    tracker.on_begun(TARGET, 0.3, 10)
    assert not tracker.total(TARGET).requests_count
    if is_rejected:
        tracker.on_rejected(TARGET, 10)
    else:
        tracker.on_begun(TARGET, 0.6, 10)
    assert tracker.total(TARGET).requests_count == 192
    tracker.expire(11.5, is_isolated=True)
    assert tracker.total(TARGET).requests_count == 96
    tracker.on_report(PEERS[0], {TARGET: TargetLoad(1)}, 12)
    tracker.expire(12, is_isolated=False)
    assert tracker.total(TARGET).requests_count == 1


def test_sums_that_nobody_reports_to_keep_their_counts() -> None:
    """Guards against reports that expire only with the next one."""
    sums = PeerSums[TargetId, TargetLoad](TargetLoad())
    sums.on_report(PEERS[0], {TARGET: LOAD}, 0)
    sums.expire(2.1)
    assert not sums.totals


def test_an_old_rejection_of_a_peer_makes_a_request_late() -> None:
    """Guards against ages above the lifetime that younger entries hide."""
    rejected = RejectedRequests()
    rejected.on_report(Fingerprint('a'), 0.0, 100)
    rejected.on_report(Fingerprint('b'), 7.0, 100)
    assert rejected.age_seconds(Fingerprint('b'), 100.5) == 7.5
    assert not rejected.age_seconds(Fingerprint('b'), 102)
    assert rejected.age_seconds(Fingerprint('a'), 102) == 2


@run_async
async def test_the_last_router_rejects_requests_to_idle_engines() -> None:
    """Guards against the same in a gateway, by its clock alone."""
    async with open_gateway((MODEL, ServerStandIn('m-1'))) as fixture:
        state = fixture.gateway.state
        lose_peers(state)
        response = await fixture.stream('/draft/1', 'r1')
        assert response.status == 429
        pass_time(state, 12)
        response = await fixture.stream('/draft/1', 'r2')
        assert response.status == 200


@pytest.mark.parametrize(
    ('tokens', 'assumed_count'), [('900,80', 192), ('900000,80', 0)]
)
def test_one_caller_makes_idle_targets_look_busy(
    tokens: str, assumed_count: int
) -> None:
    """Guards against a caller whose requests no target can take.

    Only a rejection that the own requests of the router do not explain shows
    that others use the target.
    """

    @run_async
    async def check() -> None:
        server = ServerStandIn('m-1', ServerBehaviour.SHED)
        async with open_gateway((MODEL, server)) as fixture:
            state = fixture.gateway.state
            lose_peers(state)
            pass_time(state, 12)
            await fixture.call(
                '/draft/1', 'r1', Dotterelhatch_Token_Counts=tokens
            )
            assert server.received_headers
            load_now = state.load_tracker.total(TARGET)
            assert load_now.requests_count == assumed_count

    check()


def pass_time(state: GatewayState, seconds: int) -> None:
    """Let the reports of lost peers age, however slow the machine is."""
    started_seconds = state.clock()
    for later_seconds in range(seconds):
        now_seconds = started_seconds + later_seconds
        state.clock = lambda: now_seconds
        state.expire_peer_reports()


def lose_peers(state: GatewayState) -> None:
    """Apply the last heartbeats of three peers, and stop the clock."""
    now_seconds = state.clock()
    state.clock = lambda: now_seconds
    for peer in PEERS:
        state.peers.on_heartbeat(heartbeat(peer), now_seconds)
        state.load_tracker.on_report(peer, {TARGET: LOAD}, now_seconds)


class CutSimulation(Simulation):
    """A fleet of which one router is cut off from its peers.

    All of them serve on.
    """

    cut_seconds = (6.0, 26.0)

    def _send_heartbeats(self, router: Policy) -> None:
        first, *others = self._routers
        start, end = self.cut_seconds
        if not start <= self._now_seconds < end:
            super()._send_heartbeats(router)
            return
        heard = [one for one in others if one is not router]
        router.send_heartbeats(
            [] if router is first else heard, self._now_seconds
        )
        self._schedule(
            self._heartbeat_seconds,
            functools.partial(self._send_heartbeats, router),
        )


@pytest.mark.parametrize('seed', [1, 2])
def test_a_cut_off_router_floods_the_engines(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against loads that are given up while the peers serve on.

    Twice the requests arrive that the slots of the engines can run. With loads
    that are held for the whole cut, no router takes more of them than before.
    """
    given_up_count = most_waiting(seed)
    monkeypatch.setattr(load, '_ISOLATED_LIFETIME_SECONDS', 60)
    assert given_up_count <= 1.1 * most_waiting(seed)


def most_waiting(seed: int) -> int:
    """Return the most requests that wait for a slot in a cut of 20 s."""
    chat = RequestKind('chat', 1, 172, 300, 600, 8, 0.5, 12, 1)
    pattern = Pattern(requests_per_second=120, kinds=(chat,))
    simulation = CutSimulation(pattern, 'gateway', seed)
    counts: list[int] = []

    def note(second: int) -> None:
        counts.append(sum(len(one.waiting) for one in simulation.engines))

    simulation.run(26, note)
    return max(counts[8:])
