"""HTTP/1.1 server (h11 on curio sockets).

The client function and the HTTP types are re-exported here.
"""

import contextlib
import itertools
import logging
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from types import TracebackType
from typing import Any, Final, Self

import curio
import h11
from curio.traps import _read_wait  # noqa: WPS450
from pydantic import Field

from dotterelhatch.core.intake import Flow
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.fleet import FrozenModel
from dotterelhatch.net.bodies import BodyBuffer
from dotterelhatch.net.client import fetch
from dotterelhatch.net.httptypes import (
    CLOSE_HEADER,
    HEAD_ENCODING,
    DisconnectError,
    Headers,
    HttpError,
    NotSentError,
    RequestHead,
    Response,
    ResponseLostError,
    decode_headers,
    encode_headers,
    end_to_end_headers,
    find_header,
    render_problem,
)
from dotterelhatch.net.idle import IdleConnections
from dotterelhatch.net.intake import GateEntry, IntakeGate, IntakePolicy
from dotterelhatch.net.passing import (
    HEAD_END,
    NotPassedError,
    PassedRequest,
    PassLimits,
    PassOutcome,
    pass_error,
)
from dotterelhatch.net.stream import (
    BACKLOG_COUNT,
    SocketStream,
    WaitTimeoutError,
    bind_listener,
)
from dotterelhatch.net.unread import (
    UnreadOutcome,
    UnreadRejections,
    receive_arrived,
)

__all__ = (
    'MAX_HEADER_BYTES',
    'ConnectionCounts',
    'DisconnectError',
    'Handler',
    'Headers',
    'HttpError',
    'HttpLimits',
    'HttpServer',
    'NotSentError',
    'RequestHead',
    'Response',
    'ResponseLostError',
    'ServerExchange',
    'decode_headers',
    'end_to_end_headers',
    'fetch',
    'find_header',
    'render_problem',
)

_LOGGER: Final = logging.getLogger(__name__)
_REASON_PHRASES: Final = {
    status.value: status.phrase.encode() for status in HTTPStatus
}
_NO_CONTENT_STATUS: Final = 204
_NOT_MODIFIED_STATUS: Final = 304
_HEADERS_TOO_LARGE_STATUS: Final = 431
# Longest request head by default.
MAX_HEADER_BYTES: Final = 65_536
_MIN_HEADER_BYTES: Final = 1_024
# Limit of the buffer for pipelined bytes that arrive during an exchange. The
# socket is read even above it, because with a full receive buffer the end
# of the stream could not be seen. The excess is dropped and the connection is
# closed after the response.
_MAX_PIPELINED_BYTES: Final = 65536
# Closing a socket with unread bytes resets the connection, so the caller may
# lose the response. Up to these limits the server discards what still arrives
# after it has shut down its sending side.
_MAX_DISCARDED_BYTES: Final = 4 * 1024 * 1024
_DISCARD_TIMEOUT_SECONDS: Final = 2.0
_ACCEPT_RETRY_DELAY_SECONDS: Final = 0.1
# Connections above the limit that get a 503 response at the same time; further
# ones are closed without a response.
_MAX_REJECTIONS_COUNT: Final = 64


# Connections that are accepted in one round of the event loop.
_MAX_ACCEPTED_COUNT: Final = 8
# Above this number, requests of the organisation that has the most of them
# waiting are rejected. The operating system would drop the connections of all
# organisations alike.
_MAX_WAITING_COUNT: Final = 64
# While so many requests wait, the processor is saturated.
_SATURATED_WAITING_COUNT: Final = 16
_LINE_END: Final = b'\r\n'
_UNFRAMED_VERSION: Final = b'HTTP/1.0'
_DRAIN_CHECK_SECONDS: Final = 0.02
# Several round trips to a caller that has connected just before a stop.
_FIRST_REQUEST_SECONDS: Final = 0.3
# Sent in turn, so that rejected callers do not return at the same time.
_RETRY_AFTER_SECONDS: Final = (0.2, 0.5, 0.8, 0.3, 0.6, 0.4, 0.7)


