"""HTTP client for targets.

It reuses idle connections, checks that a response carries the id of its request
and applies the timeouts of the service.
"""

import contextlib
import enum
import json
import logging
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Self

import curio
import h11

from dotterelhatch.fleet import ServiceLimits
from dotterelhatch.net.client import (
    MAX_INFORMATIONAL_COUNT,
    encode_request,
    fetch,
)
from dotterelhatch.net.heldbytes import HeldBytes
from dotterelhatch.net.httptypes import (
    HttpError,
    RequestHead,
    canonical_name,
    decode_headers,
    find_header,
)
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = (
    'FailureReason',
    'FailureStage',
    'PoolLimits',
    'TargetClient',
    'TargetFailure',
    'TargetResponse',
)

_LOGGER: Final = logging.getLogger(__name__)
_REQUEST_ID_HEADER: Final = 'X-Request-Id'
# Requests up to this size fit into the socket buffers, so they are sent without
# a separate task: the write does not wait for the target.
_MAX_INLINE_REQUEST_BYTES: Final = 8192
# Responses to earlier requests that are skipped before the request fails.
_MAX_STALE_RESPONSES_COUNT: Final = 4
_MAX_STALE_BYTES: Final = 1_048_576
_MAX_PROBE_BYTES: Final = 65_536
# Ids are remembered as long as their connection, so its requests are limited.
_MAX_REQUESTS_PER_CONNECTION_COUNT: Final = 256
# Connections are not reused this shortly before the target closes them, because
# the request might arrive too late.
_KEEP_ALIVE_MARGIN_SECONDS: Final = 0.5
_MAX_KEEP_ALIVE_DIGITS_COUNT: Final = 9
_MAX_HEAD_BYTES: Final = 65_536
_HEAD_METHOD: Final = 'HEAD'
# Shorter bodies are not counted as held.
_MIN_RESERVED_BYTES: Final = 65_536
_ROOM_CHECK_SECONDS: Final = 0.01
# About 1 s in all: targets cut off responses that are not read for some
# seconds.
_MAX_ROOM_CHECKS_COUNT: Final = 100
_BODILESS_STATUSES: Final = frozenset((204, 304))
_SERVER_ERROR_STATUS: Final = 500


class FailureStage(enum.Enum):
    """How far a request had proceeded when it failed.

    NOT_SENT: no byte was written to the socket, so the target cannot have
    executed the request. SENT: bytes were written, but no response head for the
    request arrived. ANSWERING: the response head arrived, but the body is
    incomplete.
    """

    NOT_SENT = 'not_sent'
    SENT = 'sent'
    ANSWERING = 'answering'


class FailureReason(enum.Enum):
    """Why a request to a target failed."""

    REFUSED = 'refused'
    CONNECT_TIMEOUT = 'connect_timeout'
    RESET = 'reset'
    FIRST_BYTE_TIMEOUT = 'first_byte_timeout'
    PROGRESS_TIMEOUT = 'progress_timeout'
    TRUNCATED = 'truncated'
    MISMATCH = 'mismatch'
    PROTOCOL = 'protocol'
    OVERSIZED = 'oversized'


# After these failures, idle connections to the same address may be dead too.
_NETWORK_FAILURES: Final = frozenset(
    (
        FailureReason.REFUSED,
        FailureReason.CONNECT_TIMEOUT,
        FailureReason.RESET,
        FailureReason.FIRST_BYTE_TIMEOUT,
        FailureReason.PROGRESS_TIMEOUT,
    )
)


