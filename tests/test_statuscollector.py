"""Figures of other routers while somebody watches."""

from collections import Counter

from dotterelhatch.core.events import SendFrame
from dotterelhatch.core.messages import (
    RequestCount,
    SlotsInUse,
    StatusReport,
    StatusRequest,
)
from dotterelhatch.core.statuscollector import StatusCollector
from dotterelhatch.ids import OrganisationId, RouterId, TargetId
from dotterelhatch.status import FleetStatus
from dotterelhatch.statusview import build_status
from tests.fakes import MODEL, FakeFleet, fleet_config

A, B, C = (RouterId(name) for name in 'abc')
ORG = OrganisationId('org')
TARGET = TargetId('target')
REPORT = StatusReport(
    (SlotsInUse(TARGET, 3),), (RequestCount(MODEL, ORG, 5, 2),)
)
OWN = RequestCount(MODEL, ORG, 1, 1)


class CountingFleet(FakeFleet):
    """Counts the messages that exist only while somebody watches."""

    def __post_init__(self) -> None:
        self.asked: Counter[RouterId] = Counter()
        super().__post_init__()

    def _carry_out(self, name: RouterId, action: object) -> None:
        if isinstance(action, SendFrame):
            self.asked[name] += sum(
                isinstance(one, StatusRequest) for one in action.frame.messages
            )
        super()._carry_out(name, action)


def status_of(fleet: FakeFleet, name: RouterId) -> FleetStatus:
    node = fleet.nodes[name]
    node.status_collector.on_status_viewed(fleet.now_seconds)
    return build_status(node, fleet.now_seconds, None, None)


def test_every_router_shows_the_same_figures() -> None:
    """Guards against a screen that depends on the router that serves it."""
    fleet = FakeFleet(fleet_config({'large': 1.0, 'idle': 1.0}), seed=4)
    fleet.run(3)
    for index in range(60):
        fleet.request(RouterId(f'router-{index % 2}'), 'large', 1e6)
    fleet.run(2)
    for name in fleet.nodes:
        status_of(fleet, name)
    fleet.run(3)
    for watching in fleet.nodes:
        status = status_of(fleet, watching)
        used = {
            row.target: row.in_use.value for row in status.services[0].targets
        }
        assert used == fleet.running_by_target
        large, idle = status.organisations
        assert (large.running.value, large.queued.value) == (40, 20)
        assert (idle.running.value, idle.queued.value) == (0, 0)
        assert large.queued.source == '4 routers'
        age = large.queued.age_seconds
        assert age is not None and age < 3


def test_nothing_is_asked_unless_somebody_watches() -> None:
    """Guards against control traffic for a screen that nobody looks at."""
    fleet = CountingFleet(fleet_config({'org': 1.0}), seed=5)
    fleet.run(30)
    assert not fleet.asked.total()
    watched = RouterId('router-0')
    status_of(fleet, watched)
    fleet.run(15)
    # 10 periods and 3 peers.
    assert 0 < fleet.asked[watched] <= 30
    assert fleet.asked.total() == fleet.asked[watched]
    asked_count = fleet.asked.total()
    fleet.run(10)
    assert fleet.asked.total() == asked_count


def test_lost_router_is_named_as_missing() -> None:
    """Guards against a sum that looks whole during a partition."""
    fleet = FakeFleet(fleet_config({'org': 1.0}), seed=6)
    watching, lost = RouterId('router-0'), RouterId('router-1')
    fleet.run(3)
    for _second in range(15):
        status_of(fleet, watching)
        fleet.run(1)
        if _second == 3:
            for other in fleet.nodes.keys() - {lost}:
                fleet.cut(lost, other)
    status = status_of(fleet, watching)
    queued = status.organisations[0].queued
    assert queued.source == '3 of 4 routers, missing router-1'
    member = next(one for one in status.members if one.router == lost)
    assert member.config_version.value is None


def test_old_and_absent_reports_are_unknown() -> None:
    """Guards against an old figure that is shown as the present one."""
    watch = StatusCollector(A)
    assert watch.slots_in_use(TARGET, B, 0) is None
    watch.on_report(B, REPORT, 1)
    known = watch.slots_in_use(TARGET, B, 11)
    assert known is not None and known.in_use_count == 3
    assert (known.source, known.age_seconds) == (B, 10)
    assert watch.slots_in_use(TARGET, B, 11.1) is None
    # Another router is the home by now and has not reported.
    assert watch.slots_in_use(TARGET, C, 5) is None
    assert watch.slots_in_use(TargetId('other'), B, 5) is None


def test_sums_name_missing_routers_and_the_oldest_age() -> None:
    """Guards against a partial sum without a hint."""
    watch = StatusCollector(A)
    watch.on_report(B, REPORT, 1)
    one = watch.request_totals(OWN, (A, B, C), 4)
    assert (one.queued_count, one.running_count) == (6, 3)
    assert (one.included, one.missing, one.oldest_age_seconds) == (
        (A, B),
        (C,),
        3,
    )
    watch.on_report(C, REPORT, 4)
    assert watch.request_totals(OWN, (A, B, C), 4).queued_count == 11
    late = watch.request_totals(OWN, (A, B, C), 12)
    assert (late.queued_count, late.missing) == (6, (B,))


def test_many_routers_are_asked_in_turn() -> None:
    """Guards against calls that grow with the fleet, and against neglect."""
    routers = [RouterId(f'r{index}') for index in range(41)]
    watch = StatusCollector(routers[0])
    assert watch.peers_to_poll(routers, 0) == []
    watch.on_status_viewed(0)
    rounds = [watch.peers_to_poll(routers, period) for period in range(5)]
    assert [len(asked) for asked in rounds] == [16] * 5
    counts = Counter(one for asked in rounds for one in asked)
    assert set(counts) == set(routers[1:])
    assert set(counts.values()) == {2}
    assert watch.peers_to_poll(routers, 10) == []
