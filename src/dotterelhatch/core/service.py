"""Routing of one service at one router.

A router queues the requests that it received, issues grants for the targets
that it coordinates, and exchanges both with the other routers.
"""

import enum
import random
from collections import Counter
from collections.abc import Callable, Iterable

from dotterelhatch.core.ledger import Aggregator, ServiceLedger
from dotterelhatch.core.messages import (
    Charge,
    Demand,
    FreeSlots,
    Grant,
    HeldGrants,
    LedgerReport,
    LedgerTotals,
    Message,
    Release,
)
from dotterelhatch.core.placement import aggregator_of, coordinators_of
from dotterelhatch.core.queues import (
    GrantedRequest,
    RequestQueues,
    unused_release,
)
from dotterelhatch.core.scheduler import GrantScheduler
from dotterelhatch.fleet import Service, Target
from dotterelhatch.ids import (
    Incarnation,
    OrganisationId,
    RouterId,
    TargetId,
)
from dotterelhatch.settings import RouterSettings

__all__ = ('EnqueueMessage', 'GrantEvent', 'ServiceRouter')

# Queues a message: receiver, message, whether to send it at once.
EnqueueMessage = Callable[[RouterId, Message, bool], None]
_Dispatch = Callable[[GrantedRequest], None]


class GrantEvent(enum.Enum):
    """What happened to a grant at this router.

    A grant is unused when no request waited for it, and rejected when it was
    a duplicate.
    """

    ISSUED = 'issued'
    RECEIVED = 'received'
    UNUSED = 'unused'
    REJECTED = 'rejected'


