"""Passes the request on a connection to another server without parsing it.

Relaying bytes takes a fraction of the processor time of serving a request. A
server whose processor is saturated can so have its callers served by others.
"""

import contextlib
import enum
import socket
import time
from dataclasses import dataclass
from typing import Final

import curio

from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.net.httptypes import CLOSE_HEADER
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = (
    'HEAD_END',
    'NotPassedError',
    'PassLimits',
    'PassOutcome',
    'PassedRequest',
    'pass_error',
)

HEAD_END: Final = b'\r\n\r\n'
_LINE_END: Final = b'\r\n'
_CLOSE_LINE: Final = ': '.join(CLOSE_HEADER).encode() + _LINE_END
_CONNECT_TIMEOUT_SECONDS: Final = 0.2
# A server that has lost power sends no reset. Probes find that out in a few
# seconds, also while it has nothing to send.
_PROBE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)
# The limit of the other server begins when the request arrives there.
_ARRIVAL_GRACE_SECONDS: Final = 0.1
# Pause that a response which has begun may have after the time limit. The other
# server ends it by the same limit, unless it has stopped.
_LATE_PAUSE_SECONDS: Final = 0.3


class NotPassedError(Exception):
    """The other server could not be reached and has seen no byte."""


class PassOutcome(enum.Enum):
    """How a request that was passed on has ended.

    COMPLETE: the other server has responded and closed the connection.
    TRUNCATED: a part of its response was relayed. UNANSWERED: its connection
    broke before a response. TIMED_OUT: there was none within the time limit.
    CALLER_LEFT: the caller disconnected.
    """

    COMPLETE = 'complete'
    TRUNCATED = 'truncated'
    UNANSWERED = 'unanswered'
    TIMED_OUT = 'timed_out'
    CALLER_LEFT = 'caller_left'


@dataclass(frozen=True, slots=True)
class PassLimits:
    """How long the other server and the caller are waited for.

    :param response_seconds: time limit of the request. A response that has
        begun goes on after it as long as bytes arrive.
    :param write_seconds: longest time without any byte being accepted by
        either side.
    """

    response_seconds: float
    write_seconds: float


class PassedRequest:
    """A request whose response comes from another server, byte by byte.

    The connection carries this request only: the other server is asked to
    close it, so that the next one takes its turn here again. The request may
    have run as soon as a byte was sent, so it is never passed on twice.

    :param caller: connection of the caller.
    :param address: of the other server.
    :param limits: time limits.
    """

    def __init__(
        self, caller: SocketStream, address: str, limits: PassLimits
    ) -> None:
        """Store the parameters."""
        self._caller = caller
        self._address = address
        self._limits = limits
        self._due_seconds = 0.0
        self._has_started = False
        self._has_caller_left = False
        self.sent_bytes = 0

    async def run(self, received: bytes) -> PassOutcome:
        """Relay the request and its response.

        :param received: the first bytes of the request, with its whole head.
        :raises NotPassedError: the request can be served here instead.
        """
        self._due_seconds = (
            time.monotonic()
            + self._limits.response_seconds
            + _ARRIVAL_GRACE_SECONDS
        )
        try:
            server = await SocketStream.connect(
                self._address, _CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, WaitTimeoutError) as error:
            raise NotPassedError(str(error)) from error
        try:
            return await self._relay(server, received)
        finally:
            server.close()

    async def _relay(
        self, server: SocketStream, received: bytes
    ) -> PassOutcome:
        server.set_options(_PROBE_OPTIONS)
        sending = await curio.spawn(
            self._send, server, _with_close(received), daemon=True
        )
        try:
            await self._relay_response(server)
        except WaitTimeoutError:
            # Bytes that are on their way are not delivered after a reset.
            server.reset_on_close()
            return self._failure(PassOutcome.TIMED_OUT)
        except OSError:
            return self._failure(PassOutcome.UNANSWERED)
        finally:
            await sending.cancel()
        if self._has_started:
            return PassOutcome.COMPLETE
        return self._failure(PassOutcome.UNANSWERED)

    async def _relay_response(self, server: SocketStream) -> None:
        while content := await self._read(server):
            self._has_started = True
            await self._write_caller(content)

    async def _read(self, server: SocketStream) -> bytes:
        try:
            return await server.read(self._remaining_seconds())
        except WaitTimeoutError:
            # This process may have been late itself.
            content = server.read_nowait()
            if content is None:
                raise
            return content

    async def _write_caller(self, content: bytes) -> None:
        """Send a part of the response.

        The timeout of a write starts again with each byte that is accepted, so
        that a caller could hold the connection for days.
        """
        remaining_seconds = self._remaining_seconds()
        try:
            async with curio.timeout_after(remaining_seconds):
                await self._caller.write(content, self._limits.write_seconds)
        except curio.TaskTimeout:
            raise WaitTimeoutError(
                'the caller has not taken the response in time'
            ) from None

    def _remaining_seconds(self) -> float:
        """Return how long the other server or the caller may take."""
        remaining_seconds = self._due_seconds - time.monotonic()
        shortest_seconds = _LATE_PAUSE_SECONDS if self._has_started else 0
        return max(remaining_seconds, shortest_seconds)

    def _failure(self, unanswered: PassOutcome) -> PassOutcome:
        if self._has_started:
            return PassOutcome.TRUNCATED
        if self._has_caller_left:
            return PassOutcome.CALLER_LEFT
        return unanswered

    async def _send(self, server: SocketStream, content: bytes) -> None:
        """Send what the caller sends, until it disconnects."""
        with contextlib.suppress(OSError, WaitTimeoutError):
            while content:
                await server.write(content, self._limits.write_seconds)
                self.sent_bytes += len(content)
                content = await self._read_caller()
        server.shutdown()

    async def _read_caller(self) -> bytes:
        try:
            content = await self._caller.read()
        except OSError:
            content = b''
        self._has_caller_left = not content
        return content


def pass_error(outcome: PassOutcome) -> DotterelhatchError:
    """Return the error of a request whose response is missing."""
    if outcome is PassOutcome.TIMED_OUT:
        return DotterelhatchError(
            ErrorKind.DEADLINE_EXCEEDED,
            'no response within the deadline from the router that the request '
            'was passed on to',
            Executed.UNKNOWN,
        )
    return DotterelhatchError(
        ErrorKind.ROUTER_FAILED,
        'the router that the request was passed on to closed the connection '
        'before the end of its response',
        Executed.UNKNOWN,
    )


def _with_close(received: bytes) -> bytes:
    """Ask for the connection to be closed after the response."""
    request_line, _, rest = received.partition(_LINE_END)
    return request_line + _LINE_END + _CLOSE_LINE + rest
