"""Client of targets: streams, request id check, deadlines and reuse."""

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
from dotterelhatch.net.client import encode_request, fetch
from dotterelhatch.net.httptypes import (
    Headers,
    HttpError,
    RequestHead,
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
_REQUEST_ID: Final = 'X-Request-Id'
# Bodies up to this size fit into the socket buffers, so sending them does not
# wait for the target and needs no task of its own.
_INLINE_BODY_BYTES: Final = 8192
# Late extra responses on one connection that are skipped, each to its end.
_MAX_STALE_COUNT: Final = 4
# A request sent this long before the target closes still arrives before.
_KEEP_ALIVE_MARGIN_SECONDS: Final = 0.5
_MAX_HEAD_BYTES: Final = 65_536
_BODILESS_STATUSES: Final = frozenset((204, 304))
_SERVER_ERROR: Final = 500


class FailureStage(enum.Enum):
    """How far a request had come when it failed.

    NOT_SENT: no byte was handed to the socket, so the target cannot have run
    it. SENT: no response head of this request arrived. ANSWERING: the head
    arrived, the body is incomplete.
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


# After these, idle connections on the same path may be silent or closed too.
_PATH_FAILURES: Final = frozenset(
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

    :param stage: how far the request had come.
    :param reason: what went wrong.
    :param detail: a sentence for the log.
    """

    def __init__(
        self, stage: FailureStage, reason: FailureReason, detail: str
    ) -> None:
        """Keep the parts and format the message."""
        super().__init__(f'{stage.value}: {reason.value}: {detail}')
        self.stage = stage
        self.reason = reason
        self.detail = detail


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of the idle connections, and what targets send.

    :param idle_seconds: shorter than what targets keep idle connections, so
        that a request rarely meets a connection that is being closed.
    :param per_target_count: idle connections kept per address.
    :param request_id_header: the header in which targets echo the id.
    :param accepts_close_delimited: whether a body may end with its connection;
        the end of such a body is certain unless the connection is reset.
    """

    idle_seconds: float = 15.0
    per_target_count: int = 32
    request_id_header: str = _REQUEST_ID
    accepts_close_delimited: bool = False


class _Link:
    """One connection to a target with its protocol state.

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
        self.at_end = False
        self.is_sending = False
        self.was_reused = False

    def is_complete(self) -> bool:
        """Return whether the exchange ended and allows another one."""
        states = (self.http.our_state, self.http.their_state)
        return states == (h11.DONE, h11.DONE) and not (
            self.at_end or self.is_sending or self.http.trailing_data[0]
        )

    async def receive(self, timeout_seconds: float | None) -> None:
        """Read once from the socket into the protocol state."""
        content = await self.stream.read(timeout_seconds)
        self.at_end = not content
        self.http.receive_data(content)

    async def next_event(self, timeout_seconds: float | None) -> Any:
        """Return the next event, reading while it is incomplete."""
        event = self.http.next_event()
        while event is h11.NEED_DATA:
            await self.receive(timeout_seconds)
            event = self.http.next_event()
        return event

    async def next_head(self) -> Any:
        """Return the next final response head."""
        event = await self.next_event(None)
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event(None)
        return event

    async def skip_response(
        self, address: str, head: RequestHead, body: bytes
    ) -> None:
        """Discard a response to an earlier request, to its end.

        The bytes after it are parsed anew, as the response to the request
        that has been sent last.
        """
        event = await self.next_event(None)
        while not isinstance(event, h11.EndOfMessage):
            event = await self.next_event(None)
        remaining = self.http.trailing_data[0]
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        encode_request(self.http, address, head, body, keep=True)
        if remaining:
            self.http.receive_data(remaining)


class TargetResponse:
    """A response whose head has arrived and whose body is read in chunks.

    :param client: gets the connection back.
    :param link: the connection.
    :param head: the h11 response event.
    :param progress_timeout_seconds: longest silence within the body.
    """

    def __init__(
        self,
        client: 'TargetClient',
        link: _Link,
        head: Any,
        progress_timeout_seconds: float,
    ) -> None:
        """Start before the first chunk."""
        self.status = int(head.status_code)
        self.headers = decode_headers(head.headers)
        self._client = client
        self._link = link
        self._progress_timeout_seconds = progress_timeout_seconds
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
    def complete(self) -> bool:
        """Return whether the end of the body has arrived."""
        return self._complete

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; what arrived together is joined.

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
        content = self._take_arrived()
        while not content and not self._complete:
            if self._failure is not None:
                raise self._failure
            await self._receive()
            content = self._take_arrived()
        return content

    async def read_all(self) -> bytes:
        """Return the whole body.

        :raises TargetFailure: stage ANSWERING, when the body is incomplete.
        """
        return b''.join([chunk async for chunk in self.chunks()])

    async def close(self) -> None:
        """Return the connection to the pool, or close it when incomplete.

        Closing an incomplete response cancels the request at the target. A
        task that is reading the response at that time gets a failure.
        """
        if self._closed:
            return
        self._closed = True
        if self._complete:
            self._client.release(self._link)
        else:
            self._link.stream.close()

    def _take_arrived(self) -> bytes:
        parts: list[bytes] = []
        event = self._parse()
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            event = self._parse()
        return b''.join(parts)

    def _parse(self) -> Any:
        if self._complete or self._failure is not None:
            return None
        try:
            event = self._link.http.next_event()
        except h11.RemoteProtocolError as error:
            self._fail(_protocol_reason(self._link), str(error))
            return None
        if isinstance(event, h11.EndOfMessage):
            self._complete = True
        return event

    async def _receive(self) -> None:
        try:
            await self._link.receive(self._progress_timeout_seconds)
        except WaitTimeoutError as error:
            self._fail(FailureReason.PROGRESS_TIMEOUT, str(error))
        except OSError as error:
            self._fail(FailureReason.RESET, str(error))

    def _fail(self, reason: FailureReason, detail: str) -> None:
        self._failure = TargetFailure(
            FailureStage.ANSWERING, reason, f'{self._link.address}: {detail}'
        )
        self._client.close_idle_after_failure(self._link.address, reason)


class TargetClient:
    """Sends requests to targets and keeps idle connections for reuse.

    :param pool_limits: limits of the idle connections.
    :param probe_timeout_seconds: for one whole probe.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        pool_limits: PoolLimits | None = None,
        probe_timeout_seconds: float = 2.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without connections."""
        self._pool_limits = pool_limits or PoolLimits()
        self._probe_timeout_seconds = probe_timeout_seconds
        self._clock = clock
        self._idle: dict[str, list[_Link]] = {}
        self._closed = False
        self._prune_task: Any = None

    async def __aenter__(self) -> Self:
        """Start closing connections that stay idle."""
        self._prune_task = await curio.spawn(self._prune_always, daemon=True)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the idle connections."""
        self._closed = True
        await self._prune_task.cancel()
        for address in tuple(self._idle):
            self._drop_idle(address)

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(len(links) for links in self._idle.values())

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
        """Send a request and return when its response head has arrived.

        A request is sent a second time only when the first connection took
        none of its bytes.

        :param fresh: use a new connection. A target may close an idle one
            while the request is on its way, which leaves the outcome of a
            request that must not repeat unknown.
        :raises TargetFailure: stage NOT_SENT or SENT.
        """
        link = None if fresh else self._take_idle(address)
        if link is not None:
            response = await self._try_reused(
                link, head, body, request_id, limits
            )
            if response is not None:
                return response
        link = await self._connect(address, limits)
        return await self._exchange(link, head, body, request_id, limits)

    async def probe(self, address: str) -> str | None:
        """Return the instance id that a target reports on a new connection.

        Services need not offer ``/health``, so any complete answer that is
        not a server error shows that the target runs.

        :returns: an empty id when the target names none, None when it does
            not answer.
        """
        try:
            response = await fetch(
                address,
                'GET',
                '/health',
                timeout_seconds=self._probe_timeout_seconds,
            )
        except HttpError:
            return None
        if response.status >= _SERVER_ERROR:
            return None
        return _parse_instance(response.body)

    def release(self, link: _Link) -> None:
        """Take back a connection after a complete response."""
        idle = self._idle.setdefault(link.address, [])
        full = len(idle) >= self._pool_limits.per_target_count
        if full or self._closed or not link.is_complete():
            link.stream.close()
            return
        link.http.start_next_cycle()
        link.was_reused = True
        link.idle_since_seconds = self._clock()
        idle.append(link)

    def close_idle_after_failure(
        self, address: str, reason: FailureReason
    ) -> None:
        """Close the idle connections of an address that became unreachable."""
        if reason in _PATH_FAILURES:
            self._drop_idle(address)

    def close_expired(self) -> None:
        """Close the connections that were idle too long."""
        oldest_seconds = self._clock() - self._pool_limits.idle_seconds
        for address, links in tuple(self._idle.items()):
            kept = []
            for link in links:
                if link.idle_since_seconds < oldest_seconds:
                    link.stream.close()
                else:
                    kept.append(link)
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)

    async def _prune_always(self) -> None:
        while True:
            await curio.sleep(self._pool_limits.idle_seconds / 2)
            self.close_expired()

    def _drop_idle(self, address: str) -> None:
        for link in self._idle.pop(address, ()):
            link.stream.close()

    def _take_idle(self, address: str) -> _Link | None:
        oldest_seconds = self._clock() - self._pool_limits.idle_seconds
        links = self._idle.get(address, [])
        while links:
            link = links.pop()
            recent = link.idle_since_seconds >= oldest_seconds
            if link.idle_limit_seconds is not None:
                idle_seconds = self._clock() - link.idle_since_seconds
                recent = recent and idle_seconds < link.idle_limit_seconds
            if recent and link.stream.is_reusable():
                return link
            link.stream.close()
        return None

    async def _connect(self, address: str, limits: ServiceLimits) -> _Link:
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
        return _Link(address, stream)

    def _not_sent(
        self, address: str, reason: FailureReason, detail: str
    ) -> TargetFailure:
        self.close_idle_after_failure(address, reason)
        return TargetFailure(
            FailureStage.NOT_SENT, reason, f'{address}: {detail}'
        )

    async def _try_reused(
        self,
        link: _Link,
        head: RequestHead,
        body: bytes,
        request_id: str,
        limits: ServiceLimits,
    ) -> TargetResponse | None:
        try:
            return await self._exchange(link, head, body, request_id, limits)
        except TargetFailure as failure:
            unsent = failure.stage is FailureStage.NOT_SENT
            if unsent and failure.reason is FailureReason.RESET:
                return None
            raise

    async def _exchange(
        self,
        link: _Link,
        head: RequestHead,
        body: bytes,
        request_id: str,
        limits: ServiceLimits,
    ) -> TargetResponse:
        try:
            event = await self._send_and_wait(
                link, self._with_request_id(head, request_id), body, limits
            )
            self._check_delimited(head.method, event)
        except TargetFailure as failure:
            link.stream.close()
            self.close_idle_after_failure(link.address, failure.reason)
            raise
        except BaseException:
            # The task was cancelled, which cancels the request as well.
            link.stream.close()
            raise
        link.idle_limit_seconds = _idle_limit_seconds(event)
        return TargetResponse(
            self, link, event, limits.progress_timeout_seconds
        )

    async def _send_and_wait(
        self, link: _Link, head: RequestHead, body: bytes, limits: ServiceLimits
    ) -> Any:
        before_bytes = link.stream.sent_bytes
        try:
            return await self._await_head(link, head, body, limits)
        except TargetFailure:
            raise
        except (OSError, WaitTimeoutError, h11.ProtocolError) as error:
            unsent = link.stream.sent_bytes == before_bytes
            raise TargetFailure(
                FailureStage.NOT_SENT if unsent else FailureStage.SENT,
                _reason_of(error, link),
                f'{link.address}: {error}',
            ) from error

    async def _await_head(
        self, link: _Link, head: RequestHead, body: bytes, limits: ServiceLimits
    ) -> Any:
        """Send a request and return the head of its own response."""
        content = encode_request(link.http, link.address, head, body, keep=True)
        patience_seconds = limits.progress_timeout_seconds
        if len(content) <= _INLINE_BODY_BYTES:
            await link.stream.write(content, patience_seconds)
            return await self._wait_head(link, head, body, limits)
        # A target may answer before it has read a long body.
        link.is_sending = True
        sender = await curio.spawn(_send, link, content, patience_seconds)
        try:
            return await self._wait_head(link, head, body, limits)
        finally:
            if link.is_sending:
                await sender.cancel()
            else:
                await _collect(sender)

    async def _wait_head(
        self, link: _Link, head: RequestHead, body: bytes, limits: ServiceLimits
    ) -> Any:
        timeout_seconds = limits.first_byte_timeout_seconds
        try:
            async with curio.timeout_after(timeout_seconds):
                return await self._own_head(link, head, body)
        except curio.TaskTimeout:
            raise TargetFailure(
                FailureStage.SENT,
                FailureReason.FIRST_BYTE_TIMEOUT,
                f'{link.address}: no response head for {timeout_seconds:g} s',
            ) from None

    async def _own_head(
        self, link: _Link, head: RequestHead, body: bytes
    ) -> Any:
        """Return the head with the id of this request.

        A target may send a second response to an earlier request, late
        enough to arrive in the place of this one.
        """
        name = self._pool_limits.request_id_header
        request_id = head.header(name)
        for _ in range(_MAX_STALE_COUNT):
            event = await link.next_head()
            echoed = find_header(decode_headers(event.headers), name)
            if echoed == request_id:
                return event
            if echoed is None or not link.was_reused:
                break
            await link.skip_response(link.address, head, body)
        raise TargetFailure(
            FailureStage.SENT,
            FailureReason.MISMATCH,
            f'request id {echoed} instead of {request_id}',
        )

    def _check_delimited(self, method: str, event: Any) -> None:
        """Check that the end of the response can be verified."""
        if method == 'HEAD' or event.status_code in _BODILESS_STATUSES:
            return
        headers = decode_headers(event.headers)
        if not (
            self._pool_limits.accepts_close_delimited or _is_delimited(headers)
        ):
            raise TargetFailure(
                FailureStage.SENT,
                FailureReason.PROTOCOL,
                'neither Content-Length nor chunked: the end cannot be '
                'verified',
            )

    def _with_request_id(
        self, head: RequestHead, request_id: str
    ) -> RequestHead:
        name = self._pool_limits.request_id_header
        headers = tuple(
            pair for pair in head.headers if pair[0].lower() != name.lower()
        )
        return RequestHead(
            head.method, head.path, (*headers, (name, request_id))
        )


async def _send(link: _Link, content: bytes, patience_seconds: float) -> None:
    try:
        await link.stream.write(content, patience_seconds)
    except (OSError, WaitTimeoutError) as error:
        # The reader of the response meets the broken connection itself.
        _LOGGER.debug('sending to %s ended: %s', link.address, error)
        link.stream.shutdown()
        return
    link.is_sending = False


async def _collect(task: Any) -> None:
    """Wait for a task that ends by itself."""
    await task.join()


def _is_delimited(headers: Headers) -> bool:
    return any(
        find_header(headers, name) is not None
        for name in ('Content-Length', 'Transfer-Encoding')
    )


def _reason_of(error: Exception, link: _Link) -> FailureReason:
    if isinstance(error, WaitTimeoutError):
        return FailureReason.PROGRESS_TIMEOUT
    if isinstance(error, OSError):
        return FailureReason.RESET
    if link.at_end and not link.http.trailing_data[0]:
        return FailureReason.RESET
    return _protocol_reason(link)


def _protocol_reason(link: _Link) -> FailureReason:
    if link.at_end:
        return FailureReason.TRUNCATED
    return FailureReason.PROTOCOL


def _idle_limit_seconds(event: Any) -> float | None:
    """Return how long the target keeps the connection, None if unknown."""
    keep_alive = find_header(decode_headers(event.headers), 'Keep-Alive') or ''
    for parameter in keep_alive.split(','):
        name, _, number = parameter.strip().partition('=')
        if name.lower() == 'timeout' and number.isdigit():
            return max(0, int(number) - _KEEP_ALIVE_MARGIN_SECONDS)
    return None


def _parse_instance(body: bytes) -> str:
    with contextlib.suppress(ValueError):
        document = json.loads(body)
        if isinstance(document, dict):
            instance = document.get('instance')
            return instance if isinstance(instance, str) else ''
    return ''