class HttpLimits(FrozenModel):
    """Limits and timeouts of a server.

    :param header_timeout_seconds: limit from the first byte of a request head
        to its end.
    :param body_timeout_seconds: limit for the whole request body.
    :param write_timeout_seconds: longest time without any byte of the response
        being accepted by the socket.
    """

    max_header_bytes: int = Field(
        default=MAX_HEADER_BYTES, ge=_MIN_HEADER_BYTES, le=1_048_576
    )
    idle_timeout_seconds: float = Field(default=75.0, gt=0, le=3600)
    header_timeout_seconds: float = Field(default=10.0, gt=0, le=600)
    body_timeout_seconds: float = Field(default=60.0, gt=0, le=3600)
    write_timeout_seconds: float = Field(default=30.0, gt=0, le=3600)
    max_connections_count: int = Field(default=4096, ge=1, le=65_536)


@dataclass(slots=True)
class ConnectionCounts:
    """What became of the connections of a server since its start.

    :param closed_unread_count: closed without a response because of the limit.
    :param rejected_count: rejected with a response because of the limit.
    :param closed_idle_count: closed while idle to make room for others.
    :param rejected_unread_count: rejected because a request on them waited for
        too long; it was not read.
    :param passed_on_count: passed on to other servers.
    :param pass_failed_count: passed on without a complete response.
    """

    accepted_count: int = 0
    closed_unread_count: int = 0
    rejected_count: int = 0
    closed_idle_count: int = 0
    rejected_unread_count: int = 0
    passed_on_count: int = 0
    pass_failed_count: int = 0


class _IdleClosedError(curio.TaskCancelled):  # type: ignore[misc]
    """Interrupts the wait of an idle connection without ending its task."""


