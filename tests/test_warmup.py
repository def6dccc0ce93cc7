"""Tests of the request rates of cold targets, without any I/O."""

import itertools
import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from dotterelhatch.core.peers import heartbeat_interval_seconds
from dotterelhatch.core.registry import TargetEntry, TargetState
from dotterelhatch.core.routes import ServiceSpec, WarmupSpec
from dotterelhatch.core.warmup import (
    FleetSplit,
    WarmupBounds,
    WarmupLimits,
    fleet_rate_per_second,
)
from dotterelhatch.ids import FailureDomain, RouterId, ServiceId, TargetId

SERVICE = ServiceId('s')
SPEC = WarmupSpec(duration_seconds=3.0, requests_per_second=15.0)
BOUNDS = WarmupBounds(overshoot_ratio=1.5, slack_count=5)
# What a cold target may get in any second, from all routers.
ALLOWED_COUNT = 27
STEP_SECONDS = 0.02
# A fleet has heard all of its routers and their views have settled.
SETTLED_SECONDS = 10.0
ALWAYS_COLD_SECONDS = 100_000.0


def _entry(
    name: str = 'i1',
    cold_left_seconds: float = 3.0,
    row_version: int = 1,
    started_ms: int = 1,
) -> TargetEntry:
    return TargetEntry(
        id=TargetId(name),
        service=SERVICE,
        address='127.0.0.1:1',
        failure_domain=FailureDomain('d'),
        state=TargetState.READY,
        slots_count=6,
        started_ms=started_ms,
        cold_left_seconds=cold_left_seconds,
        row_version=row_version,
    )


def _limits(
    router: str = 'r0',
    started_seconds: float = -SETTLED_SECONDS,
    addresses_count: Callable[[], int] = int,
    bounds: WarmupBounds = BOUNDS,
    spec: WarmupSpec | None = SPEC,
) -> WarmupLimits:
    split = FleetSplit(RouterId(router), started_seconds, addresses_count)
    limits = WarmupLimits(RouterId(router), split, bounds)
    limits.apply_services({SERVICE: ServiceSpec(SERVICE, warmup=spec)})
    return limits


class _Fleet:
    """Routers that send each target all that they may, at any time.

    :param seeds_count: other routers whose addresses each one is started with.
    """

    def __init__(
        self, count: int, *entries: TargetEntry, seeds_count: int = 0
    ) -> None:
        self.now_seconds = 0.0
        self.step_seconds = STEP_SECONDS
        self.sent: dict[TargetId, list[float]] = {
            entry.id: [] for entry in entries
        }
        self.entries = entries
        # Routers with the same number hear each other.
        self.parts = [0] * count
        # Whether routers with a lower number also hear those with a higher one.
        self.is_one_way = False
        self.loss_ratio = 0.0
        # Part of the steps in which a router has a request.
        self.demand_ratio = 1.0
        self.down: set[int] = set()
        self._rng = random.Random(count)
        self._seeds_count = min(seeds_count, count - 1)
        self._interval_seconds = heartbeat_interval_seconds(count - 1)
        self._due = [
            self._rng.random() * self._interval_seconds for _ in range(count)
        ]
        self.routers = [self._start(number) for number in range(count)]

    def restart(self, number: int) -> None:
        """Replace a router by one that knows no peer."""
        self.routers[number] = self._start(number)

    def list_entries(self, *entries: TargetEntry) -> None:
        """Let all routers read these rows."""
        for router in self.routers:
            router.on_entries(entries, self.now_seconds)

    def run(self, seconds: float) -> None:
        """Exchange heartbeats and send requests."""
        end_seconds = self.now_seconds + seconds
        while self.now_seconds < end_seconds:
            self.now_seconds += self.step_seconds
            self._exchange_heartbeats()
            for number, router in enumerate(self.routers):
                if number not in self.down:
                    self._send_all(router)

    def max_window_count(self, target: str = 'i1') -> int:
        """Return the most requests to a target within a second."""
        sent = self.sent[TargetId(target)]
        most_count = start = 0
        for end, sent_seconds in enumerate(sent):
            while sent_seconds - sent[start] > 1:
                start += 1
            most_count = max(most_count, end - start + 1)
        return most_count

    def sent_count(self, since_seconds: float, target: str = 'i1') -> int:
        """Return the requests to a target since a time."""
        return sum(one > since_seconds for one in self.sent[TargetId(target)])

    def _start(self, number: int) -> WarmupLimits:
        router = _limits(
            f'r{number}', self.now_seconds, lambda: self._seeds_count
        )
        router.on_entries(self.entries, self.now_seconds)
        return router

    def _exchange_heartbeats(self) -> None:
        for number, due_seconds in enumerate(self._due):
            if self.now_seconds < due_seconds:
                continue
            self._due[number] += self._interval_seconds
            if number in self.down:
                continue
            sender = RouterId(f'r{number}')
            for other, router in enumerate(self.routers):
                if other == number or other in self.down:
                    continue
                if self._is_heard(number, other):
                    router.split.on_heartbeat(sender, self.now_seconds)

    def _is_heard(self, sender: int, receiver: int) -> bool:
        if self.loss_ratio and self._rng.random() < self.loss_ratio:
            return False
        if self.is_one_way and self.parts[receiver] < self.parts[sender]:
            return True
        return self.parts[receiver] == self.parts[sender]

    def _send_all(self, router: WarmupLimits) -> None:
        for entry in self.entries:
            if self._rng.random() >= self.demand_ratio:
                continue
            if router.wait_seconds(entry, self.now_seconds) <= 0:
                router.on_placed(entry, self.now_seconds)
                self.sent[entry.id].append(self.now_seconds)


