"""Relays the response of a target to the caller and measures its cost."""

from collections.abc import Callable
from typing import Final, NoReturn

from pydantic import BaseModel, ConfigDict, ValidationError

from dotterelhatch.broker import Broker
from dotterelhatch.core.events import RequestProgressed
from dotterelhatch.core.queues import PendingRequest
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.filters.pipeline import RequestContext
from dotterelhatch.fleet import ServiceKind
from dotterelhatch.net.http import Response, end_to_end_headers
from dotterelhatch.net.retryafter import retry_after_seconds
from dotterelhatch.net.sse import EventSplitter, EventTooLargeError, ServerEvent
from dotterelhatch.net.targets import (
    FailureReason,
    FailureStage,
    TargetFailure,
    TargetResponse,
)

__all__ = ('Relay',)

_END_MARKER: Final = '[DONE]'
_STREAM_TYPE: Final = 'text/event-stream'
_PROGRESS_INTERVAL_TOKENS: Final = 16
_MAX_BUFFERED_BYTES: Final = 16 * 1024 * 1024
_MILLISECONDS_PER_SECOND: Final = 1000
_UNAVAILABLE: Final = 503
# Response headers that the router sets itself.
_REPLACED_HEADERS: Final = frozenset(('content-length', 'x-request-id'))


class _Usage(BaseModel):
    model_config = ConfigDict(extra='ignore')

    completion_tokens: int = 0


class _CompletionBody(BaseModel):
    model_config = ConfigDict(extra='ignore')

    usage: _Usage = _Usage()


class _Chunk(BaseModel):
    model_config = ConfigDict(extra='ignore')

    id: str | None = None


class Relay:
    """Receives the response to one attempt.

    A response that is not a stream is stored in the context and sent by the
    ``Respond`` filter, so that a failure before its end can still be retried.
    A stream is relayed to the caller event by event.

    Attribute ``pause_seconds``: how long the target wants no requests.
    """

    def __init__(
        self,
        context: RequestContext,
        pending: PendingRequest,
        broker: Broker,
        clock: Callable[[], float],
    ) -> None:
        """Start before the response."""
        self._context = context
        self._pending = pending
        self._broker = broker
        self._clock = clock
        self._started_seconds = clock()
        self._tokens = 0
        self._reported_tokens = 0
        self._response_arrived = False
        self._stream_id: str | None = None
        self.pause_seconds = 0.0

    @property
    def units(self) -> float:
        """Return the cost of the attempt so far.

        Plain services cost the elapsed milliseconds, models the completion
        tokens plus the cost of the prompt.
        """
        request = self._context.outbound
        if request.service.kind is ServiceKind.PLAIN:
            return (
                self._clock() - self._started_seconds
            ) * _MILLISECONDS_PER_SECOND
        if not self._response_arrived:
            return 0
        return self._tokens + request.prompt_units

    async def run(self, response: TargetResponse) -> None:
        """Receive the response to its end.

        :raises TargetFailure: when the response is incomplete.
        """
        self._response_arrived = True
        if response.status == _UNAVAILABLE:
            self.pause_seconds = retry_after_seconds(response.headers) or 0
        content_type = _find_header(response, 'content-type')
        is_stream = content_type.startswith(_STREAM_TYPE)
        try:
            if is_stream and self._context.outbound.idempotency_key is None:
                await self._relay_stream(response)
            else:
                await self._buffer_response(response, is_stream=is_stream)
        finally:
            self._context.tokens_count = self._tokens

    async def _buffer_response(
        self, response: TargetResponse, *, is_stream: bool
    ) -> None:
        content = bytearray()
        while part := await response.read_chunk():
            content.extend(part)
            response.hold(len(content))
            if len(content) > _MAX_BUFFERED_BYTES:
                raise DotterelhatchError(
                    ErrorKind.TARGET_FAILED,
                    'the response of the target exceeds 16 MiB',
                    Executed.YES,
                )
        body = bytes(content)
        if is_stream:
            self._count_events(body)
        else:
            self._count_usage(body)
        self._context.response = Response(
            response.status, self._response_headers(response), body
        )

    def _count_events(self, body: bytes) -> None:
        events = _split(EventSplitter(), body)
        for event in events[:-1]:
            self._count_event(event)
        if not events or events[-1].data != _END_MARKER:
            _raise_failure(
                FailureReason.TRUNCATED,
                'the stream ended without its end marker',
            )

    def _count_usage(self, body: bytes) -> None:
        if self._context.outbound.service.kind is not ServiceKind.MODEL:
            return
        try:
            completion = _CompletionBody.model_validate_json(body)
        except ValidationError:
            return
        self._tokens = completion.usage.completion_tokens

    async def _relay_stream(self, response: TargetResponse) -> None:
        splitter = EventSplitter()
        end: ServerEvent | None = None
        while part := await response.read_chunk():
            relayed = bytearray()
            for event in _split(splitter, part):
                if event.data == _END_MARKER:
                    # Relayed only once the target has ended the response, so
                    # that an incomplete stream never has an end marker.
                    end = event
                else:
                    self._count_event(event)
                    relayed.extend(event.raw)
            response.hold(
                len(relayed) + splitter.pending_bytes,
                self._context.exchange.abort,
            )
            await self._send_events(response, bytes(relayed))
            response.hold(splitter.pending_bytes)
        if end is None:
            _raise_failure(
                FailureReason.TRUNCATED,
                'the stream ended without its end marker',
            )
        await self._send_events(response, end.raw)
        await self._context.exchange.end_stream()

    async def _send_events(
        self, response: TargetResponse, content: bytes
    ) -> None:
        """Send events that arrived together in one chunk."""
        if not content:
            return
        exchange = self._context.exchange
        if not exchange.started:
            await exchange.start_stream(
                response.status, self._response_headers(response)
            )
        await exchange.send_chunk(content)
        if self._tokens and self._context.first_token_seconds is None:
            self._context.first_token_seconds = self._clock()
        await self._report_progress()

    def _count_event(self, event: ServerEvent) -> None:
        """Count a token and check that the event belongs to this stream."""
        if not event.data:
            return
        self._tokens += 1
        try:
            chunk = _Chunk.model_validate_json(event.data)
        except ValidationError:
            return
        if self._stream_id is None:
            self._stream_id = chunk.id
        elif chunk.id != self._stream_id:
            _raise_failure(
                FailureReason.MISMATCH,
                'the stream contains an event of another stream',
            )

    async def _report_progress(self) -> None:
        if self._tokens - self._reported_tokens >= _PROGRESS_INTERVAL_TOKENS:
            self._reported_tokens = self._tokens
            await self._broker.submit(
                RequestProgressed(self._pending.request_id, self.units)
            )

    def _response_headers(
        self, response: TargetResponse
    ) -> tuple[tuple[str, str], ...]:
        kept = (
            (name, value)
            for name, value in end_to_end_headers(response.headers)
            if name.lower() not in _REPLACED_HEADERS
        )
        return (*kept, ('X-Request-Id', self._context.request_id))


def _split(splitter: EventSplitter, content: bytes) -> list[ServerEvent]:
    try:
        return splitter.feed(content)
    except EventTooLargeError as error:
        raise TargetFailure(
            FailureStage.ANSWERING, FailureReason.OVERSIZED, str(error)
        ) from error


def _find_header(response: TargetResponse, name: str) -> str:
    for known, value in response.headers:
        if known.lower() == name:
            return value
    return ''


def _raise_failure(reason: FailureReason, detail: str) -> NoReturn:
    raise TargetFailure(FailureStage.ANSWERING, reason, detail)
