"""Baseline scheduling policies that the product is compared with.

Membership, configuration and the request path are those of the product. Each
router owns an equal static share of the slots of every target, and routers
exchange no demand, grants or service counters.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator

from dotterelhatch.core.events import Action, ConfigInForce, Event
from dotterelhatch.core.messages import (
    FreeSlots,
    Grant,
    Message,
    Release,
)
from dotterelhatch.core.node import Node
from dotterelhatch.core.queues import GrantedRequest, PendingRequest
from dotterelhatch.core.service import EnqueueMessage, ServiceRouter
from dotterelhatch.fleet import Service, Target
from dotterelhatch.ids import GrantId, Incarnation, RouterId, TargetId
from dotterelhatch.settings import RouterSettings

__all__ = ('POLICIES', 'ArrivalOrderNode', 'LocalFairNode', 'make_node_factory')

_Dispatch = Callable[[GrantedRequest], None]


class _StaticShareService(ServiceRouter):
    """Fair queueing by local service counters over the local slots."""

    def __init__(
        self,
        service: Service,
        settings: RouterSettings,
        rng: random.Random,
        enqueue: EnqueueMessage,
        dispatch: _Dispatch,
        routers_count: int,
    ) -> None:
        super().__init__(service, settings, rng, enqueue, dispatch)
        self._routers_count = routers_count

    def assign_coordinators(
        self,
        routers: frozenset[RouterId],
        drained: frozenset[TargetId],
        now_seconds: float,
        reporters: frozenset[RouterId],
    ) -> None:
        """Make this router coordinate its share of every target."""
        self.coordinators = {
            target.id: self._router for target in self.service.targets
        }
        local_targets = {
            target.id: self._local_target(target)
            for target in self.service.targets
        }
        self.scheduler.set_targets(local_targets, now_seconds, frozenset())
        self.scheduler.ledger.scale = 1.0

    def free_slots(
        self, router: RouterId, now_seconds: float
    ) -> FreeSlots | None:
        """Report no free slots to other routers."""
        return None

    def _local_target(self, target: Target) -> Target:
        local_slots_count = max(1, target.slots_count // self._routers_count)
        return target.model_copy(update={'slots_count': local_slots_count})


class _ArrivalOrderService(_StaticShareService):
    """First come, first served, on a random target with a free local slot."""

    def __init__(
        self,
        service: Service,
        settings: RouterSettings,
        rng: random.Random,
        enqueue: EnqueueMessage,
        dispatch: _Dispatch,
        routers_count: int,
    ) -> None:
        super().__init__(
            service, settings, rng, enqueue, dispatch, routers_count
        )
        self._slots_in_use: Counter[TargetId] = Counter()
        self._next_id = rng.getrandbits(48)

    def advance(self, now_seconds: float) -> None:
        """Start the oldest waiting requests while local slots are free."""
        while True:
            oldest = min(
                self._queue_heads(),
                key=lambda request: request.enqueued_seconds,
                default=None,
            )
            free_targets = [
                target
                for target in self.service.targets
                if self._slots_in_use[target.id]
                < self._local_target(target).slots_count
            ]
            if oldest is None or not free_targets:
                return
            self._start_request(oldest, self._rng.choice(free_targets))

    def release(self, release: Release) -> None:
        """Free the slot of a finished request."""
        self._slots_in_use[release.target] -= 1

    def on_period(self, now_seconds: float) -> None:
        """Do nothing, as no reports are sent to other routers."""

    def on_reconcile_period(self, now_seconds: float) -> None:
        """Do nothing, as there is no remote state to reconcile."""

    def on_message(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        message: Message,
        now_seconds: float,
    ) -> None:
        """Ignore messages, which only the product's policy uses."""

    def _queue_heads(self) -> Iterator[PendingRequest]:
        for queue in self.queues._queues.values():
            for waiting in queue.waiting.values():
                if waiting:
                    yield waiting[0]

    def _start_request(self, request: PendingRequest, target: Target) -> None:
        required_target = request.isolation_target
        grant = Grant(
            GrantId(self._next_id),
            self.service.id,
            request.organisation,
            target.id if required_target is None else required_target,
            request.request_class,
            request.estimate_units,
        )
        self._next_id += 1
        outcome = self.queues.on_grant(self._router, Incarnation(0), grant)
        if not isinstance(outcome, GrantedRequest):
            raise RuntimeError(
                'the grant for the oldest request matched no request'
            )
        self._slots_in_use[grant.target] += 1
        self._dispatch(outcome)


class LocalFairNode(Node):
    """Node with fair queueing per router, without exchange between routers.

    :param routers_count: routers among which the slots of each target are
        divided.
    """

    service_class: type[_StaticShareService] = _StaticShareService

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: Incarnation,
        rng: random.Random,
        is_usable: Callable[[bytes], bool],
        routers_count: int = 4,
    ) -> None:
        """Create the node without a configuration."""
        super().__init__(settings, incarnation, rng, is_usable)
        self._routers_count = routers_count

    def handle(self, event: Event, now_seconds: float) -> list[Action]:
        """Handle an event and return the resulting actions."""
        if isinstance(event, ConfigInForce):
            for service in event.config.services:
                if service.id not in self.services:
                    self.services[service.id] = self.service_class(
                        service,
                        self.settings,
                        self._rng,
                        self._enqueue,
                        self._dispatch,
                        self._routers_count,
                    )
        return super().handle(event, now_seconds)


class ArrivalOrderNode(LocalFairNode):
    """Node with a first come, first served queue and random targets."""

    service_class = _ArrivalOrderService


POLICIES: dict[str, type[LocalFairNode]] = {
    'arrival-order': ArrivalOrderNode,
    'fair-per-router': LocalFairNode,
}


def make_node_factory(name: str, routers_count: int) -> Callable[..., Node]:
    """Return a function that creates nodes with a policy."""
    node_class = POLICIES[name]

    def make_node(
        settings: RouterSettings,
        incarnation: Incarnation,
        rng: random.Random,
        is_usable: Callable[[bytes], bool],
    ) -> Node:
        return node_class(settings, incarnation, rng, is_usable, routers_count)

    return make_node
