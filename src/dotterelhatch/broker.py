"""Connection between the tasks of requests and the sans-I/O node of a router.

A task submits its request here and waits until the node dispatches it to a
target or rejects it.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import curio

from dotterelhatch.core.events import (
    Action,
    DispatchRequest,
    Event,
    RejectRequest,
    RequestArrived,
    RequestCancelled,
)
from dotterelhatch.core.node import Node
from dotterelhatch.core.queues import PendingRequest
from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.ids import RequestId

__all__ = ('Broker',)

_LOGGER: Final = logging.getLogger(__name__)

PerformAction = Callable[[Action], Awaitable[None]]


class _Waiter:
    """Passes the outcome of a request to the task that waits for it."""

    def __init__(self) -> None:
        self.event = curio.Event()
        self.outcome: DispatchRequest | RejectRequest | None = None


class Broker:
    """Passes events to the node and executes the resulting actions.

    Actions that dispatch or reject a request wake the task that waits for it.

    :param node: the sans-I/O core that makes the decisions.
    :param clock: returns monotonic seconds.
    :param perform: executes all other actions.
    """

    def __init__(
        self, node: Node, clock: Callable[[], float], perform: PerformAction
    ) -> None:
        """Create a broker without waiting requests."""
        self._node = node
        self._clock = clock
        self._perform = perform
        self._waiters: dict[RequestId, _Waiter] = {}

    async def submit(self, event: Event) -> None:
        """Pass an event to the node and execute the resulting actions."""
        actions = self._node.handle(event, self._clock())
        # The actions also affect other requests, so a cancellation of the
        # calling task must not interrupt them.
        async with curio.disable_cancellation():
            await self._execute(actions)

    async def acquire(self, request: PendingRequest) -> DispatchRequest:
        """Queue a request and wait until it gets a slot at a target.

        :returns: the action that names the target to run the request on.
        :raises DotterelhatchError: when the request is rejected.
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
        return _dispatch_or_raise(waiter.outcome)

    async def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, DispatchRequest | RejectRequest):
                await self._wake(action)
            else:
                await self._perform(action)

    async def _wake(self, outcome: DispatchRequest | RejectRequest) -> None:
        waiter = self._waiters.get(outcome.request_id)
        if waiter is not None:
            waiter.outcome = outcome
            await waiter.event.set()
        elif isinstance(outcome, DispatchRequest):
            _LOGGER.warning(
                'slot granted to a request that no longer waits; releasing it',
                extra={'request_id': outcome.request_id},
            )
            await self.submit(RequestCancelled(outcome.request_id, 0))


def _dispatch_or_raise(
    outcome: DispatchRequest | RejectRequest | None,
) -> DispatchRequest:
    if isinstance(outcome, RejectRequest):
        raise DotterelhatchError(outcome.kind, outcome.detail)
    if outcome is None:
        raise RuntimeError('the request was woken without an outcome')
    return outcome