# Cold for good, and as fast as a cold target may be used.
FULL_RATE_SPEC = WarmupSpec(duration_seconds=1e9, requests_per_second=15.0)
ALWAYS_COLD = _entry(cold_left_seconds=ALWAYS_COLD_SECONDS)


def _always_cold_fleet(count: int, seeds_count: int = 0) -> _Fleet:
    fleet = _Fleet(count, ALWAYS_COLD, seeds_count=seeds_count)
    for router in fleet.routers:
        router.apply_services({SERVICE: FULL_RATE_SERVICE})
    return fleet


FULL_RATE_SERVICE = ServiceSpec(SERVICE, warmup=FULL_RATE_SPEC)


@pytest.mark.parametrize('seeds_count', [0, 3])
@pytest.mark.parametrize('count', [1, 2, 3, 4, 36, 63])
def test_bound_holds_from_the_start_of_all_routers(
    count: int, seeds_count: int
) -> None:
    """Guards against routers that all take a cold target for their own.

    Routers that start together know no peers, and each would use all of the
    rate.
    """
    fleet = _always_cold_fleet(count, seeds_count)
    fleet.run(SETTLED_SECONDS)
    assert 0 < fleet.max_window_count() <= ALLOWED_COUNT
    used_per_second = fleet.sent_count(SETTLED_SECONDS - 4) / 4
    assert used_per_second >= min(3, 0.8 * count)


@pytest.mark.parametrize('count', [2, 3, 4, 36, 63])
def test_bound_holds_while_half_of_the_routers_are_cut_off(count: int) -> None:
    """Guards against two halves of a fleet that each use the whole rate.

    A router doesn't know whether those that it no longer hears have ended. The
    split lasts longer than ended routers are remembered by a majority.
    """
    fleet = _always_cold_fleet(count)
    fleet.run(SETTLED_SECONDS)
    fleet.parts = [number % 2 for number in range(count)]
    fleet.run(70)
    is_used = fleet.sent_count(fleet.now_seconds - 1) > 0
    fleet.parts = [0] * count
    fleet.run(SETTLED_SECONDS)
    assert fleet.max_window_count() <= ALLOWED_COUNT
    assert is_used
    assert fleet.sent_count(fleet.now_seconds - 1) >= min(9, 3 * count)


