"""Relays the response of a target to the caller, whole or as a stream."""

from collections.abc import Callable
from typing import Final

from dotterelhatch.core.routes import RouteRule
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.gateway.resumption import StreamResumption
from dotterelhatch.gateway.wireformat import WireFormat
from dotterelhatch.net.http import ServerExchange
from dotterelhatch.net.httptypes import Headers, Response
from dotterelhatch.net.sse import EventSplitter, EventTooLargeError, ServerEvent
from dotterelhatch.net.targets import (
    FailureReason,
    FailureStage,
    TargetFailure,
    TargetResponse,
)

__all__ = ('Relay', 'is_success')

_OK: Final = 200
_MULTIPLE_CHOICES: Final = 300
_CONTENT_LENGTH: Final = 'content-length'
# Ends of an event, as its lines may end.
_BLANK_LINES: Final = (b'\n\n', b'\r\n\r\n', b'\r\r')
_MAX_BLANK_LINE_BYTES: Final = 4


def is_success(status: int) -> bool:
    """Return whether a status code is in the 2xx class."""
    return _OK <= status < _MULTIPLE_CHOICES


class Relay:
    """Response to one caller, composed of the responses of its attempts.

    A resumable stream can continue at another target between two events, so
    its events are forwarded only when they are complete.

    :param wire: tells which headers of a response are forwarded.
    :param exchange: HTTP exchange with the caller.
    :param route: tells whether streams are resumable.
    :param last_event_id: event after which the caller resumes a stream.
    """

    def __init__(
        self,
        wire: WireFormat,
        exchange: ServerExchange,
        route: RouteRule,
        last_event_id: str | None,
    ) -> None:
        """Start with nothing sent."""
        self._wire = wire
        self._resumption = StreamResumption(last_event_id)
        self._exchange = exchange
        self._is_resumable = route.is_resumable
        self._splitter = EventSplitter()
        self._events_count = 0

    @property
    def events_count(self) -> int:
        """Return the events that have arrived, of all attempts."""
        return self._events_count

    @property
    def last_event_id(self) -> str | None:
        """Return the event after which a stream goes on."""
        return self._resumption.last_event_id

    @property
    def can_resume(self) -> bool:
        """Return whether another target can go on after what was sent."""
        return self._resumption.has_position

    @property
    def has_started(self) -> bool:
        """Return whether a part of the response was sent to the caller."""
        return self._exchange.started

    async def send_response(
        self, response: TargetResponse, body: bytes
    ) -> None:
        """Send a complete response to the caller.

        :raises DotterelhatchError: when a stream has been started before.
        :raises DisconnectError: when the caller disconnects.
        """
        if self.has_started:
            raise DotterelhatchError(
                ErrorKind.TARGET_FAILED,
                'the stream could not be resumed at another target: '
                f'status {response.status}',
                Executed.UNKNOWN,
            )
        headers = self._wire.end_to_end_headers(response.headers)
        exchange = self._exchange
        response.hold(len(body), exchange.abort, exchange.taken_bytes)
        await exchange.send(Response(response.status, headers, body))

    async def relay_stream(
        self, response: TargetResponse, on_chunk: Callable[[], None]
    ) -> None:
        """Forward a stream as it arrives.

        :param on_chunk: is called for each chunk that arrives.
        :raises TargetFailure: when the target fails before the end.
        :raises DisconnectError: when the caller disconnects.
        """
        self._resumption.begin(response, is_continuation=self.has_started)
        tail = b''
        while chunk := await response.read_chunk():
            on_chunk()
            self._events_count += _count_ends(tail, chunk)
            tail = (tail + chunk)[-_MAX_BLANK_LINE_BYTES:]
            content = self._complete_events(chunk)
            await self._send_held(response, content)
        if not (response.is_delimited or tail.endswith(_BLANK_LINES)):
            # Only a reset or an incomplete event shows that such a stream was
            # broken off.
            raise TargetFailure(
                FailureStage.ANSWERING,
                FailureReason.TRUNCATED,
                'the stream ended with its connection inside an event',
            )
        self._resumption.check_end(self._splitter.pending)
        await self._send(response, b'')
        if self._is_resumable and self._splitter.pending:
            await self._exchange.send_chunk(self._splitter.pending)
        await self._exchange.end_stream()

    def discard_partial_event(self) -> None:
        """Discard an incomplete event; the next target sends it again."""
        self._splitter = EventSplitter()

    def _complete_events(self, chunk: bytes) -> bytes:
        if not self._is_resumable:
            return chunk
        return self._resumption.advance(self._split(chunk))

    def _split(self, chunk: bytes) -> list[ServerEvent]:
        try:
            return self._splitter.feed(chunk)
        except EventTooLargeError as error:
            raise TargetFailure(
                FailureStage.ANSWERING, FailureReason.OVERSIZED, str(error)
            ) from error

    async def _send_held(
        self, response: TargetResponse, content: bytes
    ) -> None:
        """Send events, and count what is kept meanwhile."""
        pending_bytes = self._splitter.pending_bytes
        if content:
            response.hold(
                len(content) + pending_bytes,
                self._exchange.abort,
                self._exchange.taken_bytes,
            )
            await self._send(response, content)
        response.hold(pending_bytes)

    async def _send(self, response: TargetResponse, content: bytes) -> None:
        if self.has_started:
            await self._exchange.send_chunk(content)
            return
        headers = self._wire.end_to_end_headers(response.headers)
        if self._is_resumable:
            headers = _without_content_length(headers)
        await self._exchange.start_stream(response.status, headers, content)


def _without_content_length(headers: Headers) -> Headers:
    return tuple(pair for pair in headers if pair[0].lower() != _CONTENT_LENGTH)


def _count_ends(tail: bytes, chunk: bytes) -> int:
    """Return how many events end in a chunk.

    :param tail: end of what arrived before it.
    """
    for blank_line in _BLANK_LINES:
        # An end that is whole in the tail has been counted before.
        before = tail[1 - len(blank_line) :]
        count = (before + chunk).count(blank_line)
        if count:
            return count
    return 0