class TargetFailure(Exception):  # noqa: N818
    """A request to a target failed.

    :param stage: how far the request had proceeded.
    :param reason: the kind of failure.
    :param detail: details for the log.
    """

    def __init__(
        self, stage: FailureStage, reason: FailureReason, detail: str
    ) -> None:
        """Store the parts and format the message."""
        super().__init__(f'{stage.value}: {reason.value}: {detail}')
        self.stage = stage
        self.reason = reason
        self.detail = detail


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of idle connections and responses, and format of the responses.

    :param idle_seconds: how long an idle connection is kept. It is shorter
        than the idle timeout of targets, so that a request is rarely sent on a
        connection that the target is closing.
    :param per_target_count: maximum number of idle connections per address.
    :param request_id_header: the header in which targets echo the request id.
    :param accepts_close_delimited: whether a body may be delimited by the end
        of the connection; only a reset then shows that it is incomplete.
    :param max_body_bytes: longest body that is collected in memory.
    :param max_stream_bytes: longest body that is read in parts.
    :param max_held_bytes: what all responses hold in memory together.
    """

    idle_seconds: float = 15.0
    per_target_count: int = 32
    request_id_header: str = _REQUEST_ID_HEADER
    accepts_close_delimited: bool = False
    max_body_bytes: int = 16 * 1024 * 1024
    max_stream_bytes: int = 64 * 1024 * 1024
    max_held_bytes: int = 64 * 1024 * 1024


class _Connection:
    """A connection to a target with its protocol state.

    :param address: ``ip:port`` of the target.
    :param stream: the connected socket.
    """

    def __init__(self, address: str, stream: SocketStream) -> None:
        self.address = address
        self.stream = stream
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self.idle_since_seconds: float = 0
        self.idle_limit_seconds: float | None = None
        self.eof_received = False
        self.is_sending = False
        self.has_write_failed = False
        self.was_reused = False
        self.may_be_reused = True
        self._sent_ids: set[int] = set()

    @property
    def is_exhausted(self) -> bool:
        """Return whether no further request may be sent."""
        return len(self._sent_ids) >= _MAX_REQUESTS_PER_CONNECTION_COUNT

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request with this id was sent before.

        Callers choose the ids, of any length, so only hashes are kept.
        """
        return hash(request_id) in self._sent_ids

    def remember(self, request_id: str) -> None:
        """Record the id of a request that is sent."""
        self._sent_ids.add(hash(request_id))

    def is_complete(self) -> bool:
        """Return whether the exchange is over and another one may follow."""
        states = (self.http.our_state, self.http.their_state)
        return states == (h11.DONE, h11.DONE) and not (
            self.eof_received or self.is_sending or self.http.trailing_data[0]
        )

    async def receive(self, timeout_seconds: float | None) -> None:
        """Pass the next bytes from the socket to the parser."""
        content = await self.stream.read(timeout_seconds)
        self.eof_received = not content
        self.http.receive_data(content)

    async def next_event(self, timeout_seconds: float | None) -> Any:
        """Return the next event, reading from the socket as needed."""
        event = self.http.next_event()
        while event is h11.NEED_DATA:
            await self.receive(timeout_seconds)
            event = self.http.next_event()
        return event

    async def next_head(self) -> Any:
        """Return the next response head that is not informational."""
        for _ in range(MAX_INFORMATIONAL_COUNT + 1):
            event = await self.next_event(None)
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise h11.RemoteProtocolError('too many informational responses')

    async def skip_response(
        self, address: str, head: RequestHead, body: bytes
    ) -> None:
        """Discard a response to an earlier request.

        The parser is reset to the state after sending the current request, and
        the bytes after the discarded response are parsed again.

        :raises TargetFailure: stage SENT, when the response is too long.
        """
        skipped_bytes = 0
        event = await self.next_event(None)
        while not isinstance(event, h11.EndOfMessage):
            if isinstance(event, h11.Data):
                skipped_bytes += len(event.data)
            if skipped_bytes > _MAX_STALE_BYTES:
                raise TargetFailure(
                    FailureStage.SENT,
                    FailureReason.OVERSIZED,
                    f'{address}: a response to an earlier request exceeds '
                    f'{_MAX_STALE_BYTES} bytes',
                )
            event = await self.next_event(None)
        remaining = self.http.trailing_data[0]
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        encode_request(self.http, address, head, body, keep_alive=True)
        if remaining:
            self.http.receive_data(remaining)