class ServiceRouter:
    """Connects the request queues and the grant scheduler of one service.

    The queues hold the requests that this router received. The scheduler
    issues grants for the targets that this router coordinates.

    :ivar coordinators: the coordinator of each target of the service.
    """

    def __init__(
        self,
        service: Service,
        settings: RouterSettings,
        rng: random.Random,
        enqueue: EnqueueMessage,
        dispatch: _Dispatch,
    ) -> None:
        """Create the service without coordinators of its targets."""
        self.service = service
        self.queues = RequestQueues(
            service, settings.exchange, settings.router_id, rng
        )
        self.scheduler = GrantScheduler(service, ServiceLedger(service.id), rng)
        self.coordinators: dict[TargetId, RouterId] = {}
        self._aggregator: Aggregator | None = None
        self._weights: dict[OrganisationId, float] = {}
        self._router = settings.router_id
        self._rng = rng
        self._enqueue = enqueue
        self._dispatch = dispatch
        self._reported_free_counts: dict[RouterId, int] = {}
        self._grant_events: Counter[GrantEvent] = Counter()
        self._moved_at_seconds: dict[TargetId, float] = {}
        exchange = settings.exchange
        # A new coordinator may apply its assignment this much later than this
        # router, and held grants that are reported before may not be counted.
        self._held_repeat_seconds = (
            exchange.dead_after_seconds + exchange.period_seconds
        )

    def configure(
        self, service: Service, weights: dict[OrganisationId, float]
    ) -> None:
        """Apply a changed configuration."""
        self.service = service
        self.queues.configure(service)
        self.scheduler.configure(service, weights)
        self._weights = weights
        if self._aggregator is not None:
            self._aggregator.set_weights(weights)

    def assign_coordinators(
        self,
        routers: frozenset[RouterId],
        drained: frozenset[TargetId],
        now_seconds: float,
        reporters: frozenset[RouterId],
    ) -> None:
        """Assign the coordinator of each target.

        :param routers: routers that may coordinate targets of this service.
        :param drained: targets that receive no new requests.
        :param reporters: routers that may hold grants of former
            coordinators.
        """
        targets = {target.id: target for target in self.service.targets}
        former = self.coordinators
        self.coordinators = coordinators_of(targets, routers)
        coordinated = {
            name: _mark_drained(targets[name], drained)
            for name, coordinator in self.coordinators.items()
            if coordinator == self._router
        }
        self.scheduler.set_targets(coordinated, now_seconds, reporters)
        moved = [
            target
            for target, coordinator in self.coordinators.items()
            if former.get(target) != coordinator
        ]
        self._moved_at_seconds.update(dict.fromkeys(moved, now_seconds))
        self._send_held_grants(moved, urgent=True)
        total = sum(target.slots_count for target in self.service.targets)
        self.scheduler.ledger.scale = total / max(
            1, self.scheduler.slots_count()
        )

    def advance(self, now_seconds: float) -> None:
        """Send the demand and issue the grants that are due."""
        for update in self.queues.demand_updates(
            self.coordinators, now_seconds
        ):
            self._enqueue(update.coordinator, update.demand, update.urgent)
        for issued in self.scheduler.issue_grants(now_seconds):
            self._grant_events[GrantEvent.ISSUED] += 1
            self._enqueue(issued.router, issued.grant, True)

    def on_period(self, now_seconds: float) -> None:
        """Send the reports that are due once per exchange period."""
        for charge in self.queues.charges_due():
            self._send_to_coordinator(charge.target, charge, urgent=False)
        self._repeat_held_grants(now_seconds)
        if self.scheduler.targets():
            aggregator = aggregator_of(
                self.service.id, self.coordinators.values()
            )
            report = self.scheduler.ledger.report(
                aggregator, self.scheduler.active_organisations()
            )
            self._enqueue(aggregator, report, False)

    def on_reconcile_period(self, now_seconds: float) -> None:
        """Repeat the state sent to coordinators, in case it was lost."""
        notified = self.queues.pop_notified_coordinators()
        self._send_held_grants(
            target
            for target, coordinator in self.coordinators.items()
            if coordinator in notified
        )
        for coordinator in sorted(notified):
            for demand in self.queues.repeat_demand(coordinator, now_seconds):
                self._enqueue(coordinator, demand, False)

    def resynchronise(self, coordinator: RouterId, now_seconds: float) -> None:
        """Send a coordinator all state after a failed call or a restart."""
        self.queues.reset_coordinator(coordinator)
        self._reported_free_counts.pop(coordinator, None)
        self._send_held_grants(
            target
            for target, owner in self.coordinators.items()
            if owner == coordinator
        )

    def remove_router(self, router: RouterId, now_seconds: float) -> None:
        """Remove the demand and the grants of an unreachable router."""
        self.queues.reset_coordinator(router)
        self.scheduler.remove_router(router, now_seconds)

    def pause_scheduler(self, until_seconds: float) -> None:
        """Issue no grants until a time, after this process was paused."""
        self.scheduler.pause(until_seconds)

    def release(self, release: Release) -> None:
        """Send a release to the coordinator of its target."""
        self._send_to_coordinator(release.target, release, urgent=True)

    def free_slots(
        self, router: RouterId, now_seconds: float
    ) -> FreeSlots | None:
        """Return the report of free slots that is due for a router.

        A report is due when slots have become free, or the last free one was
        taken, since the previous report. Other changes are not reported.

        :returns: None if no report is due.
        """
        free_count = self.scheduler.free_count(now_seconds)
        reported_count = self._reported_free_counts.get(router)
        if reported_count is not None and bool(reported_count) == bool(
            free_count
        ):
            return None
        if reported_count is None and not free_count:
            return None
        self._reported_free_counts[router] = free_count
        return FreeSlots(self.service.id, free_count)

    def on_message(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        message: Message,
        now_seconds: float,
    ) -> None:
        """Handle a message for this service."""
        match message:
            case Demand():
                self.scheduler.on_demand(sender, message, now_seconds)
            case Grant():
                self._on_grant(sender, incarnation, message)
            case Release():
                self.scheduler.on_release(message, now_seconds)
            case Charge():
                self.scheduler.on_charge(message)
            case HeldGrants():
                self.scheduler.on_held(sender, message, now_seconds)
            case FreeSlots():
                self.queues.record_free_slots(sender, message.free_count)
            case LedgerReport():
                self._on_ledger_report(
                    sender, incarnation, message, now_seconds
                )
            case LedgerTotals():
                self.scheduler.ledger.on_totals(sender, message, now_seconds)

    def pop_grant_events(self) -> Counter[GrantEvent]:
        """Return the number of grant events since the last call."""
        taken = self._grant_events
        self._grant_events = Counter()
        return taken

    def dump(self, now_seconds: float) -> dict[str, object]:
        """Return the state for the state dump."""
        aggregator = self._aggregator
        return {
            'entry': self.queues.dump(),
            'home': self.scheduler.dump(now_seconds),
            'homes': dict(self.coordinators),
            'aggregator': None if aggregator is None else aggregator.dump(),
        }

    def _on_grant(
        self, coordinator: RouterId, incarnation: Incarnation, grant: Grant
    ) -> None:
        if grant.target not in self.coordinators:
            # The target was removed while the grant was in transit.
            self._enqueue(coordinator, unused_release(grant), True)
            return
        outcome = self.queues.on_grant(coordinator, incarnation, grant)
        self._grant_events[GrantEvent.RECEIVED] += 1
        if isinstance(outcome, Release):
            self._grant_events[GrantEvent.UNUSED] += 1
            self._enqueue(coordinator, outcome, True)
        elif outcome is None:
            self._grant_events[GrantEvent.REJECTED] += 1
        else:
            self._dispatch(outcome)
            if self.coordinators.get(grant.target) != coordinator:
                # The target has a new coordinator, which must count this
                # grant too.
                self._send_held_grants((grant.target,), urgent=True)

    def _on_ledger_report(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        report: LedgerReport,
        now_seconds: float,
    ) -> None:
        if self._aggregator is None:
            self._aggregator = Aggregator(self.service.id, self._rng)
            self._aggregator.set_weights(self._weights)
        totals = self._aggregator.on_report(
            sender, incarnation, report, now_seconds
        )
        self._enqueue(sender, totals, False)

    def _repeat_held_grants(self, now_seconds: float) -> None:
        """Repeat held grants of targets whose coordinator changed recently."""
        self._moved_at_seconds = {
            target: moved_at
            for target, moved_at in self._moved_at_seconds.items()
            if now_seconds - moved_at <= self._held_repeat_seconds
        }
        self._send_held_grants(self._moved_at_seconds)

    def _send_to_coordinator(
        self, target: TargetId, message: Message, *, urgent: bool
    ) -> None:
        coordinator = self.coordinators.get(target)
        if coordinator is not None:
            self._enqueue(coordinator, message, urgent)

    def _send_held_grants(
        self, targets: Iterable[TargetId], *, urgent: bool = False
    ) -> None:
        for held in self.queues.held_grants(targets):
            self._send_to_coordinator(held.target, held, urgent=urgent)


def _mark_drained(target: Target, drained: frozenset[TargetId]) -> Target:
    if target.id in drained:
        return target.model_copy(update={'drained': True})
    return target
