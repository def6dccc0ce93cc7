"""Requests of one service that wait or run at this router."""

import random
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from dotterelhatch.core.messages import (
    Charge,
    Demand,
    Grant,
    HeldGrant,
    HeldGrants,
    Release,
    RequestClass,
)
from dotterelhatch.fleet import Service
from dotterelhatch.ids import (
    GrantId,
    Incarnation,
    OrganisationId,
    RequestId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.settings import ExchangeSettings

__all__ = (
    'DemandUpdate',
    'RequestQueues',
    'GrantedRequest',
    'PendingRequest',
    'RunningGrant',
    'unused_release',
)

# Grant ids that were seen, so that a repeated message starts nothing twice.
_SEEN_GRANT_COUNT: Final = 4096
# A home of six targets with 27 slots frees a slot every 90 ms at the two-year
# load, so one home serves a short queue within that time. Telling more homes
# at once gave 40 % unused grants.
_NEXT_COORDINATOR_SECONDS: Final = 0.1
# A charge is reported when the cost has grown by this factor. The home's
# error for a running request stays below a quarter of what it has charged.
_CHARGE_GROWTH: Final = 1.25


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that waits for a slot.

    :param deadline_seconds: time at which it is refused if still waiting.
    :param isolation_target: the only target for a crash suspect.
    """

    request_id: RequestId
    service: ServiceId
    organisation: OrganisationId
    request_class: RequestClass
    estimate_units: float
    deadline_seconds: float
    enqueued_seconds: float
    isolation_target: TargetId | None = None


@dataclass
class RunningGrant:
    """A grant in use.

    :param units: the larger of the charge and the cost so far.
    """

    grant: Grant
    coordinator: RouterId
    coordinator_incarnation: Incarnation
    request_id: RequestId
    units: float
    reported_units: float


class GrantedRequest(NamedTuple):
    """A waiting request that may run now."""

    request: PendingRequest
    grant: Grant


class DemandUpdate(NamedTuple):
    """A demand report for one home.

    :param urgent: whether it must not wait for the next period.
    """

    coordinator: RouterId
    demand: Demand
    urgent: bool


_Counts = dict[RequestClass, int]


@dataclass
class _OrganisationQueue:
    waiting: dict[RequestClass, deque[PendingRequest]] = field(
        default_factory=lambda: {one: deque() for one in RequestClass},
    )
    # What each home believes to wait here, less the grants it has sent.
    believed: dict[RouterId, _Counts] = field(default_factory=dict)
    first_told_seconds: float | None = None

    @property
    def total_count(self) -> int:
        return sum(len(queue) for queue in self.waiting.values())

    @property
    def is_shared_empty(self) -> bool:
        return not (
            self.waiting[RequestClass.SHORT] or self.waiting[RequestClass.LONG]
        )

    def isolated(self, targets: frozenset[TargetId]) -> list[TargetId]:
        return [
            request.isolation_target
            for request in self.waiting[RequestClass.ISOLATED]
            if request.isolation_target in targets
        ]

    def counts(self, targets: frozenset[TargetId]) -> _Counts:
        counts = {one: len(queue) for one, queue in self.waiting.items()}
        counts[RequestClass.ISOLATED] = len(self.isolated(targets))
        return counts

    def all_waiting(self) -> Iterable[PendingRequest]:
        for queue in self.waiting.values():
            yield from queue


class RequestQueues:
    """Queues of one service by organisation, and the grants in use."""

    def __init__(
        self,
        service: Service,
        settings: ExchangeSettings,
        router: RouterId,
        rng: random.Random,
    ) -> None:
        """Start empty."""
        self.running: dict[RequestId, RunningGrant] = {}
        self._service = service
        self._settings = settings
        self._router = router
        self._rng = rng
        self._queues: dict[OrganisationId, _OrganisationQueue] = {}
        self._free: dict[RouterId, int] = {}
        self._notified_coordinators: set[RouterId] = set()
        self._changed: set[OrganisationId] = set()
        # When a further home may be told of a queue.
        self._further_at: dict[OrganisationId, float] = {}
        self._targets: dict[RouterId, frozenset[TargetId]] = {}
        self._placed: Mapping[TargetId, RouterId] = {}
        self._seen: OrderedDict[GrantId, None] = OrderedDict()

    def configure(self, service: Service) -> None:
        """Apply a configuration."""
        self._service = service

    def add(self, request: PendingRequest) -> bool:
        """Queue a request unless its organisation's queue is full."""
        self._changed.add(request.organisation)
        queue = self._queues.setdefault(
            request.organisation, _OrganisationQueue()
        )
        if queue.total_count >= self._service.limits.queue_limit_count:
            return False
        queue.waiting[request.request_class].append(request)
        return True

    def remove(self, request: PendingRequest) -> bool:
        """Remove a waiting request and return whether it was there."""
        self._changed.add(request.organisation)
        queue = self._queues.get(request.organisation)
        if queue is None:
            return False
        try:
            queue.waiting[request.request_class].remove(request)
        except ValueError:
            return False
        return True

    def expire(self, now_seconds: float) -> list[PendingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request
            for queue in self._queues.values()
            for request in queue.all_waiting()
            if request.deadline_seconds <= now_seconds
        ]
        for request in expired:
            self.remove(request)
        return expired

    def on_grant(
        self, coordinator: RouterId, incarnation: Incarnation, grant: Grant
    ) -> GrantedRequest | Release | None:
        """Match a grant with a waiting request, or give it back.

        A grant that was seen before gives None.
        """
        if grant.grant_id in self._seen:
            return None
        self._remember(grant.grant_id)
        self._changed.add(grant.organisation)
        self._note_granted(coordinator, grant)
        # A home may hold a newer configuration with further targets.
        is_known = any(one.id == grant.target for one in self._service.targets)
        request = self._next_request(grant) if is_known else None
        if request is None:
            return unused_release(grant)
        self.running[request.request_id] = RunningGrant(
            grant,
            coordinator,
            incarnation,
            request.request_id,
            max(grant.charged_units, request.estimate_units),
            grant.charged_units,
        )
        return GrantedRequest(request, grant)

    def progress(self, request_id: RequestId, units: float) -> None:
        """Note the cost so far of a running request."""
        running = self.running.get(request_id)
        if running is not None:
            running.units = max(running.units, units)

    def finish(
        self, request_id: RequestId, units: float, *, target_failed: bool
    ) -> Release | None:
        """End a running request and return the release of its grant."""
        running = self.running.pop(request_id, None)
        if running is None:
            return None
        return Release(
            running.grant.grant_id,
            running.grant.target,
            units,
            unused=False,
            target_failed=target_failed,
        )

    def charges_due(self) -> list[Charge]:
        """Return the cost so far of requests well above their charge."""
        due = []
        for running in self.running.values():
            if running.units > running.reported_units * _CHARGE_GROWTH:
                running.reported_units = running.units
                due.append(
                    Charge(
                        running.grant.grant_id,
                        running.grant.target,
                        running.units,
                    ),
                )
        return due

    def held(self, targets: Iterable[TargetId]) -> list[HeldGrants]:
        """Return the lists of grants in use for some targets."""
        return [self._held(target) for target in targets]

    def note_free(self, coordinator: RouterId, free_count: int) -> None:
        """Note how many free slots a home has said to have."""
        self._free[coordinator] = free_count

    def forget_coordinator(self, coordinator: RouterId) -> None:
        """Drop what a home was told, so that it is told again."""
        self._free.pop(coordinator, None)
        self._changed.update(self._queues)
        for queue in self._queues.values():
            queue.believed.pop(coordinator, None)

    def demand_updates(
        self, placed: Mapping[TargetId, RouterId], now_seconds: float
    ) -> list[DemandUpdate]:
        """Return the demand reports that are due.

        :param placed: the home of each target.
        """
        self._note_placed(placed)
        updates: list[DemandUpdate] = []
        self._changed.update(
            organisation
            for organisation, due_seconds in self._further_at.items()
            if now_seconds >= due_seconds
        )
        changed = sorted(self._changed)
        self._changed.clear()
        for organisation in changed:
            updates.extend(self._updates_of(organisation, now_seconds))
        return updates

    def take_notified_coordinators(self) -> frozenset[RouterId]:
        """Return the homes that were told of demand since the last call."""
        told = frozenset(self._notified_coordinators)
        self._notified_coordinators = {
            coordinator
            for queue in self._queues.values()
            for coordinator in queue.believed
        }
        return told

    def restate_demand(
        self, coordinator: RouterId, now_seconds: float
    ) -> list[Demand]:
        """Return all demand that a home was told, to repair lost reports."""
        restated = []
        for organisation, queue in self._queues.items():
            if queue.believed.get(coordinator) is not None:
                queue.believed[coordinator] = queue.counts(
                    self._targets_of(coordinator)
                )
                restated.append(
                    self._demand(organisation, coordinator, now_seconds)
                )
        return restated

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return sum(queue.total_count for queue in self._queues.values())

    def waiting_by_organisation(self) -> dict[OrganisationId, int]:
        """Return how many requests wait by organisation."""
        return {name: queue.total_count for name, queue in self._queues.items()}

    def running_by_organisation(self) -> dict[OrganisationId, int]:
        """Return how many requests run by organisation."""
        counts: dict[OrganisationId, int] = {}
        for running in self.running.values():
            name = running.grant.organisation
            counts[name] = counts.get(name, 0) + 1
        return counts

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'waiting': self.waiting_by_organisation(),
            'running': {
                request_id: running.grant.target
                for request_id, running in self.running.items()
            },
            'free_slots_known': dict(self._free),
        }

    def _remember(self, grant_id: GrantId) -> None:
        self._seen[grant_id] = None
        if len(self._seen) > _SEEN_GRANT_COUNT:
            self._seen.popitem(last=False)

    def _note_granted(self, coordinator: RouterId, grant: Grant) -> None:
        if self._free.get(coordinator):
            self._free[coordinator] -= 1
        queue = self._queues.get(grant.organisation)
        believed = None if queue is None else queue.believed.get(coordinator)
        if believed is not None and believed[grant.request_class]:
            believed[grant.request_class] -= 1

    def _next_request(self, grant: Grant) -> PendingRequest | None:
        queue = self._queues.get(grant.organisation)
        if queue is None:
            return None
        if grant.request_class is RequestClass.ISOLATED:
            return self._next_isolated(queue, grant.target)
        for request_class in _usable_classes(grant.request_class):
            if queue.waiting[request_class]:
                return queue.waiting[request_class].popleft()
        return None

    def _next_isolated(
        self, queue: _OrganisationQueue, target: TargetId
    ) -> PendingRequest | None:
        for request in queue.waiting[RequestClass.ISOLATED]:
            if request.isolation_target == target:
                queue.waiting[RequestClass.ISOLATED].remove(request)
                return request
        return None

    def _targets_of(self, coordinator: RouterId) -> frozenset[TargetId]:
        return self._targets.get(coordinator, frozenset())

    def _note_placed(self, placed: Mapping[TargetId, RouterId]) -> None:
        if placed is self._placed:
            return
        self._placed = placed
        self._changed.update(self._queues)
        by_coordinator: dict[RouterId, set[TargetId]] = {}
        for target, owner in placed.items():
            by_coordinator.setdefault(owner, set()).add(target)
        self._targets = {
            coordinator: frozenset(targets)
            for coordinator, targets in by_coordinator.items()
        }

    def _held(self, target: TargetId) -> HeldGrants:
        return HeldGrants(
            self._service.id,
            target,
            tuple(
                HeldGrant(
                    running.grant.grant_id,
                    running.coordinator,
                    running.coordinator_incarnation,
                    running.grant.organisation,
                    running.grant.request_class,
                    running.reported_units,
                )
                for running in self.running.values()
                if running.grant.target == target
            ),
        )

    def _updates_of(
        self, organisation: OrganisationId, now_seconds: float
    ) -> Iterable[DemandUpdate]:
        queue = self._queues.get(organisation)
        if queue is None:
            self._further_at.pop(organisation, None)
            return
        coordinators = frozenset(self._targets)
        further_at = self._choose_coordinators(queue, coordinators, now_seconds)
        if further_at is None:
            self._further_at.pop(organisation, None)
        else:
            self._further_at[organisation] = further_at
        for gone in queue.believed.keys() - coordinators:
            queue.believed.pop(gone)
        for coordinator in tuple(queue.believed):
            update = self._update(organisation, queue, coordinator, now_seconds)
            if update is not None:
                yield update
        if not queue.total_count and not queue.believed:
            self._queues.pop(organisation)

    def _choose_coordinators(
        self,
        queue: _OrganisationQueue,
        coordinators: frozenset[RouterId],
        now_seconds: float,
    ) -> float | None:
        """Add homes to tell of a queue; return when more may follow."""
        self._choose_isolated(queue)
        if queue.is_shared_empty:
            queue.first_told_seconds = None
            return None
        chosen: list[RouterId] = []
        if queue.first_told_seconds is None:
            queue.first_told_seconds = now_seconds
            chosen = self._coordinators_with_free_slots(
                queue.total_count, coordinators
            )
        waited = now_seconds - queue.first_told_seconds
        spread_delay = self._settings.spread_delay_seconds
        told = sum(
            1 for coordinator in queue.believed if coordinator in coordinators
        )
        if not chosen and (waited >= spread_delay or not told):
            allowed = self._allowed_count(queue.total_count, waited)
            chosen = self._further_coordinators(
                queue, coordinators, allowed - told
            )
        for added in chosen:
            queue.believed.setdefault(added, dict.fromkeys(RequestClass, 0))
        if waited < spread_delay:
            return queue.first_told_seconds + spread_delay
        if coordinators <= queue.believed.keys():
            return None
        return now_seconds + _NEXT_COORDINATOR_SECONDS

    def _choose_isolated(self, queue: _OrganisationQueue) -> None:
        """Add the homes of the only targets for crash suspects."""
        for request in queue.waiting[RequestClass.ISOLATED]:
            isolated = request.isolation_target
            if isolated is not None and isolated in self._placed:
                queue.believed.setdefault(
                    self._placed[isolated], dict.fromkeys(RequestClass, 0)
                )

    def _allowed_count(self, total_count: int, waited_seconds: float) -> int:
        """Return how many homes may be told of a queue.

        A queue that stays is told to one more home per period, because the
        first ones may be busy while others have free slots.
        """
        fan_out = self._settings.fan_out_count
        early = 1 + int(waited_seconds / _NEXT_COORDINATOR_SECONDS)
        late = int(waited_seconds / self._settings.period_seconds)
        return min(fan_out, max(total_count, early)) + late

    def _coordinators_with_free_slots(
        self, wanted_count: int, coordinators: frozenset[RouterId]
    ) -> list[RouterId]:
        free = sorted(
            coordinator
            for coordinator in coordinators
            if self._free.get(coordinator, 0) > 0
        )
        # The own home costs no message, so it goes first.
        free.sort(
            key=lambda coordinator: (
                coordinator != self._router,
                -self._free[coordinator],
                coordinator,
            )
        )
        chosen: list[RouterId] = []
        for coordinator in free:
            if wanted_count <= 0:
                break
            chosen.append(coordinator)
            wanted_count -= self._free[coordinator]
        return chosen

    def _further_coordinators(
        self,
        queue: _OrganisationQueue,
        coordinators: frozenset[RouterId],
        wanted_count: int,
    ) -> list[RouterId]:
        further = sorted(
            coordinator
            for coordinator in coordinators
            if coordinator not in queue.believed
        )
        if wanted_count <= 0 or not further:
            return []
        chosen = []
        if self._router in further:
            # Messages to the own home cost nothing.
            further.remove(self._router)
            chosen.append(self._router)
        sampled_count = min(wanted_count - len(chosen), len(further))
        return chosen + self._rng.sample(further, sampled_count)

    def _update(
        self,
        organisation: OrganisationId,
        queue: _OrganisationQueue,
        coordinator: RouterId,
        now_seconds: float,
    ) -> DemandUpdate | None:
        actual = queue.counts(self._targets_of(coordinator))
        believed = queue.believed[coordinator]
        if not any(
            _differs(believed[one], actual[one]) for one in RequestClass
        ):
            if not any(actual.values()) and not any(believed.values()):
                queue.believed.pop(coordinator)
            return None
        urgent = any(actual[one] and not believed[one] for one in RequestClass)
        queue.believed[coordinator] = actual
        self._notified_coordinators.add(coordinator)
        return DemandUpdate(
            coordinator,
            self._demand(organisation, coordinator, now_seconds),
            urgent,
        )

    def _demand(
        self,
        organisation: OrganisationId,
        coordinator: RouterId,
        now_seconds: float,
    ) -> Demand:
        queue = self._queues[organisation]
        waiting = list(queue.all_waiting())
        targets = self._targets_of(coordinator)
        counts = queue.counts(targets)
        units = sum(request.estimate_units for request in waiting)
        since = min(
            (request.enqueued_seconds for request in waiting),
            default=now_seconds,
        )
        return Demand(
            self._service.id,
            organisation,
            counts[RequestClass.SHORT],
            counts[RequestClass.LONG],
            tuple(queue.isolated(targets)),
            units / max(1, len(waiting)),
            now_seconds - since,
        )


def unused_release(grant: Grant) -> Release:
    """Return the release of a grant that no request was run on."""
    return Release(
        grant.grant_id, grant.target, 0, unused=True, target_failed=False
    )


def _usable_classes(granted: RequestClass) -> tuple[RequestClass, ...]:
    if granted is RequestClass.SHORT:
        return (RequestClass.SHORT, RequestClass.LONG)
    return (RequestClass.LONG, RequestClass.SHORT)


def _differs(believed_count: int, actual_count: int) -> bool:
    """Return whether a home needs to hear of a new count."""
    if believed_count == actual_count:
        return False
    if not believed_count or not actual_count:
        return True
    larger = max(believed_count, actual_count)
    return 2 * abs(believed_count - actual_count) > larger