@pytest.mark.parametrize('count', [4, 36, 63])
@pytest.mark.parametrize('alone_count', [1, 3, 17])
def test_bound_holds_while_single_routers_are_cut_off(
    count: int, alone_count: int
) -> None:
    """Guards against each of several lonely routers using a part of the rate.

    The others use the whole rate again once they take these for ended.
    """
    fleet = _always_cold_fleet(count)
    fleet.run(SETTLED_SECONDS)
    alone_count = min(alone_count, count - 1)
    fleet.parts = [min(number, alone_count) for number in range(count)]
    fleet.run(70)
    fleet.parts = [0] * count
    fleet.run(SETTLED_SECONDS)
    assert fleet.max_window_count() <= ALLOWED_COUNT


@pytest.mark.parametrize('count', [4, 36, 63])
def test_bound_holds_while_parts_split_and_join_again(count: int) -> None:
    """Guards against owners of two views that overlap while views change.

    Routers don't notice at the same time that a link is lost or is back.
    """
    fleet = _always_cold_fleet(count)
    fleet.run(SETTLED_SECONDS)
    rng = random.Random(count)
    for _ in range(20):
        parts_count = rng.choice((1, 2, 3, 5))
        fleet.parts = [rng.randrange(parts_count) for _ in range(count)]
        fleet.run(rng.uniform(0.2, 6))
    assert fleet.max_window_count() <= ALLOWED_COUNT


@pytest.mark.parametrize('count', [4, 36, 63])
def test_bound_holds_while_routers_restart(count: int) -> None:
    """Guards against a starting router that takes itself for the only one."""
    fleet = _always_cold_fleet(count)
    fleet.run(SETTLED_SECONDS)
    for number in range(count):
        fleet.restart(number)
        fleet.routers[number].apply_services({SERVICE: FULL_RATE_SERVICE})
        fleet.run(0.5)
    for number in range(count):
        fleet.restart(number)
        fleet.routers[number].apply_services({SERVICE: FULL_RATE_SERVICE})
    fleet.run(SETTLED_SECONDS)
    assert fleet.max_window_count() <= ALLOWED_COUNT
    assert fleet.sent_count(fleet.now_seconds - 1) >= 9


def test_bound_holds_in_a_large_fleet_that_starts_splits_and_joins() -> None:
    """Guards against a bound that holds for small fleets only.

    Heartbeats of 373 routers are rare, so views change slowly.
    """
    fleet = _always_cold_fleet(373)
    fleet.step_seconds = 2 * STEP_SECONDS
    fleet.run(9)
    fleet.parts = [number % 2 for number in range(373)]
    fleet.run(9)
    fleet.parts = [0] * 373
    fleet.run(4)
    fleet.parts = [min(number, 180) for number in range(373)]
    fleet.run(7)
    assert 0 < fleet.max_window_count() <= ALLOWED_COUNT


@pytest.mark.parametrize('count', [4, 36, 63])
def test_bound_holds_while_links_work_in_one_direction(count: int) -> None:
    """Guards against owners that the other half doesn't know of."""
    fleet = _always_cold_fleet(count)
    fleet.run(SETTLED_SECONDS)
    fleet.parts = [number % 2 for number in range(count)]
    fleet.is_one_way = True
    fleet.run(70)
    fleet.parts = [min(number, 1) for number in range(count)]
    fleet.run(SETTLED_SECONDS)
    fleet.parts = [1 - min(number, 1) for number in range(count)]
    fleet.run(SETTLED_SECONDS)
    assert fleet.max_window_count() <= ALLOWED_COUNT


@pytest.mark.parametrize('count', [4, 36, 63])
def test_lost_heartbeats_leave_most_of_the_rate(count: int) -> None:
    """Guards against views that change with each lost datagram."""
    fleet = _always_cold_fleet(count)
    fleet.loss_ratio = 0.1
    fleet.run(2 * SETTLED_SECONDS)
    assert fleet.sent_count(fleet.now_seconds - 5) / 5 >= 8
    assert fleet.max_window_count() <= ALLOWED_COUNT


