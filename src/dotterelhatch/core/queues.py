"""Queues of one service's requests at their entry router.

The entry router of a request is the router that received it from its caller.
"""

import math
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
from dotterelhatch.core.targetpauses import MAX_PAUSE_SECONDS
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
    'GrantedRequest',
    'PendingRequest',
    'RequestQueues',
    'RunningGrant',
    'unused_release',
)

# Ids of the latest grants are kept, so that a duplicated message does not
# start a second request.
_MAX_SEEN_GRANT_COUNT: Final = 4096
# A coordinator of six targets with 27 slots each frees a slot every 90 ms at
# the load expected in two years, so one coordinator serves a short queue
# within this time. Sending the demand to more coordinators at once left 40 %
# of the grants unused.
_FAN_OUT_STEP_SECONDS: Final = 0.1
# The cost of a running request is reported when it has grown by this factor,
# which keeps the coordinator's error for the request below a quarter of what
# it has charged.
_CHARGE_REPORT_FACTOR: Final = 1.25
_MILLISECONDS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that waits for a slot.

    :param deadline_seconds: time at which it is rejected if still waiting.
    :param isolation_target: the only target on which a request that is
        suspected of crashing targets may run, None for other requests.
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
    """A grant whose request is running.

    :param units: the larger of the charge and the cost so far.
    :param reported_units: the charge last reported to the coordinator.
    """

    grant: Grant
    coordinator: RouterId
    coordinator_incarnation: Incarnation
    request_id: RequestId
    units: float
    reported_units: float


class GrantedRequest(NamedTuple):
    """A request and the grant with which it may run now."""

    request: PendingRequest
    grant: Grant


class DemandUpdate(NamedTuple):
    """A demand report for one coordinator.

    :param urgent: whether to send it now instead of in the next exchange
        period.
    """

    coordinator: RouterId
    demand: Demand
    urgent: bool


_Counts = dict[RequestClass, int]


@dataclass
class _OrganisationQueue:
    """Waiting requests of one organisation and where they were reported."""

    waiting: dict[RequestClass, deque[PendingRequest]] = field(
        default_factory=lambda: {one: deque() for one in RequestClass},
    )
    # The counts last reported to each coordinator, less the grants that were
    # received from it since.
    reported: dict[RouterId, _Counts] = field(default_factory=dict)
    first_reported_seconds: float | None = None

    @property
    def total_count(self) -> int:
        return sum(len(queue) for queue in self.waiting.values())

    @property
    def has_only_isolated(self) -> bool:
        return not (
            self.waiting[RequestClass.SHORT] or self.waiting[RequestClass.LONG]
        )

    def isolated_targets(self, targets: frozenset[TargetId]) -> list[TargetId]:
        return [
            request.isolation_target
            for request in self.waiting[RequestClass.ISOLATED]
            if request.isolation_target in targets
        ]

    def counts(self, targets: frozenset[TargetId]) -> _Counts:
        counts = {one: len(queue) for one, queue in self.waiting.items()}
        counts[RequestClass.ISOLATED] = len(self.isolated_targets(targets))
        return counts

    def all_waiting(self) -> Iterable[PendingRequest]:
        for queue in self.waiting.values():
            yield from queue


