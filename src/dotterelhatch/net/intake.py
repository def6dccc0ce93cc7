"""Gate before the requests of a server, for times when its event loop is busy.

The requests that have been let in are tasks of the event loop, like the
responses in progress. The gate lets in one request per round of the loop, so
that each response in progress gets its turn before another request begins.
"""

import abc
import logging
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import curio

from dotterelhatch.core.intake import Flow, IntakeQueue
from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.net.httptypes import RequestHead, Response

__all__ = ('GateEntry', 'IntakeGate', 'IntakePolicy', 'WaitingRequest')

_LOGGER: Final = logging.getLogger(__name__)
# Late requests that are rejected in one round of the event loop. Together they
# take less processor time than the request that is let in.
_MAX_LATE_COUNT: Final = 4


class IntakePolicy(Protocol):
    """Tells what requests are that have not been read."""

    def identify(self, received: bytes) -> Flow:
        """Return the organisation of a request, None if it is not known.

        :param received: the first bytes of the request.
        """

    def on_rejected(self, flow: Flow) -> None:
        """Count a request that is rejected unread."""

    def time_limit_seconds(self, head: RequestHead) -> float | None:
        """Return how long a request may take.

        :returns: None if no route is known for it.
        """

    def on_passed(self, address: str, sent_bytes: int) -> None:
        """Count what was sent with a request that was passed on."""

    def on_pass_failed(
        self, head: RequestHead, error: DotterelhatchError
    ) -> Response:
        """Count a request that was passed on in vain.

        :returns: the response for its caller.
        """

    def choose_peer(self, flow: Flow, source: str) -> str | None:
        """Return the address of a server that has room for a request.

        :param flow: the organisation, None if it is not known.
        :param source: host of the caller.
        :returns: None if the request is to be served here.
        """


class GateEntry(abc.ABC):
    """Something that waits at the gate."""

    @abc.abstractmethod
    async def let_in(self) -> None:
        """Begin to serve it."""

    @abc.abstractmethod
    async def reject(self) -> None:
        """Reject it, because it has waited for too long."""


class WaitingRequest(GateEntry):
    """A request on an open connection, whose task waits at the gate.

    :ivar is_late: whether the request has waited for too long to be served.
    """

    def __init__(self) -> None:
        """Start before the request is let in."""
        self.is_late = False
        self._let_in = curio.Event()

    async def wait(self) -> None:
        """Return when the request may be read."""
        await self._let_in.wait()

    async def let_in(self) -> None:
        """Let the task of the connection read the request."""
        await self._let_in.set()

    async def reject(self) -> None:
        """Let the task of the connection reject the request."""
        self.is_late = True
        await self._let_in.set()


class IntakeGate:
    """Lets one request in per round of the event loop.

    :param clock: monotonic time in seconds.
    :param is_open: whether all requests are let in at once.
    """

    def __init__(self, clock: Callable[[], float], *, is_open: bool) -> None:
        """Start without waiting requests."""
        self._clock = clock
        self._queue = IntakeQueue[GateEntry]()
        self._let_in = curio.Event()
        self._is_taken = False
        self._is_open = is_open

    @property
    def waiting_count(self) -> int:
        """Return the number of entries."""
        return len(self._queue)

    async def run_forever(self) -> None:
        """Let in or reject the entries until the task is cancelled."""
        while True:
            await self._let_in.wait()
            self._let_in.clear()
            await curio.sleep(0)
            while self._queue:
                await self._run_round()
                await curio.sleep(0)
            self._is_taken = False

    async def open(self) -> None:
        """Let in all entries, those that come later included."""
        self._is_open = True
        while self._queue:
            await self._let_in_next()

    async def enter(self, flow: Flow) -> WaitingRequest:
        """Return when a request may be read."""
        request = WaitingRequest()
        if await self.try_enter():
            return request
        self.add(request, flow)
        try:
            await request.wait()
        finally:
            self._queue.discard(request)
        return request

    async def try_enter(self) -> bool:
        """Return whether a request may be read in this round."""
        if self._is_open:
            return True
        if self._is_taken:
            return False
        self._is_taken = True
        await self._let_in.set()
        return True

    def add(self, entry: GateEntry, flow: Flow, source: str = '') -> None:
        """Add an entry, after :meth:`try_enter` has returned False.

        :param source: host of the caller if the connection is new.
        """
        self._queue.add(entry, flow, self._clock(), source)

    async def reject_excess(self, max_count: int) -> None:
        """Reject a request if more than some are waiting.

        It is one at a time, so that rejections leave time for responses.
        """
        entry = self._queue.take_excess(max_count)
        if entry is not None:
            await _run(entry.reject)

    async def _run_round(self) -> None:
        now_seconds = self._clock()
        for _ in range(_MAX_LATE_COUNT):
            late = self._queue.take_late(now_seconds)
            if late is not None:
                await _run(late.reject)
        await self._let_in_next()

    async def _let_in_next(self) -> None:
        entry = self._queue.take_next()
        if entry is not None:
            await _run(entry.let_in)


async def _run(step: Callable[[], Awaitable[None]]) -> None:
    """Run a step of an entry; its failure must not stop the gate."""
    try:
        await step()
    except Exception:
        _LOGGER.exception('a connection failed at the gate')