@pytest.mark.parametrize('count', [4, 36, 63])
def test_bound_holds_when_a_row_reaches_routers_late(count: int) -> None:
    """Guards against a warm-up that comes on top of the usual requests.

    A target in use becomes cold again, and its row arrives within 0.4 s; until
    then it gets 20 requests a second as before.
    """
    warm = _entry(cold_left_seconds=0)
    fleet = _Fleet(count, warm)
    fleet.demand_ratio = 20 * STEP_SECONDS / count
    fleet.run(SETTLED_SECONDS)
    fleet.sent = {warm.id: []}
    waiting = list(fleet.routers)
    for _ in range(4):
        fleet.run(0.1)
        for router in waiting[::4] or waiting[:1]:
            router.on_entries([_entry(row_version=2)], fleet.now_seconds)
            waiting.remove(router)
    for router in waiting:
        router.on_entries([_entry(row_version=2)], fleet.now_seconds)
    fleet.demand_ratio = 1.0
    fleet.run(2.5)
    assert 5 < fleet.max_window_count() <= ALLOWED_COUNT


def test_a_lost_part_of_the_fleet_leaves_most_of_the_rate() -> None:
    """Guards against a cold target that is starved after a loss.

    A failure domain of 12 out of 36 routers ends; the others can't know at
    first that it isn't cut off.
    """
    fleet = _always_cold_fleet(36)
    fleet.run(SETTLED_SECONDS)
    fleet.down = set(range(12))
    fleet.run(10)
    assert fleet.sent_count(fleet.now_seconds - 4) / 4 >= 6
    fleet.run(60)
    assert fleet.sent_count(fleet.now_seconds - 4) / 4 >= 11
    assert fleet.max_window_count() <= ALLOWED_COUNT


def test_all_targets_of_a_domain_that_are_cold_get_their_rate_each() -> None:
    """Guards against few routers that own all of many cold targets.

    The count of each target stays below the bound, and none is left out.
    """
    entries = [_entry(f'i{number}') for number in range(10)]
    fleet = _Fleet(36, *(replace(one, cold_left_seconds=0) for one in entries))
    fleet.run(SETTLED_SECONDS)
    fleet.sent = {entry.id: [] for entry in entries}
    fleet.list_entries(*(replace(one, row_version=2) for one in entries))
    began_seconds = fleet.now_seconds
    fleet.run(2.9)
    for entry in entries:
        assert fleet.max_window_count(entry.id) <= ALLOWED_COUNT
        assert fleet.sent_count(began_seconds, entry.id) >= 12


def test_a_target_without_limit_is_used_as_any_other() -> None:
    """Guards against changes for deployments that don't ask for a warm-up."""
    for limits in (_limits(spec=None), WarmupLimits.without_limits()):
        assert not limits.on_entries([_entry()], 0)
        assert limits.wait_seconds(_entry(), 0) == 0
        limits.on_placed(_entry(), 0)
        assert limits.wait_seconds(_entry(), 0) == 0
        assert limits.time_ratio(TargetId('i1')) == 1
        assert limits.placed_count == 0


def test_a_warm_target_is_used_as_any_other() -> None:
    """Guards against a limit that outlasts the warm-up."""
    limits = _limits()
    assert limits.on_entries([_entry()], 0) == [_entry()]
    limits.on_placed(_entry(), 1)
    assert limits.wait_seconds(_entry(), 1) > 0
    assert limits.is_cold(_entry(), 2.9)
    assert limits.wait_seconds(_entry(), 3) == 0
    assert not limits.is_cold(_entry(), 3)
    assert limits.time_ratio(TargetId('i1')) == 1


