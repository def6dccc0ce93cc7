"""Collection of status reports from other routers."""

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
from dotterelhatch.statusbuilder import build_status
from tests.fakes import MODEL, FakeFleet, fleet_config

A, B, C = (RouterId(name) for name in 'abc')
ORG = OrganisationId('org')
TARGET = TargetId('target')
REPORT = StatusReport(
    (SlotsInUse(TARGET, 3),), (RequestCount(MODEL, ORG, 5, 2),)
)
OWN = RequestCount(MODEL, ORG, 1, 1)


class RequestCountingFleet(FakeFleet):
    """Counts the status requests that each router sends."""

    def __post_init__(self) -> None:
        self.status_requests: Counter[RouterId] = Counter()
        super().__post_init__()

    def _carry_out(self, name: RouterId, action: object) -> None:
        if isinstance(action, SendFrame):
            self.status_requests[name] += sum(
                isinstance(message, StatusRequest)
                for message in action.frame.messages
            )
        super()._carry_out(name, action)


def status_of(fleet: FakeFleet, name: RouterId) -> FleetStatus:
    node = fleet.nodes[name]
    node.status_collector.on_status_viewed(fleet.now_seconds)
    return build_status(node, fleet.now_seconds, None, None)


def test_every_router_shows_the_same_status() -> None:
    """Guards against a status page that differs from router to router.

    A router knows only its own requests and the targets that it coordinates.
    It needs the reports of the other routers for all other values.
    """
    fleet = FakeFleet(fleet_config({'large': 1.0, 'idle': 1.0}), seed=4)
    fleet.run(3)
    for index in range(60):
        fleet.request(RouterId(f'router-{index % 2}'), 'large', 1e6)
    fleet.run(2)
    for name in fleet.nodes:
        status_of(fleet, name)
    fleet.run(3)
    for viewed in fleet.nodes:
        status = status_of(fleet, viewed)
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


def test_reports_are_requested_only_after_a_view() -> None:
    """Guards against control traffic for a status page that nobody reads.

    A view starts ten seconds of polling, at the viewed router only.
    """
    fleet = RequestCountingFleet(fleet_config({'org': 1.0}), seed=5)
    fleet.run(30)
    assert not fleet.status_requests.total()
    viewed = RouterId('router-0')
    status_of(fleet, viewed)
    fleet.run(15)
    # Each of 3 peers once in each of the 10 active periods.
    assert 0 < fleet.status_requests[viewed] <= 30
    assert fleet.status_requests.total() == fleet.status_requests[viewed]
    status_requests_count = fleet.status_requests.total()
    fleet.run(10)
    assert fleet.status_requests.total() == status_requests_count


def test_unreachable_router_is_listed_as_missing() -> None:
    """Guards against a sum that looks complete during a partition.

    A router that can't be reached sends no report, so its requests are not in
    the sum.
    """
    fleet = FakeFleet(fleet_config({'org': 1.0}), seed=6)
    viewed, unreachable = RouterId('router-0'), RouterId('router-1')
    fleet.run(3)
    for _second in range(15):
        status_of(fleet, viewed)
        fleet.run(1)
        if _second == 3:
            for other in fleet.nodes.keys() - {unreachable}:
                fleet.cut(unreachable, other)
    status = status_of(fleet, viewed)
    queued = status.organisations[0].queued
    assert queued.source == '3 of 4 routers, missing router-1'
    member = next(
        record for record in status.members if record.router == unreachable
    )
    assert member.config_version.value is None


def test_old_and_missing_reports_are_unknown() -> None:
    """Guards against an old figure that is shown as the current one.

    The report of the coordinator may be old, or the coordinator may have
    changed and not reported yet.
    """
    collector = StatusCollector(A)
    assert collector.slots_in_use(TARGET, B, 0) is None
    collector.on_report(B, REPORT, 1)
    usage = collector.slots_in_use(TARGET, B, 11)
    assert usage is not None and usage.in_use_count == 3
    assert (usage.source, usage.age_seconds) == (B, 10)
    assert collector.slots_in_use(TARGET, B, 11.1) is None
    # Another router is the coordinator now and has not reported yet.
    assert collector.slots_in_use(TARGET, C, 5) is None
    assert collector.slots_in_use(TargetId('other'), B, 5) is None


def test_totals_list_missing_routers_and_the_oldest_age() -> None:
    """Guards against a partial sum that does not list what is missing.

    A router may not have reported yet, or its last report may be too old.
    """
    collector = StatusCollector(A)
    collector.on_report(B, REPORT, 1)
    totals = collector.request_totals(OWN, (A, B, C), 4)
    assert (totals.queued_count, totals.running_count) == (6, 3)
    assert (totals.included, totals.missing, totals.oldest_age_seconds) == (
        (A, B),
        (C,),
        3,
    )
    collector.on_report(C, REPORT, 4)
    assert collector.request_totals(OWN, (A, B, C), 4).queued_count == 11
    late_totals = collector.request_totals(OWN, (A, B, C), 12)
    assert (late_totals.queued_count, late_totals.missing) == (6, (B,))


def test_many_routers_are_polled_in_turn() -> None:
    """Guards against calls that grow with the fleet.

    Only 16 routers are polled per period, so also guards against routers that
    are never polled.
    """
    routers = [RouterId(f'r{index}') for index in range(41)]
    collector = StatusCollector(routers[0])
    assert collector.peers_to_poll(routers, 0) == []
    collector.on_status_viewed(0)
    rounds = [collector.peers_to_poll(routers, period) for period in range(5)]
    assert [len(polled) for polled in rounds] == [16] * 5
    counts = Counter(router for polled in rounds for router in polled)
    assert set(counts) == set(routers[1:])
    assert set(counts.values()) == {2}
    assert collector.peers_to_poll(routers, 10) == []