class RequestQueues:
    """Waiting requests of one service by organisation, and running ones.

    The waiting requests are reported as demand to some coordinators of the
    service's targets, which issue grants in response. A report goes to few
    coordinators first and to more of them while requests wait.
    """

    def __init__(
        self,
        service: Service,
        settings: ExchangeSettings,
        router: RouterId,
        rng: random.Random,
    ) -> None:
        """Create empty queues."""
        self.running: dict[RequestId, RunningGrant] = {}
        self._service = service
        self._settings = settings
        self._router = router
        self._rng = rng
        self._queues: dict[OrganisationId, _OrganisationQueue] = {}
        self._free_counts: dict[RouterId, int] = {}
        self._notified_coordinators: set[RouterId] = set()
        self._changed_organisations: set[OrganisationId] = set()
        # When the demand may be sent to one more coordinator.
        self._next_fan_out_seconds: dict[OrganisationId, float] = {}
        self._targets_by_coordinator: dict[RouterId, frozenset[TargetId]] = {}
        self._coordinator_by_target: Mapping[TargetId, RouterId] = {}
        self._seen_grants: OrderedDict[GrantId, None] = OrderedDict()

    def configure(self, service: Service) -> None:
        """Apply a changed configuration of the service."""
        self._service = service

    def add(self, request: PendingRequest) -> bool:
        """Queue a request unless its organisation's queue is full."""
        self._changed_organisations.add(request.organisation)
        queue = self._queues.setdefault(
            request.organisation, _OrganisationQueue()
        )
        if queue.total_count >= self._service.limits.queue_limit_count:
            return False
        queue.waiting[request.request_class].append(request)
        return True

    def remove(self, request: PendingRequest) -> bool:
        """Remove a waiting request and return whether it was there."""
        self._changed_organisations.add(request.organisation)
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
        """Start a waiting request on a grant.

        :returns: the request with its grant, a release when no request can
            use the grant, or None for a duplicate of an earlier grant.
        """
        if grant.grant_id in self._seen_grants:
            return None
        self._record_seen_grant(grant.grant_id)
        self._changed_organisations.add(grant.organisation)
        self._deduct_granted(coordinator, grant)
        # The coordinator may have a newer configuration with more targets.
        is_known = any(one.id == grant.target for one in self._service.targets)
        request = self._pop_request(grant) if is_known else None
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

    def record_cost(self, request_id: RequestId, units: float) -> None:
        """Record the cost so far of a running request."""
        running = self.running.get(request_id)
        if running is not None:
            running.units = max(running.units, units)

    def finish(
        self,
        request_id: RequestId,
        units: float,
        *,
        target_failed: bool,
        pause_seconds: float = 0,
    ) -> Release | None:
        """Remove a running request.

        :returns: the release of its grant, None if it is not running.
        """
        running = self.running.pop(request_id, None)
        if running is None:
            return None
        return Release(
            running.grant.grant_id,
            running.grant.target,
            units,
            unused=False,
            target_failed=target_failed,
            pause_milliseconds=math.ceil(
                min(pause_seconds, MAX_PAUSE_SECONDS) * _MILLISECONDS_PER_SECOND
            ),
        )

    def charges_due(self) -> list[Charge]:
        """Return charges that have grown enough to be reported again.

        They count as reported after the call.
        """
        due = []
        for running in self.running.values():
            if running.units > running.reported_units * _CHARGE_REPORT_FACTOR:
                running.reported_units = running.units
                due.append(
                    Charge(
                        running.grant.grant_id,
                        running.grant.target,
                        running.units,
                    ),
                )
        return due

    def held_grants(self, targets: Iterable[TargetId]) -> list[HeldGrants]:
        """Return the grants in use of each of some targets."""
        return [self._held_grants_of(target) for target in targets]

    def record_free_slots(self, coordinator: RouterId, free_count: int) -> None:
        """Record how many free slots a coordinator has reported."""
        self._free_counts[coordinator] = free_count

    def reset_coordinator(self, coordinator: RouterId) -> None:
        """Discard what a coordinator was sent, so that it is sent again."""
        self._free_counts.pop(coordinator, None)
        self._changed_organisations.update(self._queues)
        for queue in self._queues.values():
            queue.reported.pop(coordinator, None)

    def demand_updates(
        self,
        coordinator_by_target: Mapping[TargetId, RouterId],
        now_seconds: float,
    ) -> list[DemandUpdate]:
        """Return the demand reports that are due.

        :param coordinator_by_target: the coordinator of each target.
        """
        self._update_coordinators(coordinator_by_target)
        updates: list[DemandUpdate] = []
        self._changed_organisations.update(
            organisation
            for organisation, due_seconds in self._next_fan_out_seconds.items()
            if now_seconds >= due_seconds
        )
        changed = sorted(self._changed_organisations)
        self._changed_organisations.clear()
        for organisation in changed:
            updates.extend(self._updates_of(organisation, now_seconds))
        return updates

    def pop_notified_coordinators(self) -> frozenset[RouterId]:
        """Return the coordinators that had demand since the last call."""
        notified = frozenset(self._notified_coordinators)
        self._notified_coordinators = {
            coordinator
            for queue in self._queues.values()
            for coordinator in queue.reported
        }
        return notified

    def repeat_demand(
        self, coordinator: RouterId, now_seconds: float
    ) -> list[Demand]:
        """Return the demand to send to a coordinator again.

        An earlier report of it may have been lost. The counts are current.
        """
        repeated = []
        for organisation, queue in self._queues.items():
            if queue.reported.get(coordinator) is not None:
                queue.reported[coordinator] = queue.counts(
                    self._targets_of(coordinator)
                )
                repeated.append(
                    self._build_demand(organisation, coordinator, now_seconds)
                )
        return repeated

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.total_count for queue in self._queues.values())

    def waiting_by_organisation(self) -> dict[OrganisationId, int]:
        """Return the number of waiting requests of each organisation."""
        return {name: queue.total_count for name, queue in self._queues.items()}

    def running_by_organisation(self) -> dict[OrganisationId, int]:
        """Return the number of running requests of each organisation."""
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
            'free_slots_known': dict(self._free_counts),
        }

    def _record_seen_grant(self, grant_id: GrantId) -> None:
        self._seen_grants[grant_id] = None
        if len(self._seen_grants) > _MAX_SEEN_GRANT_COUNT:
            self._seen_grants.popitem(last=False)

    def _deduct_granted(self, coordinator: RouterId, grant: Grant) -> None:
        if self._free_counts.get(coordinator):
            self._free_counts[coordinator] -= 1
        queue = self._queues.get(grant.organisation)
        reported = None if queue is None else queue.reported.get(coordinator)
        if reported is not None and reported[grant.request_class]:
            reported[grant.request_class] -= 1

    def _pop_request(self, grant: Grant) -> PendingRequest | None:
        queue = self._queues.get(grant.organisation)
        if queue is None:
            return None
        if grant.request_class is RequestClass.ISOLATED:
            return self._pop_isolated(queue, grant.target)
        for request_class in _servable_classes(grant.request_class):
            if queue.waiting[request_class]:
                return queue.waiting[request_class].popleft()
        return None

    def _pop_isolated(
        self, queue: _OrganisationQueue, target: TargetId
    ) -> PendingRequest | None:
        for request in queue.waiting[RequestClass.ISOLATED]:
            if request.isolation_target == target:
                queue.waiting[RequestClass.ISOLATED].remove(request)
                return request
        return None

    def _targets_of(self, coordinator: RouterId) -> frozenset[TargetId]:
        return self._targets_by_coordinator.get(coordinator, frozenset())

    def _update_coordinators(
        self, coordinator_by_target: Mapping[TargetId, RouterId]
    ) -> None:
        if coordinator_by_target is self._coordinator_by_target:
            return
        self._coordinator_by_target = coordinator_by_target
        self._changed_organisations.update(self._queues)
        by_coordinator: dict[RouterId, set[TargetId]] = {}
        for target, owner in coordinator_by_target.items():
            by_coordinator.setdefault(owner, set()).add(target)
        self._targets_by_coordinator = {
            coordinator: frozenset(targets)
            for coordinator, targets in by_coordinator.items()
        }

    def _held_grants_of(self, target: TargetId) -> HeldGrants:
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
            self._next_fan_out_seconds.pop(organisation, None)
            return
        coordinators = frozenset(self._targets_by_coordinator)
        next_fan_out_seconds = self._choose_coordinators(
            queue, coordinators, now_seconds
        )
        if next_fan_out_seconds is None:
            self._next_fan_out_seconds.pop(organisation, None)
        else:
            self._next_fan_out_seconds[organisation] = next_fan_out_seconds
        for removed in queue.reported.keys() - coordinators:
            queue.reported.pop(removed)
        for coordinator in tuple(queue.reported):
            update = self._update(organisation, queue, coordinator, now_seconds)
            if update is not None:
                yield update
        if not queue.total_count and not queue.reported:
            self._queues.pop(organisation)

    def _choose_coordinators(
        self,
        queue: _OrganisationQueue,
        coordinators: frozenset[RouterId],
        now_seconds: float,
    ) -> float | None:
        """Choose further coordinators that are sent an organisation's demand.

        :returns: when more of them may be added, None when no more can be.
        """
        self._add_isolated_coordinators(queue)
        if queue.has_only_isolated:
            queue.first_reported_seconds = None
            return None
        chosen: list[RouterId] = []
        if queue.first_reported_seconds is None:
            queue.first_reported_seconds = now_seconds
            chosen = self._coordinators_with_free_slots(
                queue.total_count, coordinators
            )
        waited = now_seconds - queue.first_reported_seconds
        spread_delay = self._settings.spread_delay_seconds
        current_count = sum(
            1 for coordinator in queue.reported if coordinator in coordinators
        )
        if not chosen and (waited >= spread_delay or not current_count):
            allowed = self._fan_out_limit(queue.total_count, waited)
            chosen = self._sample_coordinators(
                queue, coordinators, allowed - current_count
            )
        for added in chosen:
            queue.reported.setdefault(added, dict.fromkeys(RequestClass, 0))
        if waited < spread_delay:
            return queue.first_reported_seconds + spread_delay
        if coordinators <= queue.reported.keys():
            return None
        return now_seconds + _FAN_OUT_STEP_SECONDS

    def _add_isolated_coordinators(self, queue: _OrganisationQueue) -> None:
        """Add the coordinators of the targets that crash suspects wait for."""
        for request in queue.waiting[RequestClass.ISOLATED]:
            target = request.isolation_target
            if target is not None and target in self._coordinator_by_target:
                queue.reported.setdefault(
                    self._coordinator_by_target[target],
                    dict.fromkeys(RequestClass, 0),
                )

    def _fan_out_limit(self, total_count: int, waited_seconds: float) -> int:
        """Return how many coordinators may be sent the demand of a queue.

        As long as requests wait, one more coordinator is added per exchange
        period, because the first ones may be busy while others have free
        slots.
        """
        fan_out = self._settings.fan_out_count
        early = 1 + int(waited_seconds / _FAN_OUT_STEP_SECONDS)
        late = int(waited_seconds / self._settings.period_seconds)
        return min(fan_out, max(total_count, early)) + late

    def _coordinators_with_free_slots(
        self, wanted_count: int, coordinators: frozenset[RouterId]
    ) -> list[RouterId]:
        free = sorted(
            coordinator
            for coordinator in coordinators
            if self._free_counts.get(coordinator, 0) > 0
        )
        # This router comes first, since it needs no message to itself.
        free.sort(
            key=lambda coordinator: (
                coordinator != self._router,
                -self._free_counts[coordinator],
                coordinator,
            )
        )
        chosen: list[RouterId] = []
        for coordinator in free:
            if wanted_count <= 0:
                break
            chosen.append(coordinator)
            wanted_count -= self._free_counts[coordinator]
        return chosen

    def _sample_coordinators(
        self,
        queue: _OrganisationQueue,
        coordinators: frozenset[RouterId],
        wanted_count: int,
    ) -> list[RouterId]:
        further = sorted(
            coordinator
            for coordinator in coordinators
            if coordinator not in queue.reported
        )
        if wanted_count <= 0 or not further:
            return []
        chosen = []
        if self._router in further:
            # A report to this router itself needs no message.
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
        reported = queue.reported[coordinator]
        if not any(
            _needs_update(reported[one], actual[one]) for one in RequestClass
        ):
            if not any(actual.values()) and not any(reported.values()):
                queue.reported.pop(coordinator)
            return None
        urgent = any(actual[one] and not reported[one] for one in RequestClass)
        queue.reported[coordinator] = actual
        self._notified_coordinators.add(coordinator)
        return DemandUpdate(
            coordinator,
            self._build_demand(organisation, coordinator, now_seconds),
            urgent,
        )

    def _build_demand(
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
        oldest_seconds = min(
            (request.enqueued_seconds for request in waiting),
            default=now_seconds,
        )
        return Demand(
            self._service.id,
            organisation,
            counts[RequestClass.SHORT],
            counts[RequestClass.LONG],
            tuple(queue.isolated_targets(targets)),
            units / max(1, len(waiting)),
            now_seconds - oldest_seconds,
        )


def unused_release(grant: Grant) -> Release:
    """Return the release of a grant that was not used for any request."""
    return Release(
        grant.grant_id, grant.target, 0, unused=True, target_failed=False
    )


def _servable_classes(granted: RequestClass) -> tuple[RequestClass, ...]:
    if granted is RequestClass.SHORT:
        return (RequestClass.SHORT, RequestClass.LONG)
    return (RequestClass.LONG, RequestClass.SHORT)


def _needs_update(reported_count: int, actual_count: int) -> bool:
    """Return whether a count differs enough to be reported again."""
    if reported_count == actual_count:
        return False
    if not reported_count or not actual_count:
        return True
    larger = max(reported_count, actual_count)
    return 2 * abs(reported_count - actual_count) > larger
