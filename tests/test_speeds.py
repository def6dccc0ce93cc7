"""Tests of the speed of targets that is learned from the requests."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.load import LoadTracker, TargetLoad
from dotterelhatch.core.peers import WindowTotals
from dotterelhatch.core.registry import (
    TargetEntry,
    TargetRegistry,
    TargetState,
)
from dotterelhatch.core.balancer import (
    Balancer,
    BalancerExtensions,
    BalancerSettings,
    Placement,
    Rejection,
)
from dotterelhatch.core.speeds import (
    FIRST_EVENT_SECONDS,
    SpeedReport,
    TargetSpeeds,
)
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.gateway.lag import LoopLag
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.ids import (
    FailureDomain,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from tests.gateway_helpers import (
    ServerStandIn,
    gateway_settings,
    open_gateway,
    run_async,
)
from tests.test_balancer import make_request, prompt

MODEL = ServiceId('usta-model')
PLAIN = ServiceId('siparis-app')
SLOTS = {MODEL: 64, PLAIN: 6}
USUAL_RATE = 36_700.0
REPORT_SECONDS = 1.0
ORGANISATIONS = [OrganisationId(f'o{index}') for index in range(10)]


def _entry(name: str, service: ServiceId = MODEL) -> TargetEntry:
    return TargetEntry(
        id=TargetId(name),
        service=service,
        address='10.0.0.1:80',
        failure_domain=FailureDomain('konya'),
        state=TargetState.READY,
        slots_count=SLOTS[service],
        started_ms=1,
    )


class Fleet:
    """Routers that learn from targets of given speeds on a virtual clock.

    Each target gets the same number of requests a second, which go to the
    routers in turn. Its speed multiplies the usual rate.
    """

    def __init__(self, routers_count: int, speeds: Sequence[float]) -> None:
        """Start without figures."""
        self.now_seconds = 100.0
        self.rng = random.Random(1)
        self.speeds = {f'm{index}': one for index, one in enumerate(speeds)}
        self.entries = {name: _entry(name) for name in self.speeds}
        self.routers = [TargetSpeeds(self._find) for _ in range(routers_count)]
        self.reports: list[tuple[SpeedReport, ...]] = []

    def _find(self, target: TargetId) -> TargetEntry | None:
        return self.entries.get(target)

    def run(
        self,
        seconds: float,
        requests_per_second: float = 10,
        names: Iterable[str] = (),
        running_count: int = 20,
    ) -> None:
        """Send requests to some or all targets and exchange reports."""
        steps_count = round(seconds * requests_per_second)
        for _ in range(steps_count):
            self.now_seconds += 1 / requests_per_second
            for name in names or self.speeds:
                self.request(name, running_count)
            self.exchange()

    def request(
        self,
        name: str,
        running_count: int = 20,
        organisation: OrganisationId | None = None,
        claimed_ratio: float = 1.0,
    ) -> None:
        """Let a random router measure a request."""
        tokens = self.rng.choice((500, 2400, 9000, 15_000))
        seconds = tokens / USUAL_RATE / self.speeds[name]
        self.rng.choice(self.routers).on_first_event(
            self.entries[name],
            organisation or self.rng.choice(ORGANISATIONS),
            round(tokens * claimed_ratio),
            running_count,
            FIRST_EVENT_SECONDS + seconds * self.rng.uniform(0.6, 1.4),
            self.now_seconds,
        )

    def exchange(self) -> None:
        """Send the reports that are due."""
        for index, router in enumerate(self.routers):
            reports = router.report(self.now_seconds)
            if reports:
                self.reports.append(reports)
            for other in self.routers:
                if other is not router:
                    other.on_report(
                        RouterId(f'r{index}'), reports, self.now_seconds
                    )

    def rate(
        self, name: str, running_count: int = 20, router: int = 0
    ) -> float:
        """Return the rate that a router assumes, relative to the usual one."""
        rate = self.routers[router].prompt_tokens_per_second(
            self.entries[name], running_count
        )
        assert rate is not None
        return rate / USUAL_RATE


def test_rates_of_uneven_targets_are_learned_by_all_routers() -> None:
    """Guards against waits that are off by the factor of a target's speed.

    Each of 60 routers sends a request to each target every six seconds only,
    which tells it nothing without the figures of the others.
    """
    fleet = Fleet(60, [0.6, 1.0, 1.6])
    fleet.run(15)
    for router in (0, 30, 59):
        for name, speed in fleet.speeds.items():
            assert fleet.rate(name, router=router) == pytest.approx(
                speed, rel=0.2
            )


def test_no_rate_is_given_without_enough_figures() -> None:
    """Guards against placements that follow one or two measurements."""
    fleet = Fleet(1, [1.0])
    fleet.request('m0')
    fleet.exchange()
    entry = fleet.entries['m0']
    assert fleet.routers[0].prompt_tokens_per_second(entry, 1) is None


def test_target_without_figures_has_the_rate_of_its_service() -> None:
    """Guards against the constant rate for a target that has been added."""
    fleet = Fleet(4, [0.5, 0.5, 1.0])
    fleet.run(10, names=('m0', 'm1'))
    assert fleet.rate('m2') == pytest.approx(0.5, rel=0.2)


def test_estimate_follows_a_target_whose_speed_halves() -> None:
    """Guards against queues at a target that has become slow."""
    fleet = Fleet(10, [1.0, 1.0, 1.0, 1.0])
    fleet.run(15)
    fleet.speeds['m0'] = 0.5
    fleet.run(8)
    assert fleet.rate('m0') < 0.65
    assert fleet.rate('m1') > 0.85


def test_estimate_follows_a_target_that_recovers() -> None:
    """Guards against a target that stays unused once it was slow."""
    fleet = Fleet(10, [0.3, 1.0, 1.0, 1.0])
    fleet.run(15)
    fleet.speeds['m0'] = 1.0
    fleet.run(15, requests_per_second=4)
    assert fleet.rate('m0') > 0.75


def test_slow_target_without_requests_is_tried_again() -> None:
    """Guards against a target that gets no requests and so stays slow."""
    fleet = Fleet(10, [0.3, 1.0, 1.0, 1.0])
    fleet.run(15)
    fleet.run(20, names=('m1', 'm2', 'm3'))
    assert fleet.rate('m0') > 0.75


def test_figures_are_forgotten_when_a_target_starts_again() -> None:
    """Guards against the speed of a former start, also from late reports."""
    fleet = Fleet(2, [0.4, 1.0, 1.0, 1.0])
    fleet.run(15)
    restarted = replace(fleet.entries['m0'], started_ms=2)
    fleet.entries['m0'] = restarted
    late = SpeedReport(TargetId('m0'), 1, False, ((1, 400, 1000),))
    fleet.now_seconds += 1
    fleet.routers[0].on_report(RouterId('r9'), (late,), fleet.now_seconds)
    assert fleet.rate('m0') > 0.75


def test_router_that_starts_learns_from_its_peers_within_a_report() -> None:
    """Guards against a restarted router that predicts with the constant."""
    fleet = Fleet(10, [0.5, 0.5, 0.5])
    fleet.run(10)
    fleet.routers[0] = TargetSpeeds(fleet._find)
    fleet.run(REPORT_SECONDS + 0.2, requests_per_second=20)
    assert fleet.rate('m0') == pytest.approx(0.5, rel=0.3)


def test_figures_of_a_lost_router_fade() -> None:
    """Guards against the view of a router that is gone, kept for good.

    The lost router was suspended at times and measured its own delay.
    """
    fleet = Fleet(3, [1.0, 1.0])
    fleet.run(10)
    slow = SpeedReport(TargetId('m0'), 1, False, ((1, 20_000, 1500),))
    for _ in range(5):
        fleet.routers[0].on_report(RouterId('r9'), (slow,), fleet.now_seconds)
        fleet.run(1)
    disturbed = fleet.rate('m0')
    fleet.run(20)
    assert disturbed < fleet.rate('m0')
    assert fleet.rate('m0') == pytest.approx(1.0, rel=0.2)


def test_one_router_changes_an_estimate_only_within_a_bound() -> None:
    """Guards against a router that measures its own lack of processor time."""
    fleet = Fleet(20, [1.0, 1.0, 1.0])
    fleet.run(10)
    wrong = SpeedReport(TargetId('m0'), 1, False, ((1, 10**7, 10**9),))
    for _ in range(10):
        fleet.routers[0].on_report(RouterId('r99'), (wrong,), fleet.now_seconds)
        fleet.run(1)
    assert fleet.rate('m0') > 0.6


@pytest.mark.parametrize('claimed_ratio', [0.1, 10.0])
def test_one_organisation_changes_an_estimate_only_within_a_bound(
    claimed_ratio: float,
) -> None:
    """Guards against an organisation that misstates the length of prompts.

    It sends two thirds of the requests of a target.
    """
    fleet = Fleet(4, [1.0, 1.0, 1.0, 1.0])
    fleet.run(10)
    for _ in range(200):
        fleet.now_seconds += 0.1
        for _ in range(2):
            fleet.request('m0', 20, OrganisationId('liar'), claimed_ratio)
        for name in fleet.speeds:
            fleet.request(name)
        fleet.exchange()
    assert 0.5 < fleet.rate('m0') < 2.0
    assert fleet.rate('m1') == pytest.approx(1.0, rel=0.25)


def test_hung_target_does_not_dominate_the_sums() -> None:
    """Guards against one request that took its whole deadline."""
    fleet = Fleet(2, [1.0, 1.0])
    fleet.run(10)
    fleet.routers[0].on_first_event(
        fleet.entries['m0'], ORGANISATIONS[0], 3000, 20, 60.0, fleet.now_seconds
    )
    fleet.run(1, names=('m1',))
    assert fleet.rate('m0') > 0.7


def test_rate_falls_with_running_requests() -> None:
    """Guards against waits that ignore how busy an engine is."""
    fleet = Fleet(4, [1.0, 1.0])
    for _ in range(20):
        fleet.speeds = {'m0': 1.0, 'm1': 1.0}
        fleet.run(0.5, running_count=10)
        fleet.speeds = {'m0': 0.5, 'm1': 0.5}
        fleet.run(0.5, running_count=60)
    assert fleet.rate('m0', 10) > 1.5 * fleet.rate('m0', 60)


def test_figures_of_unknown_targets_are_not_kept() -> None:
    """Guards against memory that grows with what peers send."""
    speeds = TargetSpeeds(lambda _: None)
    reports = [
        SpeedReport(TargetId(f'x{index}'), 1, False, ((0, 9, 9),))
        for index in range(1000)
    ]
    speeds.on_report(RouterId('r2'), reports, 1.0)
    assert not speeds._records


@given(
    st.lists(
        st.tuples(
            st.integers(0, 10**17),
            st.integers(0, 10**17),
            st.integers(0, 10**17),
        ),
        max_size=9,
    ),
    st.booleans(),
)
def test_any_report_leaves_a_usable_rate(figures, is_plain) -> None:
    """Guards against divisions by zero and rates that are no numbers."""
    fleet = Fleet(1, [1.0])
    router = fleet.routers[0]
    report = SpeedReport(TargetId('m0'), 1, is_plain, tuple(figures))
    for _ in range(10):
        fleet.now_seconds += 1
        router.on_report(RouterId('r2'), (report,), fleet.now_seconds)
        router.report(fleet.now_seconds)
    entry = fleet.entries['m0']
    for rate in (
        router.prompt_tokens_per_second(entry, 1),
        router.plain_seconds(entry, 1),
    ):
        assert rate is None or 0 < rate < float('inf')
    assert router.good_concurrency(entry) >= 1


def test_reports_are_sent_once_a_second_for_targets_with_new_figures() -> None:
    """Guards against heartbeats that repeat what the peers know."""
    fleet = Fleet(1, [1.0, 1.0])
    router = fleet.routers[0]
    fleet.request('m1')
    (report,) = router.report(100.0)
    assert report.target == 'm1'
    fleet.request('m0')
    assert not router.report(100.9)
    assert [one.target for one in router.report(101.0)] == ['m0']
    assert not router.report(102.0)


def test_long_ids_are_reported_in_turn() -> None:
    """Guards against reports that do not fit into a datagram."""
    entries = {f'{index:0>900}': None for index in range(20)}
    known = {name: _entry(name) for name in entries}
    speeds = TargetSpeeds(known.get)  # type: ignore[arg-type]
    for entry in known.values():
        speeds.on_first_event(entry, None, 1000, 1, 0.1, 1.0)
    reported: list[TargetId] = []
    for second in range(4):
        reports = speeds.report(1.0 + second)
        assert sum(len(one.target) for one in reports) <= 8192
        reported.extend(one.target for one in reports)
    assert sorted(reported) == sorted(known)


def _observe_plain(
    speeds: TargetSpeeds, entry: TargetEntry, seconds: Sequence[float]
) -> None:
    """Measure requests with the time that each concurrency takes."""
    now_seconds = 1.0
    for index in range(200):
        now_seconds += 0.1
        for count, one in enumerate(seconds, 1):
            organisation = ORGANISATIONS[index % len(ORGANISATIONS)]
            speeds.on_plain_response(
                entry, organisation, count, one, now_seconds
            )
        speeds.report(now_seconds)


def test_plain_target_that_slows_down_has_a_lower_concurrency() -> None:
    """Guards against requests that only make a plain service slower.

    With 5 requests at a time, the service takes three times as long.
    """
    entry = _entry('p0', PLAIN)
    speeds = TargetSpeeds({TargetId('p0'): entry}.get)
    _observe_plain(speeds, entry, (0.06, 0.06, 0.06, 0.07, 0.18, 0.2))
    assert speeds.good_concurrency(entry) == 4
    nearly_full = speeds.plain_seconds(entry, 6)
    half_full = speeds.plain_seconds(entry, 3)
    assert nearly_full is not None and half_full is not None
    assert half_full == pytest.approx(0.06, rel=0.25)
    assert nearly_full > 2 * half_full


def test_steady_plain_target_uses_all_its_slots() -> None:
    """Guards against a capacity that is lowered without need."""
    entry = _entry('p0', PLAIN)
    speeds = TargetSpeeds({TargetId('p0'): entry}.get)
    _observe_plain(speeds, entry, (0.06,) * 6)
    assert speeds.good_concurrency(entry) == 6


def test_change_of_a_rate_is_noted_once() -> None:
    """Guards against a log line for each refresh of an estimate."""
    fleet = Fleet(1, [1.0, 1.0, 1.0])
    fleet.run(10)
    assert not fleet.routers[0].take_changes()
    fleet.speeds['m0'] = 0.4
    fleet.run(20)
    changes = fleet.routers[0].take_changes()
    assert {change.target for change in changes} == {'m0'}
    assert len(changes) <= 2


def _gateway_state(*, learns: bool) -> GatewayState:
    settings = gateway_settings(learns_target_speeds=learns)
    state = GatewayState(settings, random.Random(1), lambda: 100.0)
    state.apply_targets([_entry('m0')], None)
    return state


@pytest.mark.parametrize('learns', [False, True])
def test_reports_are_applied_where_the_setting_is_on(*, learns: bool) -> None:
    """Guards against figures of peers that change a deployment without it."""
    state = _gateway_state(learns=learns)
    report = SpeedReport(TargetId('m0'), 1, False, ((0, 60_000, 3000),))
    totals = WindowTotals(target_speeds=(report,))
    for number in range(20):
        state.on_totals(RouterId(f'r{number}'), totals)
    assert not state.report_target_speeds(100.0)
    rate = state.target_speeds.prompt_tokens_per_second(_entry('m0'), 1)
    assert (rate is not None) == learns


def test_totals_of_a_former_build_change_nothing() -> None:
    """Guards against a rollout in which reports without the field fail."""
    state = _gateway_state(learns=True)
    state.on_totals(RouterId('r2'), WindowTotals())
    assert not state.report_target_speeds(100.0)
    assert not state.target_speeds.learned_count


def test_learned_rates_are_exported() -> None:
    """Guards against a speed that operators cannot see."""
    state = _gateway_state(learns=True)
    for _ in range(60):
        state.target_speeds.on_first_event(
            _entry('m0'), None, 8000, 10, 0.24, 100.0
        )
    assert state.report_target_speeds(100.0)
    rendered = state.metrics.render().decode()
    assert 'learned_targets 1.0' in rendered
    assert 'learned_rate{service="usta-model",utilisation="1/4"}' in rendered


@run_async
async def test_gateway_learns_from_its_responses() -> None:
    """Guards against figures that the request path does not add.

    Errors of a plain service, which may be fast, are not counted.
    """
    servers = (PLAIN, ServerStandIn('p-1')), (MODEL, ServerStandIn('m-1'))
    async with open_gateway(*servers) as fixture:
        state = fixture.gateway.state
        state.learns_target_speeds = True
        # Stays at zero, so that a busy machine does not change the result.
        state.loop_lag = LoopLag()
        assert (await fixture.call('/lookup/a', 'r1')).status == 200
        assert (await fixture.stream('/draft/a', 'r2')).status == 200
        reports = state.report_target_speeds(state.clock())
    figures = {one.target: one for one in reports}
    assert {'p-1': True, 'm-1': False} == {
        name: one.is_plain for name, one in figures.items()
    }
    assert figures[TargetId('p-1')].figures[0][:2] == (0, 1000)


class _Balanced:
    """A balancer with or without learned speeds."""

    def __init__(self, speeds: TargetSpeeds | None, registry: TargetRegistry):
        self.loads = LoadTracker()
        self.balancer = Balancer(
            BalancerSettings(FailureDomain('konya')),
            registry,
            self.loads,
            TargetHealth(),
            TargetLimits(RouterId('r1'), dict),
            random.Random(1),
            BalancerExtensions(speeds=speeds),
        )

    def place(self, own_tokens: int, number: int) -> Placement | Rejection:
        one = prompt(0, own_tokens, number)
        return self.balancer.place(make_request(one), (), 100.0)


def _learned_registry(
    *speeds: float,
) -> tuple[TargetSpeeds, TargetRegistry]:
    fleet = Fleet(1, speeds)
    registry = TargetRegistry()
    registry.apply(list(fleet.entries.values()), 0)
    fleet.run(15)
    return fleet.routers[0], registry


def test_delay_of_a_router_does_not_make_its_targets_look_slow() -> None:
    """Guards against stale loads that look like slow engines.

    Each request waits for 0.15 s behind others that are not reported yet.
    Half of that is added to predicted waits, and none to the time of reading.
    """
    entry = _entry('m0')
    speeds = TargetSpeeds({TargetId('m0'): entry}.get)
    rng = random.Random(1)
    for step in range(300):
        tokens = rng.choice((500, 2400, 9000, 14_000))
        seconds = FIRST_EVENT_SECONDS + tokens / USUAL_RATE
        speeds.on_first_event(
            entry,
            rng.choice(ORGANISATIONS),
            tokens,
            20,
            seconds + rng.uniform(0.1, 0.2),
            step / 10,
        )
        speeds.report(step / 10)
    rate = speeds.prompt_tokens_per_second(entry, 20)
    assert rate == pytest.approx(USUAL_RATE, rel=0.25)
    assert speeds.unseen_seconds(entry) == pytest.approx(0.075, rel=0.4)


def test_predicted_wait_follows_the_speed_of_the_target() -> None:
    """Guards against requests that are accepted and then come late."""
    speeds, registry = _learned_registry(0.6)
    fixture = _Balanced(speeds, registry)
    fixture.loads.add(TargetId('m0'), TargetLoad(5, 4000, 9000))
    chosen = fixture.place(2900, 0)
    assert isinstance(chosen, Placement)
    assert chosen.wait_seconds == pytest.approx(
        4000 / USUAL_RATE / 0.6, rel=0.25
    )


def test_more_prompts_go_to_a_faster_target() -> None:
    """Guards against a queue at the slow target while a fast one is idle."""
    speeds, registry = _learned_registry(0.6, 1.6)
    fixture = _Balanced(speeds, registry)
    placed = {'m0': 0, 'm1': 0}
    for number in range(8):
        chosen = fixture.place(2900, number)
        if isinstance(chosen, Placement):
            placed[chosen.entry.id] += 1
            fixture.loads.start(chosen.entry.id, chosen.load, 100.0)
    assert placed['m1'] > placed['m0']


def test_decisions_without_the_setting_are_as_before() -> None:
    """Guards against a deployment that is served otherwise than before.

    The same requests are placed with the setting off, and with it on but no
    figures; both use the constant rate.
    """
    _, registry = _learned_registry(0.6, 1.0, 1.6)
    fixtures = [
        _Balanced(None, registry),
        _Balanced(TargetSpeeds(registry.find), registry),
    ]
    for number in range(30):
        first, second = (one.place(2900, number) for one in fixtures)
        assert first == second
        if isinstance(first, Placement):
            for one in fixtures:
                one.loads.start(first.entry.id, first.load, 100.0)