class TargetResponse:
    """A response whose head has arrived; its body is read in chunks.

    :param client: owns the connection pool.
    :param connection: carries the response.
    :param head: the h11 response event.
    :param progress_timeout_seconds: longest time without a byte of the body.
    :param is_delimited: whether the body has another end than that of the
        connection.
    """

    def __init__(
        self,
        client: 'TargetClient',
        connection: _Connection,
        head: Any,
        progress_timeout_seconds: float,
        *,
        is_delimited: bool,
    ) -> None:
        """Start before the first chunk."""
        self.status = int(head.status_code)
        self.headers = decode_headers(head.headers)
        self.is_delimited = is_delimited
        self._client = client
        self._connection = connection
        self._progress_timeout_seconds = progress_timeout_seconds
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._room_checks_count = 0
        self._on_drop: Callable[[], None] | None = None
        self._max_bytes = client.pool_limits.max_stream_bytes
        self._complete = False
        self._closed = False
        self._failure: TargetFailure | None = None

    async def __aenter__(self) -> Self:
        """Return the response."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the response."""
        await self.close()

    @property
    def address(self) -> str:
        """Return the address of the target."""
        return self._connection.address

    @property
    def owner(self) -> str:
        """Return the target, for which the held bytes count."""
        return self.address

    @property
    def is_droppable(self) -> bool:
        """Return whether the held bytes may be dropped."""
        return True

    @property
    def complete(self) -> bool:
        """Return whether the body has arrived to its end."""
        return self._complete

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, joining what is already buffered.

        :raises TargetFailure: stage ANSWERING, when the body is incomplete.
        """
        content = await self.read_chunk()
        while content:
            yield content
            content = await self.read_chunk()

    async def read_chunk(self) -> bytes:
        """Return the next part of the body, empty at its end.

        :raises TargetFailure: stage ANSWERING, when the body is incomplete.
        """
        content = self._take_buffered()
        while not content and not self._complete:
            if self._failure is not None:
                raise self._failure
            await self._receive()
            content = self._take_buffered()
        return content

    async def read_all(self) -> bytes:
        """Return the whole body.

        :raises TargetFailure: stage ANSWERING, when the body is incomplete or
            too long to be collected.
        """
        self._max_bytes = self._client.pool_limits.max_body_bytes
        await self._wait_for_turn()
        try:
            while chunk := await self.read_chunk():
                self._parts.append(chunk)
                await self._wait_for_room()
                self.hold(self._body_bytes)
            return b''.join(self._parts)
        finally:
            # A stored failure keeps this response until a garbage collection.
            self._parts.clear()

    async def skip_all(self) -> None:
        """Read the body to its end without keeping it.

        :raises TargetFailure: stage ANSWERING, when the body is incomplete or
            longer than one that is collected.
        """
        self._max_bytes = self._client.pool_limits.max_body_bytes
        content = await self.read_chunk()
        while content:
            content = await self.read_chunk()

    def hold(
        self,
        count: int,
        on_drop: Callable[[], None] | None = None,
        sent: Callable[[], int] | None = None,
    ) -> None:
        """Set how many bytes of the body the reader keeps.

        If all responses hold too much, one of them is dropped.

        :param on_drop: ends what the bytes are kept for. Without it the next
            read fails.
        :param sent: returns the bytes that the caller has taken so far, None
            while the body is not sent to its caller.
        """
        self._on_drop = on_drop
        self._client.held.hold(self, count, sent)

    def drop(self, detail: str) -> None:
        """End the response, for the bytes that all responses hold."""
        if self._on_drop is not None:
            _LOGGER.warning(
                'dropped a response of %s that its caller does not read: %s',
                self.address,
                detail,
            )
            self._on_drop()
            return
        self._fail(FailureReason.OVERSIZED, detail)
        self._parts.clear()
        # Wakes the task that reads the response.
        self._connection.stream.shutdown()

    async def close(self) -> None:
        """Return the connection to the pool, or close it when incomplete.

        Closing the connection of an incomplete response cancels the request at
        the target. A task that is reading the response gets a TargetFailure.
        """
        if self._closed:
            return
        self._closed = True
        self._client.held.release(self)
        self._client.held.end_reservation(self)
        if self._complete:
            self._client.release(self._connection)
        else:
            self._connection.stream.close()

    async def _wait_for_turn(self) -> None:
        """Wait a moment if this and other long bodies exceed the memory."""
        length = find_header(self.headers, 'Content-Length') or ''
        expected_bytes = int(length) if length.isdecimal() else 0
        if not _MIN_RESERVED_BYTES <= expected_bytes <= self._max_bytes:
            return
        held = self._client.held
        while (
            self._room_checks_count < _MAX_ROOM_CHECKS_COUNT
            and not held.try_reserve(self, expected_bytes)
        ):
            self._room_checks_count += 1
            await curio.sleep(_ROOM_CHECK_SECONDS)

    async def _wait_for_room(self) -> None:
        """Wait a moment if that shows which response is not read.

        Otherwise one that has just been collected would be dropped for those
        that are still collected, although its caller reads.

        :raises TargetFailure: when this response is dropped meanwhile.
        """
        held = self._client.held
        while (
            self._room_checks_count < _MAX_ROOM_CHECKS_COUNT
            and held.is_undecided(self, self._body_bytes)
        ):
            self._room_checks_count += 1
            await curio.sleep(_ROOM_CHECK_SECONDS)
        if self._failure is not None:
            raise self._failure

    def _take_buffered(self) -> bytes:
        parts: list[bytes] = []
        event = self._parse()
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            event = self._parse()
        content = b''.join(parts)
        self._body_bytes += len(content)
        if self._body_bytes > self._max_bytes:
            # The connection is closed, even if the end has arrived.
            self._complete = False
            self._fail(
                FailureReason.OVERSIZED,
                f'the body exceeds {self._max_bytes} bytes',
            )
            return b''
        return content

    def _parse(self) -> Any:
        if self._complete or self._failure is not None:
            return None
        try:
            event = self._connection.http.next_event()
        except h11.RemoteProtocolError as error:
            self._fail(_protocol_reason(self._connection), str(error))
            return None
        if isinstance(event, h11.EndOfMessage):
            if self._connection.has_write_failed and not self.is_delimited:
                self._fail(FailureReason.RESET, 'the connection broke')
                return None
            self._complete = True
        return event

    async def _receive(self) -> None:
        try:
            await self._connection.receive(self._progress_timeout_seconds)
        except WaitTimeoutError as error:
            self._fail(FailureReason.PROGRESS_TIMEOUT, str(error))
        except OSError as error:
            self._fail(FailureReason.RESET, str(error))

    def _fail(self, reason: FailureReason, detail: str) -> None:
        if self._failure is not None:
            return
        self._failure = TargetFailure(
            FailureStage.ANSWERING,
            reason,
            f'{self._connection.address}: {detail}',
        )
        self._client.close_idle_after_failure(self._connection.address, reason)


class TargetClient:
    """Sends requests to targets and keeps idle connections for reuse.

    :param pool_limits: limits of idle connections and responses.
    :param probe_timeout_seconds: limit for a whole probe.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        pool_limits: PoolLimits | None = None,
        probe_timeout_seconds: float = 2.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without connections."""
        self.pool_limits = pool_limits or PoolLimits()
        self.held = HeldBytes(self.pool_limits.max_held_bytes)
        self._probe_timeout_seconds = probe_timeout_seconds
        self._clock = clock
        self._idle: dict[str, list[_Connection]] = {}
        self._closed = False
        self._expiry_task: Any = None

    async def __aenter__(self) -> Self:
        """Start the task that closes expired idle connections."""
        self._expiry_task = await curio.spawn(
            self._close_expired_periodically, daemon=True
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the idle connections."""
        self._closed = True
        await self._expiry_task.cancel()
        for address in tuple(self._idle):
            self._close_idle(address)

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(len(connections) for connections in self._idle.values())

    async def open(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        request_id: str,
        limits: ServiceLimits,
        *,
        fresh: bool = False,
    ) -> TargetResponse:
        """Send a request and return its response once the head has arrived.

        If an idle connection breaks before it accepts any byte, the request is
        sent on a new one. An id is sent once on a connection: a late duplicate
        of an earlier response could otherwise not be told from the response to
        this request.

        :param fresh: use a new connection. A target may close an idle
            connection while the request is in transit. Whether it executed
            the request is then unknown, which matters if the request is not
            idempotent.
        :raises TargetFailure: stage NOT_SENT or SENT.
        """
        # The length of a response depends on the method of its request. With
        # one method on a connection, the end of a late duplicate is known.
        fresh = fresh or head.method == _HEAD_METHOD
        connection = None if fresh else self._take_idle(address, request_id)
        if connection is not None:
            response = await self._try_reused(
                connection, head, body, request_id, limits
            )
            if response is not None:
                return response
        connection = await self._connect(address, limits)
        return await self._start_exchange(
            connection, head, body, request_id, limits
        )

    async def probe(self, address: str) -> str | None:
        """Return the instance id that a target reports on a new connection.

        Services need not offer ``/health``, so any complete response other
        than a server error shows that the target is running.

        :returns: an empty id if the target reports none, None if the probe
            failed.
        """
        try:
            response = await fetch(
                address,
                'GET',
                '/health',
                timeout_seconds=self._probe_timeout_seconds,
                max_body_bytes=_MAX_PROBE_BYTES,
            )
        except HttpError:
            return None
        if response.status >= _SERVER_ERROR_STATUS:
            return None
        return _parse_instance(response.body)

    def release(self, connection: _Connection) -> None:
        """Return a connection to the pool after a complete response."""
        idle = self._idle.setdefault(connection.address, [])
        full = len(idle) >= self.pool_limits.per_target_count
        is_kept = (
            connection.is_complete()
            and connection.may_be_reused
            and not connection.is_exhausted
        )
        if full or self._closed or not is_kept:
            connection.stream.close()
            return
        connection.http.start_next_cycle()
        connection.was_reused = True
        connection.idle_since_seconds = self._clock()
        idle.append(connection)

    def close_idle_after_failure(
        self, address: str, reason: FailureReason
    ) -> None:
        """Close the idle connections of an address after a network failure."""
        if reason in _NETWORK_FAILURES:
            self._close_idle(address)

    def close_expired(self) -> None:
        """Close the connections that exceeded the idle time."""
        oldest_seconds = self._clock() - self.pool_limits.idle_seconds
        for address, connections in tuple(self._idle.items()):
            kept = []
            for connection in connections:
                if connection.idle_since_seconds < oldest_seconds:
                    connection.stream.close()
                else:
                    kept.append(connection)
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)

    async def _close_expired_periodically(self) -> None:
        while True:
            await curio.sleep(self.pool_limits.idle_seconds / 2)
            self.close_expired()

    def _close_idle(self, address: str) -> None:
        for connection in self._idle.pop(address, ()):
            connection.stream.close()

    def _take_idle(self, address: str, request_id: str) -> _Connection | None:
        connections = self._idle.get(address, [])
        for connection in tuple(reversed(connections)):
            if connection.has_sent(request_id):
                continue
            connections.remove(connection)
            if self._is_usable(connection):
                return connection
            connection.stream.close()
        return None

    def _is_usable(self, connection: _Connection) -> bool:
        idle_seconds = self._clock() - connection.idle_since_seconds
        if idle_seconds > self.pool_limits.idle_seconds:
            return False
        limit_seconds = connection.idle_limit_seconds
        if limit_seconds is not None and idle_seconds >= limit_seconds:
            return False
        return connection.stream.is_reusable()

    async def _connect(
        self, address: str, limits: ServiceLimits
    ) -> _Connection:
        try:
            stream = await SocketStream.connect(
                address, limits.connect_timeout_seconds
            )
        except WaitTimeoutError as error:
            raise self._not_sent(
                address, FailureReason.CONNECT_TIMEOUT, str(error)
            ) from error
        except OSError as error:
            raise self._not_sent(
                address, FailureReason.REFUSED, str(error)
            ) from error
        return _Connection(address, stream)

    def _not_sent(
        self, address: str, reason: FailureReason, detail: str
    ) -> TargetFailure:
        self.close_idle_after_failure(address, reason)
        return TargetFailure(
            FailureStage.NOT_SENT, reason, f'{address}: {detail}'
        )

    async def _try_reused(
        self,
        connection: _Connection,
        head: RequestHead,
        body: bytes,
        request_id: str,
        limits: ServiceLimits,
    ) -> TargetResponse | None:
        try:
            return await self._start_exchange(
                connection, head, body, request_id, limits
            )
        except TargetFailure as failure:
            is_unsent = failure.stage is FailureStage.NOT_SENT
            if is_unsent and failure.reason is FailureReason.RESET:
                return None
            raise

    async def _start_exchange(
        self,
        connection: _Connection,
        head: RequestHead,
        body: bytes,
        request_id: str,
        limits: ServiceLimits,
    ) -> TargetResponse:
        connection.remember(request_id)
        connection.may_be_reused = head.method != _HEAD_METHOD
        try:
            event = await self._send_and_wait(
                connection,
                self._with_request_id(head, request_id),
                body,
                limits,
            )
            is_delimited = _is_delimited(head.method, event)
            self._check_delimited(is_delimited=is_delimited)
        except TargetFailure as failure:
            connection.stream.close()
            self.close_idle_after_failure(connection.address, failure.reason)
            raise
        except BaseException:
            # Closing the connection cancels the request at the target too.
            connection.stream.close()
            raise
        connection.idle_limit_seconds = _idle_limit_seconds(event)
        return TargetResponse(
            self,
            connection,
            event,
            limits.progress_timeout_seconds,
            is_delimited=is_delimited,
        )

    async def _send_and_wait(
        self,
        connection: _Connection,
        head: RequestHead,
        body: bytes,
        limits: ServiceLimits,
    ) -> Any:
        initial_sent_bytes = connection.stream.sent_bytes
        try:
            return await self._send_request(connection, head, body, limits)
        except TargetFailure:
            raise
        except (OSError, WaitTimeoutError, h11.ProtocolError) as error:
            is_unsent = connection.stream.sent_bytes == initial_sent_bytes
            raise TargetFailure(
                FailureStage.NOT_SENT if is_unsent else FailureStage.SENT,
                _failure_reason(error, connection),
                f'{connection.address}: {error}',
            ) from error

    async def _send_request(
        self,
        connection: _Connection,
        head: RequestHead,
        body: bytes,
        limits: ServiceLimits,
    ) -> Any:
        """Send a request and return the head of its response."""
        content = encode_request(
            connection.http, connection.address, head, body, keep_alive=True
        )
        write_timeout_seconds = limits.progress_timeout_seconds
        if len(content) <= _MAX_INLINE_REQUEST_BYTES:
            await connection.stream.write(content, write_timeout_seconds)
            return await self._receive_head(connection, head, body, limits)
        # The target may respond before it has read the whole body.
        connection.is_sending = True
        sender = await curio.spawn(
            _write_request, connection, content, write_timeout_seconds
        )
        # A long body would be kept twice until the target responds.
        del content
        try:
            return await self._receive_head(connection, head, body, limits)
        finally:
            if connection.is_sending:
                await sender.cancel()
            else:
                await _join(sender)

    async def _receive_head(
        self,
        connection: _Connection,
        head: RequestHead,
        body: bytes,
        limits: ServiceLimits,
    ) -> Any:
        timeout_seconds = limits.first_byte_timeout_seconds
        try:
            async with curio.timeout_after(timeout_seconds):
                return await self._matching_head(connection, head, body)
        except curio.TaskTimeout:
            raise TargetFailure(
                FailureStage.SENT,
                FailureReason.FIRST_BYTE_TIMEOUT,
                f'{connection.address}: no response head within '
                f'{timeout_seconds:g} s',
            ) from None

    async def _matching_head(
        self, connection: _Connection, head: RequestHead, body: bytes
    ) -> Any:
        """Return the response head that carries the id of this request.

        A target may send a second response to an earlier request, which then
        arrives on the reused connection first.
        """
        name = self.pool_limits.request_id_header
        request_id = head.header(name)
        for _ in range(_MAX_STALE_RESPONSES_COUNT):
            event = await connection.next_head()
            echoed = find_header(decode_headers(event.headers), name)
            if echoed == request_id:
                return event
            if echoed is None or not connection.was_reused:
                break
            await connection.skip_response(connection.address, head, body)
        raise TargetFailure(
            FailureStage.SENT,
            FailureReason.MISMATCH,
            f'the response has request id {echoed} instead of {request_id}',
        )

    def _check_delimited(self, *, is_delimited: bool) -> None:
        """Reject a response whose body has no verifiable end."""
        if not (self.pool_limits.accepts_close_delimited or is_delimited):
            raise TargetFailure(
                FailureStage.SENT,
                FailureReason.PROTOCOL,
                'the response has neither Content-Length nor '
                'Transfer-Encoding, so its end cannot be verified',
            )

    def _with_request_id(
        self, head: RequestHead, request_id: str
    ) -> RequestHead:
        name = self.pool_limits.request_id_header
        headers = tuple(
            pair
            for pair in head.headers
            if canonical_name(pair[0]) != name.lower()
        )
        return RequestHead(
            head.method, head.path, (*headers, (name, request_id))
        )


