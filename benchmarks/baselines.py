"""Scheduling policies that the product is compared with.

Both keep membership, configuration and all of the request path. Each router
owns an equal static part of the slots of every target, and no demand, grant
or counter is exchanged between routers.
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

__all__ = ('POLICIES', 'ArrivalOrderNode', 'LocalFairNode', 'make_policy')

_Dispatch = Callable[[GrantedRequest], None]


class _LocalService(ServiceRouter):
    """Fair order by the counters of this router over its own slots."""

    def __init__(
        self,
        service: Service,
        settings: RouterSettings,
        rng: random.Random,
        post: EnqueueMessage,
        dispatch: _Dispatch,
        routers_count: int,
    ) -> None:
        super().__init__(service, settings, rng, post, dispatch)
        self._routers_count = routers_count

    def assign_coordinators(
        self,
        routers: frozenset[RouterId],
        drained: frozenset[TargetId],
        now_seconds: float,
        reporters: frozenset[RouterId],
    ) -> None:
        """Make this router the home of its part of every target."""
        self.coordinators = {
            one.id: self._router for one in self.service.targets
        }
        own = {one.id: self._part(one) for one in self.service.targets}
        self.scheduler.set_targets(own, now_seconds, frozenset())
        self.scheduler.ledger.scale = 1.0

    def free_slots(
        self, router: RouterId, now_seconds: float
    ) -> FreeSlots | None:
        """Tell the other routers nothing."""
        return None

    def _part(self, target: Target) -> Target:
        part = max(1, target.slots_count // self._routers_count)
        return target.model_copy(update={'slots_count': part})


class _ArrivalOrderService(_LocalService):
    """First come first served, on a random target with a free own slot."""

    def __init__(
        self,
        service: Service,
        settings: RouterSettings,
        rng: random.Random,
        post: EnqueueMessage,
        dispatch: _Dispatch,
        routers_count: int,
    ) -> None:
        super().__init__(service, settings, rng, post, dispatch, routers_count)
        self._in_use: Counter[TargetId] = Counter()
        self._next_id = rng.getrandbits(48)

    def advance(self, now_seconds: float) -> None:
        """Start the requests that have waited longest."""
        while True:
            first = min(
                self._heads(),
                key=lambda one: one.enqueued_seconds,
                default=None,
            )
            free = [
                target
                for target in self.service.targets
                if self._in_use[target.id] < self._part(target).slots_count
            ]
            if first is None or not free:
                return
            self._start(first, self._rng.choice(free))

    def release(self, release: Release) -> None:
        """Free the slot."""
        self._in_use[release.target] -= 1

    def on_period(self, now_seconds: float) -> None:
        """Exchange nothing."""

    def on_reconcile_period(self, now_seconds: float) -> None:
        """Exchange nothing."""

    def on_message(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        message: Message,
        now_seconds: float,
    ) -> None:
        """Ignore what concerns other policies."""

    def _heads(self) -> Iterator[PendingRequest]:
        for queue in self.queues._queues.values():
            for waiting in queue.waiting.values():
                if waiting:
                    yield waiting[0]

    def _start(self, request: PendingRequest, target: Target) -> None:
        wanted = request.isolation_target
        grant = Grant(
            GrantId(self._next_id),
            self.service.id,
            request.organisation,
            target.id if wanted is None else wanted,
            request.request_class,
            request.estimate_units,
        )
        self._next_id += 1
        outcome = self.queues.on_grant(self._router, Incarnation(0), grant)
        if not isinstance(outcome, GrantedRequest):
            raise RuntimeError('the first request of a queue was not there')
        self._in_use[grant.target] += 1
        self._dispatch(outcome)


class LocalFairNode(Node):
    """Fair queueing per router, without exchange.

    :param routers_count: routers that share the slots of each target.
    """

    service_class: type[_LocalService] = _LocalService

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: Incarnation,
        rng: random.Random,
        is_usable: Callable[[bytes], bool],
        routers_count: int = 4,
    ) -> None:
        """Start without configuration."""
        super().__init__(settings, incarnation, rng, is_usable)
        self._routers_count = routers_count

    def handle(self, event: Event, now_seconds: float) -> list[Action]:
        """Take an event and return the actions that follow from it."""
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
    """First come first served per router, random targets."""

    service_class = _ArrivalOrderService


POLICIES: dict[str, type[LocalFairNode]] = {
    'arrival-order': ArrivalOrderNode,
    'fair-per-router': LocalFairNode,
}


def make_policy(name: str, routers_count: int) -> Callable[..., Node]:
    """Return the factory of a policy's node."""
    policy = POLICIES[name]

    def make(
        settings: RouterSettings,
        incarnation: Incarnation,
        rng: random.Random,
        is_usable: Callable[[bytes], bool],
    ) -> Node:
        return policy(settings, incarnation, rng, is_usable, routers_count)

    return make
