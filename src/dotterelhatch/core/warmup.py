"""Request rates that cold targets take from all routers together.

A target that has just started, or becomes cold later, tolerates few requests a
second. Each cold target has a few owners among the routers, by rendezvous
hashing. An owner sends requests in equal intervals, and all other routers send
none until the target is warm. No message is needed while a target is cold.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final, Self

from dotterelhatch.core.peers import heartbeat_interval_seconds
from dotterelhatch.core.placement import owners_of
from dotterelhatch.core.registry import TargetEntry
from dotterelhatch.core.routes import ServiceSpec, WarmupSpec
from dotterelhatch.ids import RouterId, ServiceId, TargetId

__all__ = (
    'FleetSplit',
    'FleetView',
    'WarmupBounds',
    'WarmupLimits',
    'fleet_rate_per_second',
)

# A target has as many owners as have this rate each. With fewer owners, a
# router that gets few requests would use only a part of its rate. With more,
# the extra request of each owner in a window would take more of the bound.
_MIN_OWNER_RATE_PER_SECOND: Final = 3.0
# The router that hears the majority forgets the others, and these never have
# half of the rate, so that all parts of a split fleet together have less than
# this many times the rate of a whole one.
_MAX_SPLIT_RATIO: Final = 1.5
# The rest is for requests that arrive closer together than they were sent.
_USED_BOUND_RATIO: Final = 0.95
# The rate of a target that is cold for its whole warm-up rises from this part.
_INITIAL_RATE_RATIO: Final = 0.5
# Predicted times of a target at the start of its warm-up, relative to those of
# a warm one. Measured latency of the target corrects the rest.
_COLD_TIME_RATIO: Final = 2.0
# A heartbeat or two of a router may be lost without a change of the view.
_MIN_LIVE_SECONDS: Final = 2.0
_LIVE_INTERVALS: Final = 2.5
# Routers notice within this time of each other that another one begins or
# ceases to be heard.
_MIN_SETTLE_SECONDS: Final = 1.0
_SETTLE_INTERVALS: Final = 2.0
# Time after which a router that hears the majority takes the others for gone.
_GONE_SECONDS: Final = 60.0
# Without the majority, a router is more likely cut off. Longer than a split of
# the network lasts.
_MEMORY_SECONDS: Final = 3600.0
# Several times the routers of the largest deployment.
_MAX_KNOWN_COUNT: Final = 4096
# A view changes with the heartbeats. Each change costs a hash of all routers
# for each cold target.
_MIN_VIEW_LIFETIME_SECONDS: Final = 0.1
_VIEW_LIFETIME_INTERVALS: Final = 0.25


@dataclass(frozen=True, slots=True)
class WarmupBounds:
    """How far requests to a cold target may exceed the rate it tolerates.

    In any second it gets at most its rate times ``overshoot_ratio``, and
    ``slack_count`` requests.
    """

    overshoot_ratio: float = 1.0
    slack_count: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a router knows of the fleet.

    :param routers: that may use cold targets now, this one included.
    :param share: part of all known routers that this one hears. 0 at a router
        that has just started.
    """

    routers: frozenset[RouterId]
    share: float


@dataclass(slots=True)
class _Sighting:
    """Heartbeats of a router that arrived without a long gap."""

    first_seconds: float
    last_seconds: float