async def _write_request(
    connection: _Connection, content: bytes, write_timeout_seconds: float
) -> None:
    try:
        await connection.stream.write(content, write_timeout_seconds)
    except (OSError, WaitTimeoutError) as error:
        # The error is reported once: the reader of the response sees only the
        # end of the connection, which may look like that of the body.
        connection.has_write_failed = True
        _LOGGER.debug(
            'sending a request to %s failed: %s', connection.address, error
        )
        connection.stream.shutdown()
        return
    connection.is_sending = False


async def _join(task: Any) -> None:
    """Wait for the end of a task."""
    await task.join()


def _is_delimited(method: str, event: Any) -> bool:
    if method == _HEAD_METHOD or event.status_code in _BODILESS_STATUSES:
        return True
    headers = decode_headers(event.headers)
    return any(
        find_header(headers, name) is not None
        for name in ('Content-Length', 'Transfer-Encoding')
    )


def _failure_reason(error: Exception, connection: _Connection) -> FailureReason:
    if isinstance(error, WaitTimeoutError):
        return FailureReason.PROGRESS_TIMEOUT
    if isinstance(error, OSError):
        return FailureReason.RESET
    if connection.eof_received and not connection.http.trailing_data[0]:
        return FailureReason.RESET
    return _protocol_reason(connection)


def _protocol_reason(connection: _Connection) -> FailureReason:
    if connection.eof_received:
        return FailureReason.TRUNCATED
    return FailureReason.PROTOCOL


def _idle_limit_seconds(event: Any) -> float | None:
    """Return how long an idle connection may be reused, None if unknown."""
    keep_alive = find_header(decode_headers(event.headers), 'Keep-Alive') or ''
    for parameter in keep_alive.split(','):
        name, _, number = parameter.strip().partition('=')
        if name.lower() != 'timeout' or not number.isdecimal():
            continue
        if len(number) <= _MAX_KEEP_ALIVE_DIGITS_COUNT:
            return max(0, int(number) - _KEEP_ALIVE_MARGIN_SECONDS)
    return None


def _parse_instance(body: bytes) -> str:
    with contextlib.suppress(ValueError, RecursionError):
        document = json.loads(body)
        if isinstance(document, dict):
            instance = document.get('instance')
            return instance if isinstance(instance, str) else ''
    return ''
