"""One service at one router: its queue, its home role and its counters."""

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

__all__ = ('GrantEvent', 'EnqueueMessage', 'ServiceRouter')

# Queues a message for a router: receiver, message, whether it is urgent.
EnqueueMessage = Callable[[RouterId, Message, bool], None]
_Dispatch = Callable[[GrantedRequest], None]


class GrantEvent(enum.Enum):
    """What happened to a grant at this router.

    An unused grant found no waiting request. A rejected one was a repetition.
    """

    ISSUED = 'issued'
    RECEIVED = 'received'
    UNUSED = 'unused'
    REJECTED = 'rejected'


class ServiceRouter:
    """Connects the entry queue and the home scheduler of one service."""

    def __init__(
        self,
        service: Service,
        settings: RouterSettings,
        rng: random.Random,
        post: EnqueueMessage,
        dispatch: _Dispatch,
    ) -> None:
        """Start with no homes known."""
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
        self._post = post
        self._dispatch = dispatch
        self._told_free: dict[RouterId, int] = {}
        self._grant_events: Counter[GrantEvent] = Counter()
        self._moved_at_seconds: dict[TargetId, float] = {}
        exchange = settings.exchange
        # The new home may notice the change this much later and ignores the
        # lists of grants that arrive before.
        self._repeat_seconds = (
            exchange.dead_after_seconds + exchange.period_seconds
        )

    def configure(
        self, service: Service, weights: dict[OrganisationId, float]
    ) -> None:
        """Apply a configuration."""
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
        """Compute the homes of all targets anew.

        :param routers: routers that may be homes of this service.
        :param reporters: routers that may hold grants of former homes.
        """
        targets = {target.id: target for target in self.service.targets}
        former = self.coordinators
        self.coordinators = coordinators_of(targets, routers)
        own = {
            name: _with_drain(targets[name], drained)
            for name, coordinator in self.coordinators.items()
            if coordinator == self._router
        }
        self.scheduler.set_targets(own, now_seconds, reporters)
        moved = [
            target
            for target, coordinator in self.coordinators.items()
            if former.get(target) != coordinator
        ]
        self._moved_at_seconds.update(dict.fromkeys(moved, now_seconds))
        self._post_held(moved, urgent=True)
        total = sum(target.slots_count for target in self.service.targets)
        self.scheduler.ledger.scale = total / max(
            1, self.scheduler.slots_count()
        )

    def advance(self, now_seconds: float) -> None:
        """Send the demand that is due and issue the grants that are due."""
        for update in self.queues.demand_updates(
            self.coordinators, now_seconds
        ):
            self._post(update.coordinator, update.demand, update.urgent)
        for issued in self.scheduler.grants(now_seconds):
            self._grant_events[GrantEvent.ISSUED] += 1
            self._post(issued.router, issued.grant, True)

    def on_period(self, now_seconds: float) -> None:
        """Send what is due once an exchange period."""
        for charge in self.queues.charges_due():
            self._post_to_coordinator(charge.target, charge, urgent=False)
        self._repeat_held(now_seconds)
        if self.scheduler.targets():
            aggregator = aggregator_of(
                self.service.id, self.coordinators.values()
            )
            report = self.scheduler.ledger.report(
                aggregator, self.scheduler.active()
            )
            self._post(aggregator, report, False)

    def on_reconcile_period(self, now_seconds: float) -> None:
        """Repair the state of homes that may have lost a message."""
        told = self.queues.take_notified_coordinators()
        self._post_held(
            target
            for target, coordinator in self.coordinators.items()
            if coordinator in told
        )
        for coordinator in sorted(told):
            for demand in self.queues.restate_demand(coordinator, now_seconds):
                self._post(coordinator, demand, False)

    def resynchronise(self, coordinator: RouterId, now_seconds: float) -> None:
        """Tell a home everything after a failed call or a restart."""
        self.queues.forget_coordinator(coordinator)
        self._told_free.pop(coordinator, None)
        self._post_held(
            target
            for target, owner in self.coordinators.items()
            if owner == coordinator
        )

    def forget_router(self, router: RouterId, now_seconds: float) -> None:
        """Drop what belongs to a router that is gone."""
        self.queues.forget_coordinator(router)
        self.scheduler.forget_router(router, now_seconds)

    def pause_scheduler(self, until_seconds: float) -> None:
        """Issue no grant before a time, after this router was paused."""
        self.scheduler.pause(until_seconds)

    def release(self, release: Release) -> None:
        """Send a release to the home of its target."""
        self._post_to_coordinator(release.target, release, urgent=True)

    def free_slots(
        self, router: RouterId, now_seconds: float
    ) -> FreeSlots | None:
        """Return the free slots if a router has not been told of them."""
        free_count = self.scheduler.free_count(now_seconds)
        told_count = self._told_free.get(router)
        if told_count is not None and bool(told_count) == bool(free_count):
            return None
        if told_count is None and not free_count:
            return None
        self._told_free[router] = free_count
        return FreeSlots(self.service.id, free_count)

    def on_message(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        message: Message,
        now_seconds: float,
    ) -> None:
        """Handle a message about this service."""
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
                self.queues.note_free(sender, message.free_count)
            case LedgerReport():
                self._on_report(sender, incarnation, message, now_seconds)
            case LedgerTotals():
                self.scheduler.ledger.on_totals(sender, message, now_seconds)

    def take_grant_events(self) -> Counter[GrantEvent]:
        """Return what happened to grants since the last call."""
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
            # The target was removed while the grant was on its way.
            self._post(coordinator, unused_release(grant), True)
            return
        outcome = self.queues.on_grant(coordinator, incarnation, grant)
        self._grant_events[GrantEvent.RECEIVED] += 1
        if isinstance(outcome, Release):
            self._grant_events[GrantEvent.UNUSED] += 1
            self._post(coordinator, outcome, True)
        elif outcome is None:
            self._grant_events[GrantEvent.REJECTED] += 1
        else:
            self._dispatch(outcome)
            if self.coordinators.get(grant.target) != coordinator:
                # The target has another home by now, which must count this
                # grant too.
                self._post_held((grant.target,), urgent=True)

    def _on_report(
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
        self._post(sender, totals, False)

    def _repeat_held(self, now_seconds: float) -> None:
        """Report the grants of targets that have moved lately again."""
        self._moved_at_seconds = {
            target: moved_at
            for target, moved_at in self._moved_at_seconds.items()
            if now_seconds - moved_at <= self._repeat_seconds
        }
        self._post_held(self._moved_at_seconds)

    def _post_to_coordinator(
        self, target: TargetId, message: Message, *, urgent: bool
    ) -> None:
        coordinator = self.coordinators.get(target)
        if coordinator is not None:
            self._post(coordinator, message, urgent)

    def _post_held(
        self, targets: Iterable[TargetId], *, urgent: bool = False
    ) -> None:
        for held in self.queues.held(targets):
            self._post_to_coordinator(held.target, held, urgent=urgent)


def _with_drain(target: Target, drained: frozenset[TargetId]) -> Target:
    if target.id in drained:
        return target.model_copy(update={'drained': True})
    return target