class ServerExchange:
    """A request and its response.

    :param head: request line and headers.
    :param connection: the connection that carries the exchange.
    """

    def __init__(self, head: RequestHead, connection: '_Connection') -> None:
        """Start with nothing sent."""
        self.head = head
        self.started = False
        self.client = connection.client
        self._connection = connection
        self._ended = False

    @property
    def stream(self) -> SocketStream:
        """Return the connection, for a response that is relayed as bytes."""
        return self._connection.stream

    def taken_bytes(self) -> int:
        """Return the bytes that the caller has taken on this connection."""
        return self._connection.stream.acknowledged_bytes

    @property
    def ended(self) -> bool:
        """Return whether the response was sent to its end or aborted."""
        return self._ended

    async def read_body(
        self, max_bytes: int, buffer: BodyBuffer | None = None
    ) -> bytes:
        """Return the whole request body; must be called before responding.

        :param buffer: takes the parts; what it raises ends the reading.
        :raises DotterelhatchError: BODY_TOO_LARGE, or BAD_REQUEST when the
            body is malformed or does not arrive in time.
        :raises DisconnectError: when the caller disconnects.
        """
        declared = self.head.header('Content-Length')
        if declared is not None and int(declared) > max_bytes:
            raise _body_too_large(max_bytes)
        buffer = buffer or BodyBuffer()
        buffer.expect(int(declared or 0))
        return await self._connection.read_body(max_bytes, buffer)

    async def send(self, response: Response) -> None:
        """Send a complete response.

        :raises DisconnectError: when the caller disconnects or does not read.
        """
        headers = response.headers
        if _needs_length(response, headers):
            headers += (('Content-Length', str(len(response.body))),)
        self.started = True
        # One write for head and body: under overload most responses are short
        # rejections.
        await self._connection.send_events(
            self._connection.prepare_head(response.status, headers),
            *self._body_events(response.body),
            h11.EndOfMessage(),
        )
        self._ended = True

    async def start_stream(
        self, status: int, headers: Headers, first: bytes = b''
    ) -> None:
        """Send the response head.

        Without a Content-Length the body is sent in chunks.

        :param first: the first part of the body, sent with the head.
        :raises DisconnectError: when the caller disconnects or does not read.
        """
        self.started = True
        await self._connection.send_events(
            self._connection.prepare_head(status, headers),
            *self._body_events(first),
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the body and wait until it is in the socket buffer.

        :raises DisconnectError: when the caller disconnects or does not read.
        """
        await self._connection.send_events(*self._body_events(data))

    async def end_stream(self) -> None:
        """Send the end of the body.

        :raises DisconnectError: when the caller disconnects or does not read,
            or when the body is shorter than the declared length.
        """
        await self._connection.send_events(h11.EndOfMessage())
        self._ended = True

    def close_after_response(self) -> None:
        """Close the connection after the response, announced in its head."""
        self._connection.must_close = True

    def assign_flow(self, flow: Flow) -> None:
        """Set the organisation whose turns the next request waits for."""
        self._connection.flow = flow

    def abort(self) -> None:
        """Shut the connection down without sending the end of the body."""
        self._ended = True
        self._connection.abort()

    def reset(self) -> None:
        """Reset the connection, so that no part of a response looks whole."""
        self._connection.stream.reset_on_close()
        self.abort()

    async def wait_disconnect(self) -> None:
        """Return when the caller disconnects or shuts down its sending side.

        Pipelined bytes are buffered meanwhile. Must not run at the same time
        as :meth:`read_body`; may be cancelled.
        """
        await self._connection.wait_disconnect()

    def _body_events(self, body: bytes) -> list[Any]:
        if not body or self.head.method == 'HEAD':
            return []
        return [h11.Data(data=body)]


Handler = Callable[[ServerExchange], Awaitable[None]]
ErrorRenderer = Callable[[DotterelhatchError], Response]


class _Connection:
    """One accepted connection with its protocol state.

    :param stream: the socket; only the task that serves it uses it.
    :param limits: limits and timeouts.
    :param received: bytes that were read from the socket before.
    :ivar flow: organisation of its previous request, or of its next one if
        that is known.
    :ivar is_let_in: whether the gate has let in the next request already.
    :ivar has_had_request: whether a request was read from it.
    """

    def __init__(
        self, stream: SocketStream, limits: HttpLimits, received: bytes = b''
    ) -> None:
        """Start before the first request."""
        self.stream = stream
        self.client = stream.peer
        self.must_close = False
        self.flow: Flow = None
        self.is_let_in = False
        self.has_had_request = False
        self.request_complete = False
        self._limits = limits
        self._pipelined_bytes = 0
        self._eof_received = False
        self._broken = False
        self._pipeline_overflowed = False
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        if received:
            self._feed(received)

    @property
    def buffered(self) -> bytes:
        """Return the bytes of the next request that have been read."""
        buffered: bytes = self._http.trailing_data[0]
        return buffered

    @property
    def can_respond(self) -> bool:
        """Return whether a response head can still be sent."""
        return not self._broken and self._http.our_state in {
            h11.IDLE,
            h11.SEND_RESPONSE,
        }

    def buffer_arrived(self) -> bytes:
        """Read the bytes that have arrived; return what is buffered."""
        with contextlib.suppress(OSError):
            content = self.stream.read_nowait()
            if content is not None:
                self._feed(content)
        return self.buffered

    async def read_head(self) -> RequestHead | None:
        """Return the next request head, None if the connection was closed.

        :raises DotterelhatchError: BAD_REQUEST or HEADERS_TOO_LARGE.
        """
        self.request_complete = False
        try:
            async with curio.timeout_after(self._limits.header_timeout_seconds):
                event = await self._next_event()
        except curio.TaskTimeout:
            raise DotterelhatchError(
                ErrorKind.BAD_REQUEST, 'the request head did not arrive in time'
            ) from None
        if not isinstance(event, h11.Request):
            return None
        self.has_had_request = True
        head = RequestHead(
            method=event.method.decode(HEAD_ENCODING),
            path=event.target.decode(HEAD_ENCODING),
            headers=decode_headers(event.headers),
        )
        _check_framing(head)
        return head

    async def read_body(self, max_bytes: int, buffer: BodyBuffer) -> bytes:
        """Return the request body; send 100 Continue if it is awaited."""
        if self._http.they_are_waiting_for_100_continue:
            await self.send_events(
                h11.InformationalResponse(
                    status_code=100, headers=[], reason=b'Continue'
                )
            )
        try:
            async with curio.timeout_after(self._limits.body_timeout_seconds):
                return await self._collect(max_bytes, buffer)
        except curio.TaskTimeout:
            raise DotterelhatchError(
                ErrorKind.BAD_REQUEST, 'the request body did not arrive in time'
            ) from None

    def prepare_head(self, status: int, headers: Headers) -> Any:
        """Discard buffered bytes of the body and return the response head."""
        self._skip_buffered_body()
        if not self.request_complete:
            self.must_close = True
        headers = end_to_end_headers(headers)
        if self.must_close:
            headers += (CLOSE_HEADER,)
        return h11.Response(
            status_code=status,
            headers=encode_headers(headers),
            reason=_REASON_PHRASES.get(status, b''),
        )

    async def send_events(self, *events: Any) -> None:
        """Encode events and send them in one write."""
        if self._broken:
            raise DisconnectError('the connection is closed')
        try:
            content = b''.join(
                self._http.send(event) or b'' for event in events
            )
        except h11.LocalProtocolError as error:
            self.abort()
            raise DisconnectError(f'malformed response: {error}') from error
        if content:
            await self._write(content)

    async def wait_disconnect(self) -> None:
        """Return when the caller disconnects or shuts down its sending side."""
        while not self._eof_received and not self._broken:
            await self.stream.wait_readable()
            self._receive_ready()

    def start_next_request(self) -> bool:
        """Reset the protocol state; return whether a request may follow."""
        if self._broken or self.must_close or not self.request_complete:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._pipelined_bytes = len(self._http.trailing_data[0])
        return True

    def detach(self) -> socket.socket:
        """Return the socket and end the use of the connection."""
        self._broken = True
        self.must_close = True
        return self.stream.detach()

    def abort(self) -> None:
        """Shut the connection down.

        In HTTP/1.0 the end of the connection is the end of the body, so an
        incomplete response would look complete without a reset.
        """
        self._broken = True
        self.must_close = True
        if self._http.their_http_version == b'1.0':
            self.stream.reset_on_close()
        self.stream.shutdown()

    async def finish(self) -> None:
        """Shut down the sending side and let the caller read the response."""
        if self._broken or self._eof_received:
            return
        self.stream.write_eof()
        if self.request_complete and not self._pipelined_bytes:
            return
        # The parser keeps what it has received, for instance a long head.
        self._http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, WaitTimeoutError):
            await curio.ignore_after(_DISCARD_TIMEOUT_SECONDS, self._discard())

    async def _discard(self) -> None:
        discarded_bytes = 0
        while discarded_bytes < _MAX_DISCARDED_BYTES:
            content = await self.stream.read()
            if not content:
                return
            discarded_bytes += len(content)

    async def _collect(self, max_bytes: int, buffer: BodyBuffer) -> bytes:
        while not self.request_complete:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                buffer.add(bytes(event.data))
            if buffer.total_bytes > max_bytes:
                raise _body_too_large(max_bytes)
        return buffer.join()

    async def _next_event(self) -> Any:
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            if self._pipeline_overflowed:
                raise DisconnectError(
                    'pipelined bytes above the limit were dropped'
                )
            try:
                self._feed(await self.stream.read())
            except OSError as error:
                self._broken = True
                raise DisconnectError(str(error)) from error

    def _parse(self) -> Any:
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise self._to_error(error) from error
        if isinstance(event, h11.EndOfMessage):
            self.request_complete = True
        return event

    def _to_error(self, error: h11.RemoteProtocolError) -> Exception:
        self.must_close = True
        if self._eof_received:
            self._broken = True
            return DisconnectError('the caller disconnected within a request')
        if error.error_status_hint == _HEADERS_TOO_LARGE_STATUS:
            limit_bytes = self._limits.max_header_bytes
            return DotterelhatchError(
                ErrorKind.HEADERS_TOO_LARGE,
                f'the request head exceeds {limit_bytes} bytes',
            )
        # h11 appends the repr of a bytearray to the message.
        detail = str(error).partition(': bytearray(')[0]
        return DotterelhatchError(ErrorKind.BAD_REQUEST, detail)

    def _skip_buffered_body(self) -> None:
        with contextlib.suppress(DotterelhatchError, DisconnectError):
            while not self.request_complete:
                if not isinstance(self._parse(), (h11.Data, h11.EndOfMessage)):
                    return

    def _receive_ready(self) -> None:
        try:
            content = self.stream.read_nowait()
        except OSError:
            content = b''
        if content and self._pipelined_bytes > _MAX_PIPELINED_BYTES:
            self._pipeline_overflowed = True
            self.must_close = True
        elif content is not None:
            self._feed(content)
            self._pipelined_bytes += len(content)

    def _feed(self, content: bytes) -> None:
        if not self._eof_received:
            self._eof_received = not content
            self._http.receive_data(content)

    async def _write(self, content: bytes) -> None:
        try:
            await self.stream.write(content, self._limits.write_timeout_seconds)
        except (OSError, WaitTimeoutError) as error:
            # A reset drops the bytes that a slow caller has not received yet.
            self.stream.reset_on_close()
            self.abort()
            raise DisconnectError(str(error)) from error


class HttpServer:
    """Accepts connections and runs a handler for each request.

    :param address: ``ip:port``; port 0 selects a free port.
    :param handler: sends the response of an exchange; its errors become
        responses.
    :param limits: limits and timeouts.
    :param render_error: returns the response for an error.
    :param clock: monotonic time in seconds, by which requests wait.
    :param is_gated: whether requests are let in as the processor allows. Small
        responses that operators or callers depend on are better sent late.
    :param intake: tells what requests are before they are read.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: HttpLimits | None = None,
        render_error: ErrorRenderer = render_problem,
        clock: Callable[[], float] = time.monotonic,
        *,
        is_gated: bool = False,
        intake: IntakePolicy | None = None,
    ) -> None:
        """Store the parameters; nothing is opened yet."""
        self._intake = intake
        self._address = address
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._render_error = render_error
        self._listener: socket.socket | None = None
        self._accept_task: Any = None
        self._gate_task: Any = None
        self._stopping = False
        self._announces_close = False
        self._connections: dict[_Connection, Any] = {}
        # New connections, and idle ones that a stop closes: a request may have
        # arrived on them that is not read yet.
        self._awaited: set[_Connection] = set()
        self.counts = ConnectionCounts()
        self._idle = IdleConnections[_Connection, Any]()
        self._gate = IntakeGate(clock, is_open=not is_gated)
        self._unread_rejections = UnreadRejections(
            [
                render_error(_unread_error(seconds))
                for seconds in _RETRY_AFTER_SECONDS
            ],
            clock,
        )
        self._exchanges_count = 0
        self._drained = curio.Event()

    async def __aenter__(self) -> Self:
        """Open the listener."""
        self._listener = bind_listener(self._address)
        self._gate_task = await curio.spawn(self._gate.run_forever, daemon=True)
        self._accept_task = await curio.spawn(
            self._accept, self._listener, daemon=True
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the listener and abort all connections."""
        await self.stop_accepting()
        await self._gate_task.cancel()
        await self._gate.open()
        while self._connections:
            connection, task = next(iter(self._connections.items()))
            connection.abort()
            await task.cancel()
            self._connections.pop(connection, None)
        await self._unread_rejections.close()

    @property
    def port(self) -> int:
        """Return the port of the open listener."""
        if self._listener is None:
            raise RuntimeError('the server is not listening')
        return int(self._listener.getsockname()[1])

    @property
    def exchanges_count(self) -> int:
        """Return the number of exchanges in progress."""
        return self._exchanges_count

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that have arrived and are not read."""
        return self._gate.waiting_count

    @property
    def _is_saturated(self) -> bool:
        """Return whether requests wait because of the processor."""
        is_waiting = self._gate.waiting_count >= _SATURATED_WAITING_COUNT
        return is_waiting and not self._stopping

    @property
    def connections_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def limit_header(self, max_bytes: int) -> None:
        """Set the longest request head on connections opened from now on.

        :param max_bytes: a limit above the default is that of the default,
            which the number of connections is planned for.
        """
        limit = min(max(max_bytes, _MIN_HEADER_BYTES), MAX_HEADER_BYTES)
        if limit != self._limits.max_header_bytes:
            self._limits = self._limits.model_copy(
                update={'max_header_bytes': limit}
            )

    async def stop_accepting(self) -> None:
        """Close the listener and the idle connections.

        Connections in the accept queue are still served. All responses from
        now on carry ``Connection: close``.
        """
        self._stopping = True
        if self._listener is not None:
            listener = self._listener
            self._listener = None
            await self._accept_task.cancel()
            with contextlib.suppress(OSError):
                await self._accept_rest(listener)
            listener.close()
        self._awaited.update(self._idle.connections())
        for connection in self._connections:
            connection.must_close = True
        for task in self._idle.tasks():
            await _end_idle_wait(task)

    def announce_close(self) -> None:
        """Send ``Connection: close`` in all responses from now on.

        New connections are still accepted, because callers cache the address
        for its time to live.
        """
        self._announces_close = True

    async def drain(self) -> None:
        """Wait until no exchange is in progress, or about to begin."""
        while (
            self._exchanges_count or self._gate.waiting_count or self._awaited
        ):
            self._drained.clear()
            await curio.ignore_after(_DRAIN_CHECK_SECONDS, self._drained.wait)

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            await _read_wait(listener.fileno())
            try:
                await self._accept_queued(listener)
            except OSError as error:
                _LOGGER.error('accepting a connection failed: %s', error)
                await curio.sleep(_ACCEPT_RETRY_DELAY_SECONDS)

    async def _accept_queued(self, listener: socket.socket) -> None:
        for accepted_count in itertools.count(1):
            if not await self._accept_one(listener):
                return
            if not accepted_count % _MAX_ACCEPTED_COUNT:
                await curio.sleep(0)
            await self._gate.reject_excess(_MAX_WAITING_COUNT)

    async def _accept_rest(self, listener: socket.socket) -> None:
        """Accept what was queued when the server began to stop.

        A flood would keep the queue filled, so the number is bounded.
        """
        for _ in range(BACKLOG_COUNT):
            if not await self._accept_one(listener):
                return

    async def _accept_one(self, listener: socket.socket) -> bool:
        """Accept a connection; return whether one was queued."""
        try:
            accepted, (host, _) = listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        if await self._gate.try_enter():
            await self._start_connection(accepted, is_let_in=True)
        else:
            await self._add_to_gate(accepted, host)
        return True

    async def _add_to_gate(self, accepted: socket.socket, host: str) -> None:
        """Let the first request of a connection wait for its turn."""
        accepted.setblocking(False)
        received = receive_arrived(accepted)
        if received == b'':
            accepted.close()
            return
        received = received or b''
        flow = self._identify(received)
        entry = _AcceptedConnection(self, accepted, received, flow)
        self._gate.add(entry, flow, host)

    def _identify(self, received: bytes) -> Flow:
        return self._intake.identify(received) if self._intake else None

    async def _reject_unread(
        self, connected: socket.socket, flow: Flow, received: bytes
    ) -> UnreadOutcome:
        outcome = await self._unread_rejections.reject(connected, received)
        if outcome is UnreadOutcome.REJECTED:
            self.counts.rejected_unread_count += 1
            if self._intake is not None:
                self._intake.on_rejected(flow)
        return outcome

    def _choose_peer(self, connection: _Connection) -> str | None:
        """Return the server that the next request is passed on to.

        :returns: None if it is to be served here.
        """
        if self._intake is None or not self._is_saturated:
            return None
        request_line = connection.buffer_arrived().partition(_LINE_END)[0]
        if HEAD_END not in connection.buffered:
            return None
        if request_line.endswith(_UNFRAMED_VERSION):
            # Its response may end with the connection, and that of a process
            # that is killed ends regularly.
            return None
        host = connection.client.partition(':')[0]
        return self._intake.choose_peer(connection.flow, host)

    async def _pass_on(
        self, exchange: ServerExchange, address: str, received: bytes
    ) -> bool:
        """Pass a request on to another server.

        :param received: the first bytes of the request, with its whole head.
        :returns: False if it is to be served here.
        """
        if self._intake is None:
            return False
        limit_seconds = self._intake.time_limit_seconds(exchange.head)
        is_continue_expected = exchange.head.header('Expect') is not None
        if not limit_seconds or is_continue_expected:
            # An interim response would count as the beginning of the response.
            return False
        passed = PassedRequest(
            exchange.stream,
            address,
            PassLimits(limit_seconds, self._limits.write_timeout_seconds),
        )
        try:
            outcome = await passed.run(received)
        except NotPassedError as error:
            _LOGGER.debug('a request was not passed on: %s', error)
            return False
        self.counts.passed_on_count += 1
        self._intake.on_passed(address, passed.sent_bytes)
        exchange.close_after_response()
        await self._end_passed(exchange, self._intake, outcome)
        return True

    async def _end_passed(
        self,
        exchange: ServerExchange,
        intake: IntakePolicy,
        outcome: PassOutcome,
    ) -> None:
        """Respond to a caller whose response the other server has not sent."""
        if outcome in {PassOutcome.COMPLETE, PassOutcome.CALLER_LEFT}:
            return
        self.counts.pass_failed_count += 1
        response = intake.on_pass_failed(exchange.head, pass_error(outcome))
        if outcome is PassOutcome.TRUNCATED:
            exchange.reset()
            return
        await exchange.send(response)

    async def _reject_accepted(
        self, accepted: socket.socket, flow: Flow, received: bytes
    ) -> None:
        outcome = await self._reject_unread(accepted, flow, received)
        if outcome is UnreadOutcome.IDLE:
            # An idle connection takes no processor time.
            await self._start_connection(accepted)

    async def _start_connection(
        self,
        accepted: socket.socket,
        received: bytes = b'',
        flow: Flow = None,
        *,
        is_let_in: bool = False,
    ) -> None:
        """Start the task of a connection.

        :param received: what was read from it.
        :param flow: organisation of its first request, None if not known.
        :param is_let_in: whether the gate has let in its first request. One
            that arrives later has to pass the gate.
        """
        self.counts.accepted_count += 1
        stream = SocketStream(accepted)
        connection = _Connection(stream, self._limits, received)
        connection.flow = flow
        connection.is_let_in = is_let_in and (
            bool(received) or stream.is_readable()
        )
        serve = self._serve
        excess_count = (
            len(self._connections) + 1 - self._limits.max_connections_count
        )
        if excess_count > _MAX_REJECTIONS_COUNT:
            self.counts.closed_unread_count += 1
            connection.stream.close()
            return
        if excess_count > 0 and not await self._close_oldest_idle():
            self.counts.rejected_count += 1
            serve = self._reject
        task = await curio.spawn(serve, connection, daemon=True)
        self._connections[connection] = task
        self._awaited.add(connection)

    async def _close_oldest_idle(self) -> bool:
        task = self._idle.pop_excess()
        if task is None:
            return False
        self.counts.closed_idle_count += 1
        await _end_idle_wait(task)
        return True

    async def _reject(self, connection: _Connection) -> None:
        error = DotterelhatchError(
            ErrorKind.NOT_READY,
            'the connection limit of this router is reached',
        )
        connection.must_close = True
        try:
            await self._send_early_error(connection, error)
            self._awaited.discard(connection)
            await connection.finish()
        except DisconnectError as failure:
            _LOGGER.debug(
                'caller %s disconnected before its rejection was sent: %s',
                connection.client,
                failure,
            )
        finally:
            self._close(connection)

    async def _serve(self, connection: _Connection) -> None:
        try:
            while await self._wait_request(connection):
                await self._count_exchange(self._run_exchange(connection))
                if not connection.start_next_request():
                    break
            await connection.finish()
        except DisconnectError as error:
            _LOGGER.debug(
                'caller %s disconnected: %s', connection.client, error
            )
        finally:
            self._close(connection)

    def _close(self, connection: _Connection) -> None:
        connection.stream.close()
        self._connections.pop(connection, None)
        self._awaited.discard(connection)

    async def _wait_request(self, connection: _Connection) -> bool:
        """Return whether a request can be read, once that is known."""
        try:
            if connection.buffered:
                return True
            if self._stopping:
                return await self._wait_last_request(connection)
            return await self._wait_idle(connection)
        finally:
            self._awaited.discard(connection)

    async def _wait_idle(self, connection: _Connection) -> bool:
        task = await curio.current_task()
        flow = connection.flow
        self._idle.add(flow, connection, task)
        try:
            await connection.stream.wait_readable(
                self._limits.idle_timeout_seconds
            )
            await curio.check_cancellation()
        except _IdleClosedError:
            # The task continues after this wait, so it must be cancellable
            # again.
            task.cancelled = False
            connection.must_close = True
            return await self._wait_last_request(connection)
        except WaitTimeoutError:
            return False
        finally:
            self._idle.discard(flow, connection)
        return True

    async def _wait_last_request(self, connection: _Connection) -> bool:
        """Return whether a connection that is to be closed has a request.

        After the start of a stop a new connection gets time for its first one:
        its caller has not been told to use another address.
        """
        is_awaited = self._stopping and not connection.has_had_request
        if is_awaited and not connection.stream.is_readable():
            with contextlib.suppress(WaitTimeoutError):
                await connection.stream.wait_readable(_FIRST_REQUEST_SECONDS)
        return connection.stream.is_readable()

    async def _count_exchange(self, exchange: Awaitable[None]) -> None:
        self._exchanges_count += 1
        try:
            await exchange
        finally:
            self._exchanges_count -= 1
            if not self._exchanges_count:
                await self._drained.set()

    async def _enter_gate(self, connection: _Connection) -> bool:
        """Wait until the next request may be read.

        :returns: False if it is not to be read.
        """
        if connection.is_let_in:
            connection.is_let_in = False
            return True
        if not (connection.buffered or connection.stream.is_readable()):
            connection.must_close = True
            return False
        if connection.flow is None and self._intake is not None:
            connection.flow = self._identify(connection.buffer_arrived())
        request = await self._gate.enter(connection.flow)
        if request.is_late:
            await self._reject_late(connection)
        return not request.is_late

    async def _reject_late(self, connection: _Connection) -> None:
        received = connection.buffered
        connected = connection.detach()
        outcome = await self._reject_unread(
            connected, connection.flow, received
        )
        if outcome is UnreadOutcome.IDLE:
            connected.close()

    async def _run_exchange(self, connection: _Connection) -> None:
        if not await self._enter_gate(connection):
            return
        address = self._choose_peer(connection)
        received = connection.buffered
        try:
            head = await connection.read_head()
        except DotterelhatchError as error:
            connection.must_close = True
            await self._send_early_error(connection, error)
            return
        if head is None:
            connection.must_close = True
            return
        exchange = ServerExchange(head, connection)
        if address is None or not await self._pass_on(
            exchange, address, received
        ):
            await self._respond(exchange, connection)

    async def _respond(
        self, exchange: ServerExchange, connection: _Connection
    ) -> None:
        is_closing = self._stopping or self._announces_close
        if is_closing or exchange.head.method == 'CONNECT':
            connection.must_close = True
        await self._run_handler(exchange, connection)
        if not exchange.ended:
            exchange.abort()

    async def _run_handler(
        self, exchange: ServerExchange, connection: _Connection
    ) -> None:
        try:
            await self._call_handler(exchange)
        except DisconnectError:
            exchange.abort()
        except DotterelhatchError as error:
            await self._send_error(exchange, error)
        except (Exception, curio.TaskTimeout):
            head = exchange.head
            _LOGGER.exception('handler failed: %s %s', head.method, head.path)
            await self._send_error(
                exchange,
                DotterelhatchError(ErrorKind.INTERNAL, 'internal error'),
            )

    async def _call_handler(self, exchange: ServerExchange) -> None:
        if exchange.head.method == 'CONNECT':
            raise DotterelhatchError(
                ErrorKind.METHOD_NOT_ALLOWED, 'CONNECT is not supported'
            )
        await self._handler(exchange)
        if not exchange.started and not exchange.ended:
            raise RuntimeError('the handler sent no response')

    async def _send_error(
        self, exchange: ServerExchange, error: DotterelhatchError
    ) -> None:
        if exchange.started:
            exchange.abort()
            return
        with contextlib.suppress(DisconnectError):
            await exchange.send(self._render_error(error))

    async def _send_early_error(
        self, connection: _Connection, error: DotterelhatchError
    ) -> None:
        if not connection.can_respond:
            return
        head = RequestHead('', '', ())
        exchange = ServerExchange(head, connection)
        await exchange.send(self._render_error(error))


class _AcceptedConnection(GateEntry):
    """A connection that is not served yet.

    :param server: that has accepted it.
    :param accepted: the socket.
    :param received: the first bytes of its request.
    :param flow: the organisation, None if it is not known.
    """

    def __init__(
        self,
        server: HttpServer,
        accepted: socket.socket,
        received: bytes,
        flow: Flow,
    ) -> None:
        self._server = server
        self._accepted = accepted
        self._received = received
        self._flow = flow

    async def let_in(self) -> None:
        """Start the task of the connection."""
        await self._server._start_connection(  # noqa: SLF001
            self._accepted, self._received, self._flow, is_let_in=True
        )

    async def reject(self) -> None:
        """Answer the request without reading all of it."""
        await self._server._reject_accepted(  # noqa: SLF001
            self._accepted, self._flow, self._received
        )


def _unread_error(retry_after_seconds: float) -> DotterelhatchError:
    return DotterelhatchError(
        ErrorKind.ROUTER_OVERLOADED,
        'the processor of this router is saturated',
        retry_after_seconds=retry_after_seconds,
    )


def _check_framing(head: RequestHead) -> None:
    """Reject a request whose end two parsers could place differently.

    Such a request can smuggle another one past a proxy.

    :raises DotterelhatchError: BAD_REQUEST.
    """
    has_length = head.header('Content-Length') is not None
    if has_length and head.header('Transfer-Encoding') is not None:
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST,
            'a request has either a Content-Length or a Transfer-Encoding',
        )


async def _end_idle_wait(task: Any) -> None:
    await task.cancel(exc=_IdleClosedError, blocking=False)


def _body_too_large(max_bytes: int) -> DotterelhatchError:
    return DotterelhatchError(
        ErrorKind.BODY_TOO_LARGE, f'the body exceeds {max_bytes} bytes'
    )


def _needs_length(response: Response, headers: Headers) -> bool:
    if response.status in {_NO_CONTENT_STATUS, _NOT_MODIFIED_STATUS}:
        return False
    return find_header(headers, 'Content-Length') is None
