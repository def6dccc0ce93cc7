"""Rejection of connections whose requests are not read.

It takes a small part of the processor time of a request that is parsed, and
needs no task for each connection. A server that is too slow to read all
requests can still answer all of them.
"""

import contextlib
import enum
import itertools
import socket
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Final

import curio
import h11

from dotterelhatch.net.httptypes import CLOSE_HEADER, Response, encode_headers

__all__ = ('UnreadOutcome', 'UnreadRejections', 'receive_arrived')

_MAX_READ_BYTES: Final = 65_536
# Closing a socket with unread bytes resets the connection, and the caller may
# lose the response. A connection is closed after a time in which nothing
# arrived.
_QUIET_SECONDS: Final = 0.5
_MAX_LINGER_SECONDS: Final = 2.0
_MAX_LINGERING_COUNT: Final = 1024
_HEAD_METHOD: Final = b'HEAD '
_WOULD_BLOCK: Final = (BlockingIOError, InterruptedError)


@dataclass(frozen=True, slots=True)
class _PreparedResponse:
    head: bytes
    body: bytes

    @classmethod
    def encode(cls, response: Response) -> '_PreparedResponse':
        """Encode a response that ends its connection."""
        http = h11.Connection(h11.SERVER)
        length = ('Content-Length', str(len(response.body)))
        head = h11.Response(
            status_code=response.status,
            headers=encode_headers((*response.headers, length, CLOSE_HEADER)),
        )
        return cls(http.send(head) or b'', response.body)

    def answer_to(self, request: bytes) -> bytes:
        """Return the bytes to send.

        :param request: the first bytes of a request.
        """
        if request.startswith(_HEAD_METHOD):
            return self.head
        return self.head + self.body


@dataclass(frozen=True, slots=True)
class _Lingering:
    connected: socket.socket
    rejected_seconds: float
    due_seconds: float


class UnreadOutcome(enum.Enum):
    """What became of a connection that was to be rejected unread.

    IDLE: no request has arrived, so that nothing was sent. CLOSED: its caller
    had closed it.
    """

    REJECTED = 'rejected'
    IDLE = 'idle'
    CLOSED = 'closed'


class UnreadRejections:
    """Sends prepared responses and closes the connections after a while.

    :param responses: complete responses, sent in turn.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self, responses: Sequence[Response], clock: Callable[[], float]
    ) -> None:
        """Start without connections."""
        self._responses = itertools.cycle(
            [_PreparedResponse.encode(response) for response in responses]
        )
        self._clock = clock
        self._lingering: deque[_Lingering] = deque()
        self._sweep_task: Any = None

    async def reject(
        self, connected: socket.socket, received: bytes | None = None
    ) -> UnreadOutcome:
        """Reject a connection on which a request has arrived.

        :param received: the first bytes of the request, if they were read.
        """
        request = received or receive_arrived(connected)
        if request is None:
            return UnreadOutcome.IDLE
        if not request:
            connected.close()
            return UnreadOutcome.CLOSED
        with contextlib.suppress(OSError):
            connected.send(next(self._responses).answer_to(request))
            connected.shutdown(socket.SHUT_WR)
        now_seconds = self._clock()
        self._lingering.append(
            _Lingering(connected, now_seconds, now_seconds + _QUIET_SECONDS)
        )
        while len(self._lingering) > _MAX_LINGERING_COUNT:
            self._lingering.popleft().connected.close()
        if self._sweep_task is None:
            self._sweep_task = await curio.spawn(self._sweep, daemon=True)
        return UnreadOutcome.REJECTED

    async def close(self) -> None:
        """Close all connections."""
        if self._sweep_task is not None:
            await self._sweep_task.cancel()
        while self._lingering:
            self._lingering.popleft().connected.close()

    async def _sweep(self) -> None:
        """Close the connections whose callers have had time to read."""
        while self._lingering:
            await curio.sleep(_QUIET_SECONDS)
            now_seconds = self._clock()
            entries = tuple(self._lingering)
            self._lingering.clear()
            for entry in entries:
                self._close_if_quiet(entry, now_seconds)
        self._sweep_task = None

    def _close_if_quiet(self, entry: _Lingering, now_seconds: float) -> None:
        if now_seconds < entry.due_seconds:
            self._lingering.append(entry)
            return
        lingers = now_seconds - entry.rejected_seconds < _MAX_LINGER_SECONDS
        if receive_arrived(entry.connected) and lingers:
            due_seconds = now_seconds + _QUIET_SECONDS
            self._lingering.append(
                _Lingering(entry.connected, entry.rejected_seconds, due_seconds)
            )
            return
        entry.connected.close()


def receive_arrived(connected: socket.socket) -> bytes | None:
    """Return the bytes that have arrived, empty at the end, None if none."""
    try:
        return connected.recv(_MAX_READ_BYTES)
    except _WOULD_BLOCK:
        return None
    except OSError:
        return b''