def test_a_repeated_row_does_not_begin_the_warm_up_again() -> None:
    """Guards against a warm target that is taken for a cold one.

    Rows arrive again with an old time left when the whole table is read, or
    from a peer.
    """
    limits = _limits()
    limits.on_entries([_entry()], 0)
    assert not limits.on_entries([_entry()], 2)
    assert limits.wait_seconds(_entry(), 3) == 0
    assert not limits.on_entries([_entry()], 10)
    assert limits.wait_seconds(_entry(), 10) == 0


def test_a_row_kept_from_a_former_era_does_not_begin_the_warm_up() -> None:
    """Guards against rows that get lower versions after a restored copy.

    A row that is written after it is news, though its version may be lower
    than one from before.
    """
    limits = _limits()
    limits.on_entries([_entry(row_version=7)], 0)
    assert not limits.on_entries([_entry(row_version=3)], 10)
    assert limits.wait_seconds(_entry(), 10) == 0
    again = _entry(row_version=4)
    assert limits.on_entries([again], 20) == [again]


def test_a_target_that_becomes_cold_again_without_restart_is_limited() -> None:
    """Guards against recognising cold targets by their start only."""
    limits = _limits()
    limits.on_entries([_entry()], 0)
    limits.on_entries([_entry(cold_left_seconds=0, row_version=2)], 3)
    again = _entry(row_version=3)
    assert limits.on_entries([again], 20) == [again]
    # It got requests up to now, so the first of the warm-up waits.
    assert limits.wait_seconds(again, 20) > 0.1
    assert limits.is_cold(again, 22)
    assert limits.wait_seconds(again, 23) == 0


def test_a_row_that_counts_down_does_not_reset_the_intervals() -> None:
    """Guards against an extra request for each row of a cold target."""
    limits = _limits()
    limits.on_entries([_entry()], 0)
    limits.on_placed(_entry(), 0.5)
    wait_seconds = limits.wait_seconds(_entry(), 0.6)
    counted = _entry(cold_left_seconds=2.4, row_version=2)
    assert not limits.on_entries([counted], 0.6)
    assert limits.wait_seconds(counted, 0.6) == pytest.approx(wait_seconds)


def test_a_new_start_replaces_what_is_known_of_the_former_one() -> None:
    """Guards against a restarted target that counts as warm already."""
    limits = _limits()
    limits.on_entries([_entry(cold_left_seconds=0)], 0)
    restarted = _entry(started_ms=2)
    assert limits.on_entries([restarted], 1) == [restarted]
    assert limits.is_cold(restarted, 1)
    assert not limits.is_cold(_entry(), 1)


def test_a_forgotten_target_takes_no_memory() -> None:
    """Guards against records of targets that are gone."""
    limits = _limits()
    limits.on_entries([_entry()], 0)
    assert limits.cold_count(0) == 1
    limits.forget(TargetId('i1'))
    assert limits.cold_count(0) == 0
    assert limits.wait_seconds(_entry(), 0) == 0


def test_rate_rises_during_the_warm_up() -> None:
    """Guards against the full rate for a target that is still slow."""
    waits_seconds = []
    for now_seconds in (0.0, 1.5, 2.5):
        limits = _limits()
        limits.on_entries([_entry()], 0)
        limits.on_placed(_entry(), now_seconds)
        waits_seconds.append(limits.wait_seconds(_entry(), now_seconds))
    assert waits_seconds == sorted(waits_seconds, reverse=True)
    assert limits.time_ratio(TargetId('i1')) == pytest.approx(1 + 0.5 / 3)


def test_a_router_that_does_not_own_a_target_waits_until_it_is_warm() -> None:
    """Guards against a wait without end, or one that isn't true."""
    routers = [f'r{number}' for number in range(36)]
    unowned_count = 0
    for router in routers:
        limits = _limits(router)
        for other in routers:
            limits.split.on_heartbeat(RouterId(other), 0)
            limits.split.on_heartbeat(RouterId(other), 1.9)
        limits.on_entries([_entry()], 2)
        limits.on_placed(_entry(), 2)
        wait_seconds = limits.wait_seconds(_entry(), 2)
        assert 0 < wait_seconds <= 3
        unowned_count += wait_seconds == pytest.approx(3)
    assert unowned_count == 32