class FleetSplit:
    """Estimates which part of the fleet this router can hear.

    A router uses what it gains only after the time in which the others notice
    the same change, and gives up at once what it loses.

    :param router: this router.
    :param started_seconds: when this process started.
    :param addresses_count: returns the number of other routers whose
        addresses are known, also of those that were never heard.
    """

    def __init__(
        self,
        router: RouterId,
        started_seconds: float,
        addresses_count: Callable[[], int],
    ) -> None:
        """Start without any router heard."""
        self._router = router
        self._started_seconds = started_seconds
        self._addresses_count = addresses_count
        self._sightings: dict[RouterId, _Sighting] = {}
        # When a router was last heard for the first time.
        self._found_seconds = -math.inf
        self._has_started = False
        self._view = FleetView(frozenset((router,)), 0)
        self._view_until_seconds = -math.inf

    def on_heartbeat(self, router: RouterId, now_seconds: float) -> None:
        """Process a heartbeat of a peer."""
        sighting = self._sightings.get(router)
        if sighting is None:
            if len(self._sightings) < _MAX_KNOWN_COUNT:
                self._sightings[router] = _Sighting(now_seconds, now_seconds)
                self._found_seconds = now_seconds
            return
        if now_seconds - sighting.last_seconds > self._live_seconds():
            sighting.first_seconds = now_seconds
        sighting.last_seconds = now_seconds

    def view(self, now_seconds: float) -> FleetView:
        """Return what this router knows of the fleet."""
        if now_seconds >= self._view_until_seconds:
            view = self._find_view(now_seconds)
            # Users of the same object need not hash the routers again.
            if view != self._view:
                self._view = view
            self._view_until_seconds = now_seconds + max(
                _MIN_VIEW_LIFETIME_SECONDS,
                _VIEW_LIFETIME_INTERVALS * self._interval_seconds(),
            )
        return self._view

    def _find_view(self, now_seconds: float) -> FleetView:
        live_seconds = self._live_seconds()
        settle_seconds = self._settle_seconds()
        live_since = now_seconds - live_seconds
        steady_since = now_seconds - settle_seconds
        # Others may not have noticed yet that a lost router is not heard any
        # more, so it keeps its place for as long as they may need.
        kept_since = live_since - settle_seconds
        routers = {self._router}
        live_count = 1
        steady_count = 1
        for router, sighting in self._sightings.items():
            if sighting.last_seconds >= kept_since:
                routers.add(router)
            if sighting.last_seconds >= live_since:
                live_count += 1
                steady_count += sighting.first_seconds <= steady_since
        self._forget_gone(live_count, now_seconds)
        # Routers that start together find each other one by one.
        if self._started_seconds <= live_since:
            self._has_started |= self._found_seconds <= steady_since
        if not self._has_started:
            return FleetView(frozenset(routers), 0)
        known_count = 1 + max(len(self._sightings), self._addresses_count())
        return FleetView(frozenset(routers), steady_count / known_count)

    def _forget_gone(self, live_count: int, now_seconds: float) -> None:
        """Forget routers that have ended, but not those that are cut off."""
        has_majority = 2 * live_count > len(self._sightings) + 1
        lifetime_seconds = _GONE_SECONDS if has_majority else _MEMORY_SECONDS
        gone = [
            router
            for router, sighting in self._sightings.items()
            if now_seconds - sighting.last_seconds > lifetime_seconds
        ]
        for router in gone:
            self._sightings.pop(router)

    def _live_seconds(self) -> float:
        return max(
            _MIN_LIVE_SECONDS, _LIVE_INTERVALS * self._interval_seconds()
        )

    def _settle_seconds(self) -> float:
        return max(
            _MIN_SETTLE_SECONDS, _SETTLE_INTERVALS * self._interval_seconds()
        )

    def _interval_seconds(self) -> float:
        return heartbeat_interval_seconds(len(self._sightings))


@dataclass(frozen=True, slots=True)
class _Row:
    """The last row of a target that was applied."""

    started_ms: int
    version: int
    cold_left_seconds: float

    def repeats(self, former: '_Row') -> bool:
        """Return whether the row says nothing that the former did not say.

        Rows that are kept after the store came back from an older copy have
        lower versions.
        """
        if self.started_ms != former.started_ms:
            return False
        if self.version < former.version:
            return self.cold_left_seconds == former.cold_left_seconds
        return self.version == former.version


@dataclass(slots=True)
class _ColdTarget:
    """A target that is cold.

    :param sent_seconds: when this router last sent it a request.
    :param left_ratio: the part of the warm-up that was left when this router
        last considered the target.
    """

    started_ms: int
    until_seconds: float
    sent_seconds: float
    left_ratio: float = 0.0
    view: FleetView | None = None
    rate_per_second: float = 0.0


