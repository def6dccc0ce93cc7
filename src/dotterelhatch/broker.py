"""Connects requests in progress to the decisions of the node."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import curio

from dotterelhatch.core.events import (
    Action,
    DispatchRequest,
    Event,
    RefuseRequest,
    RequestArrived,
    RequestCancelled,
)
from dotterelhatch.core.node import Node
from dotterelhatch.core.queues import PendingRequest
from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.ids import RequestId

__all__ = ('Broker',)

_log: Final = logging.getLogger(__name__)

Perform = Callable[[Action], Awaitable[None]]


class _Waiter:
    """The outcome that a waiting request is woken with."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.outcome: DispatchRequest | RefuseRequest | None = None


class Broker:
    """Feeds events to the node and takes the actions that follow.

    :param node: the pure layer.
    :param clock: returns monotonic seconds.
    :param perform: takes all actions but those that wake a request.
    """

    def __init__(
        self, node: Node, clock: Callable[[], float], perform: Perform
    ) -> None:
        """Start with no request waiting."""
        self._node = node
        self._clock = clock
        self._perform = perform
        self._waiters: dict[RequestId, _Waiter] = {}

    async def submit(self, event: Event) -> None:
        """Hand an event to the node and take the actions that follow."""
        actions = self._node.handle(event, self._clock())
        # The actions concern other requests as well, so the cancellation of
        # the calling task must not stop them half-way.
        async with curio.disable_cancellation():
            await self._take(actions)

    async def acquire(self, request: PendingRequest) -> DispatchRequest:
        """Wait for a slot.

        :returns: the target to run the request on.
        :raises DotterelhatchError: when the request is refused.
        """
        waiter = _Waiter()
        self._waiters[request.request_id] = waiter
        try:
            await self.submit(RequestArrived(request))
            await waiter.event.wait()
        except curio.CancelledError:
            await self.submit(RequestCancelled(request.request_id, 0))
            raise
        finally:
            self._waiters.pop(request.request_id)
        return _granted(waiter.outcome)

    async def _take(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, DispatchRequest | RefuseRequest):
                await self._wake(action)
            else:
                await self._perform(action)

    async def _wake(self, outcome: DispatchRequest | RefuseRequest) -> None:
        waiter = self._waiters.get(outcome.request_id)
        if waiter is not None:
            waiter.outcome = outcome
            await waiter.event.set()
        elif isinstance(outcome, DispatchRequest):
            _log.warning(
                'grant for a request that no longer waits',
                extra={'request_id': outcome.request_id},
            )
            await self.submit(RequestCancelled(outcome.request_id, 0))


def _granted(
    outcome: DispatchRequest | RefuseRequest | None,
) -> DispatchRequest:
    if isinstance(outcome, RefuseRequest):
        raise DotterelhatchError(outcome.kind, outcome.detail)
    if outcome is None:
        raise RuntimeError('a request was woken without an outcome')
    return outcome