@pytest.mark.parametrize(
    ('rate', 'overshoot_ratio', 'slack_count'),
    [*itertools.product((0.2, 1, 4, 15, 200), (1.0, 1.5, 3.0), (0, 1, 5))],
)
def test_bound_holds_for_other_settings(
    rate: float, overshoot_ratio: float, slack_count: float
) -> None:
    """Guards against a rate that fits the settings of one deployment only."""
    spec = WarmupSpec(1e9, rate)
    bounds = WarmupBounds(overshoot_ratio, slack_count)
    fleet = _always_cold_fleet(6)
    for router in fleet.routers:
        router.apply_services({SERVICE: ServiceSpec(SERVICE, warmup=spec)})
        router.apply_bounds(bounds)
    fleet.run(SETTLED_SECONDS)
    fleet.parts = [number % 2 for number in range(6)]
    fleet.run(SETTLED_SECONDS)
    fleet.parts = [0, 0, 0, 0, 0, 1]
    fleet.run(70)
    allowed_count = math.floor(rate * overshoot_ratio + slack_count)
    assert fleet.max_window_count() <= allowed_count
    assert fleet_rate_per_second(spec, bounds) <= rate


def test_a_bound_below_one_request_leaves_a_cold_target_unused() -> None:
    """Guards against one request where none is allowed."""
    limits = _limits(bounds=WarmupBounds(), spec=WarmupSpec(3, 0.5))
    limits.on_entries([_entry()], 0)
    assert limits.wait_seconds(_entry(), 0) == 3


def test_a_flood_of_router_names_is_not_kept() -> None:
    """Guards against heartbeats that fill the memory of a router."""
    split = FleetSplit(RouterId('r0'), -SETTLED_SECONDS, int)
    for number in range(10_000):
        split.on_heartbeat(RouterId(f'x{number}'), 0)
    assert len(split.view(0).routers) <= 4097


def test_a_suspended_router_uses_no_cold_target_until_it_hears_others() -> None:
    """Guards against a router that uses what others own meanwhile."""
    fleet = _always_cold_fleet(4)
    fleet.run(SETTLED_SECONDS)
    fleet.down = {0}
    fleet.run(20)
    router = fleet.routers[0]
    assert router.split.view(fleet.now_seconds).share == 0.25
    fleet.down = set()
    fleet.run(SETTLED_SECONDS)
    assert router.split.view(fleet.now_seconds).share == 1
    assert fleet.max_window_count() <= ALLOWED_COUNT


def test_a_changed_view_is_used_once_others_have_noticed() -> None:
    """Guards against two owners of one part of the rate.

    A lost router and those that hear it still use its part, for as long as
    views differ. What a router loses, it gives up at once.
    """
    split = FleetSplit(RouterId('r0'), 0, int)
    for tenth in range(100):
        split.on_heartbeat(RouterId('r1'), tenth / 10)
        split.on_heartbeat(RouterId('r2'), tenth / 10)
    assert split.view(9.9).share == 1
    for tenth in range(100, 200):
        split.on_heartbeat(RouterId('r2'), tenth / 10)
        if tenth == 121:
            assert split.view(12.1).share == pytest.approx(2 / 3)
            assert 'r1' in split.view(12.1).routers
    assert 'r1' not in split.view(13).routers
    split.on_heartbeat(RouterId('r1'), 20)
    split.on_heartbeat(RouterId('r2'), 20)
    assert 'r1' in split.view(20).routers
    assert split.view(20.5).share == pytest.approx(2 / 3)
    split.on_heartbeat(RouterId('r1'), 21)
    split.on_heartbeat(RouterId('r2'), 21)
    assert split.view(21.1).share == 1