class WarmupLimits:
    """Keeps all routers together below what cold targets tolerate.

    :param router: this router.
    :param split: the part of the fleet that this router hears.
    """

    def __init__(
        self,
        router: RouterId,
        split: FleetSplit,
        bounds: WarmupBounds | None = None,
    ) -> None:
        """Start without any cold target."""
        self.split = split
        self.placed_count = 0
        self._bounds = bounds or WarmupBounds()
        self._router = router
        self._specs: dict[ServiceId, WarmupSpec] = {}
        self._rows: dict[TargetId, _Row] = {}
        self._cold: dict[TargetId, _ColdTarget] = {}

    @classmethod
    def without_limits(cls) -> Self:
        """Create limits for a router without any configuration."""
        router = RouterId('')
        return cls(router, FleetSplit(router, 0, int))

    def apply_services(self, services: Mapping[ServiceId, ServiceSpec]) -> None:
        """Apply the services of a routing table."""
        self._specs = {
            service: spec.warmup
            for service, spec in services.items()
            if spec.warmup is not None
        }
        self._reset_rates()

    def apply_bounds(self, bounds: WarmupBounds) -> None:
        """Apply changed settings."""
        self._bounds = bounds
        self._reset_rates()

    def on_entries(
        self, entries: Iterable[TargetEntry], now_seconds: float
    ) -> list[TargetEntry]:
        """Apply the listed targets; return those that have become cold.

        A row that was applied before says nothing new: what it says of the
        time left was true when it was written.
        """
        return [
            entry
            for entry in entries
            if self._apply(entry, now_seconds) and entry.service in self._specs
        ]

    def wait_seconds(self, entry: TargetEntry, now_seconds: float) -> float:
        """Return how long no request may be sent to a target, 0 for none.

        At a router that does not own a cold target, that is the time until it
        is warm.
        """
        cold = self._find(entry, now_seconds)
        if cold is None:
            return 0
        left_seconds = cold.until_seconds - now_seconds
        spec = self._specs[entry.service]
        cold.left_ratio = _left_ratio(spec, left_seconds)
        rate = self._owned_rate(entry, cold, now_seconds)
        if not rate:
            return left_seconds
        rate *= 1 - (1 - _INITIAL_RATE_RATIO) * cold.left_ratio
        due_seconds = cold.sent_seconds + 1 / rate
        return min(left_seconds, max(0, due_seconds - now_seconds))

    def on_placed(self, entry: TargetEntry, now_seconds: float) -> None:
        """Record that a request is sent to a target."""
        cold = self._find(entry, now_seconds)
        if cold is not None:
            cold.sent_seconds = now_seconds
            self.placed_count += 1

    def is_cold(self, entry: TargetEntry, now_seconds: float) -> bool:
        """Return whether a target is cold and its service limits that."""
        return self._find(entry, now_seconds) is not None

    def warm_first(
        self, entries: list[TargetEntry], now_seconds: float
    ) -> list[TargetEntry]:
        """Return the targets that are not cold, or all if all are cold."""
        if not self._cold:
            return entries
        warm = [one for one in entries if not self.is_cold(one, now_seconds)]
        return warm or entries

    def time_ratio(self, target: TargetId) -> float:
        """Return the predicted times of a target relative to a warm one.

        It holds for the time of the last call of :meth:`wait_seconds`.
        """
        cold = self._cold.get(target)
        if cold is None:
            return 1
        return 1 + (_COLD_TIME_RATIO - 1) * cold.left_ratio

    def rate_per_second(self, entry: TargetEntry, now_seconds: float) -> float:
        """Return this router's highest rate of requests to a cold target."""
        cold = self._find(entry, now_seconds)
        if cold is None:
            return math.inf
        return self._owned_rate(entry, cold, now_seconds)

    def cold_count(self, now_seconds: float) -> int:
        """Return the number of cold targets."""
        return sum(
            now_seconds < cold.until_seconds for cold in self._cold.values()
        )

    def forget(self, target: TargetId) -> None:
        """Forget a target that is gone."""
        self._rows.pop(target, None)
        self._cold.pop(target, None)

    def _reset_rates(self) -> None:
        for cold in self._cold.values():
            cold.view = None

    def _apply(self, entry: TargetEntry, now_seconds: float) -> bool:
        """Apply a row; return whether the target has become cold."""
        former = self._rows.get(entry.id)
        row = _Row(entry.started_ms, entry.row_version, entry.cold_left_seconds)
        self._rows[entry.id] = row
        if former is not None and row.repeats(former):
            return False
        is_same_start = (
            former is not None and former.started_ms == row.started_ms
        )
        if entry.cold_left_seconds <= 0:
            self._cold.pop(entry.id, None)
            return False
        until_seconds = now_seconds + entry.cold_left_seconds
        cold = self._cold.get(entry.id)
        if cold and is_same_start and now_seconds < cold.until_seconds:
            cold.until_seconds = until_seconds
            return False
        # A target that was in use got its last requests just now.
        sent_seconds = now_seconds if is_same_start else -math.inf
        self._cold[entry.id] = _ColdTarget(
            entry.started_ms, until_seconds, sent_seconds
        )
        return True

    def _find(
        self, entry: TargetEntry, now_seconds: float
    ) -> _ColdTarget | None:
        cold = self._cold.get(entry.id)
        if cold is None or cold.started_ms != entry.started_ms:
            return None
        if now_seconds >= cold.until_seconds:
            self._cold.pop(entry.id)
            return None
        return cold if entry.service in self._specs else None

    def _owned_rate(
        self, entry: TargetEntry, cold: _ColdTarget, now_seconds: float
    ) -> float:
        view = self.split.view(now_seconds)
        if cold.view is not view:
            cold.rate_per_second = self._share_rate(entry, view)
            cold.view = view
        return cold.rate_per_second

    def _share_rate(self, entry: TargetEntry, view: FleetView) -> float:
        """Return the rate of this router in a view of the fleet."""
        rate = fleet_rate_per_second(self._specs[entry.service], self._bounds)
        rate *= view.share
        owners_count = int(rate / _MIN_OWNER_RATE_PER_SECOND)
        if not owners_count and 2 * view.share > 1:
            owners_count = 1
        if not owners_count:
            return 0
        owners = owners_of(entry.id, view.routers, owners_count)
        return rate / owners_count if self._router in owners else 0


def fleet_rate_per_second(spec: WarmupSpec, bounds: WarmupBounds) -> float:
    """Return the rate of requests to a cold target from a whole fleet.

    An owner that sends in intervals of ``1 / rate`` sends at most ``rate + 1``
    requests in a second. With the lowest rate of owners, and for the parts of
    a split fleet, the sum of that stays below the bound.
    """
    limit = spec.requests_per_second
    bound = limit * bounds.overshoot_ratio + bounds.slack_count
    if bound < 1:
        return 0
    window_ratio = 1 + 1 / _MIN_OWNER_RATE_PER_SECOND
    safe_rate = _USED_BOUND_RATIO * bound / (_MAX_SPLIT_RATIO * window_ratio)
    return min(limit, safe_rate)


def _left_ratio(spec: WarmupSpec, left_seconds: float) -> float:
    """Return the part of the warm-up that is left."""
    if left_seconds >= spec.duration_seconds:
        return 1
    return left_seconds / spec.duration_seconds
