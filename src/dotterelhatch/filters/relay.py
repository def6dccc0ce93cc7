"""Relays the answer of a target to the caller and counts its cost."""

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
from dotterelhatch.net.sse import EventSplitter, ServerEvent
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
_LARGEST_BUFFERED_BYTES: Final = 16 * 1024 * 1024
_MILLISECONDS: Final = 1000
# The relay sets these itself.
_OWN_HEADERS: Final = frozenset(('content-length', 'x-request-id'))


class _Usage(BaseModel):
    model_config = ConfigDict(extra='ignore')

    completion_tokens: int = 0


class _WholeCompletion(BaseModel):
    model_config = ConfigDict(extra='ignore')

    usage: _Usage = _Usage()


class _Chunk(BaseModel):
    model_config = ConfigDict(extra='ignore')

    id: str | None = None


class Relay:
    """Takes one answer of a target.

    A whole answer is kept in the context and sent by a later filter, so that
    a failure half-way can still be retried. A stream goes to the caller event
    by event.
    """

    def __init__(
        self,
        context: RequestContext,
        pending: PendingRequest,
        broker: Broker,
        clock: Callable[[], float],
    ) -> None:
        """Start with nothing received."""
        self._context = context
        self._pending = pending
        self._broker = broker
        self._clock = clock
        self._begun_seconds = clock()
        self._tokens = 0
        self._reported_tokens = 0
        self._received = False
        self._stream_id: str | None = None

    @property
    def units(self) -> float:
        """Return the cost so far."""
        request = self._context.outbound
        if request.service.kind is ServiceKind.PLAIN:
            return (self._clock() - self._begun_seconds) * _MILLISECONDS
        if not self._received:
            return 0
        return self._tokens + request.prompt_units

    async def run(self, response: TargetResponse) -> None:
        """Take the whole answer.

        :raises TargetFailure: when the answer is not whole.
        """
        self._received = True
        content_type = _header(response, 'content-type')
        is_stream = content_type.startswith(_STREAM_TYPE)
        try:
            if is_stream and self._context.outbound.idempotency_key is None:
                await self._relay_stream(response)
            else:
                await self._collect(response, is_stream=is_stream)
        finally:
            self._context.tokens_count = self._tokens

    async def _collect(
        self, response: TargetResponse, *, is_stream: bool
    ) -> None:
        content = bytearray()
        while part := await response.read_chunk():
            content.extend(part)
            if len(content) > _LARGEST_BUFFERED_BYTES:
                raise DotterelhatchError(
                    ErrorKind.TARGET_FAILED,
                    'the answer of the target is too large',
                    Executed.YES,
                )
        body = bytes(content)
        if is_stream:
            self._count_events(body)
        else:
            self._count_whole(body)
        self._context.response = Response(
            response.status, self._headers(response), body
        )

    def _count_events(self, body: bytes) -> None:
        events = EventSplitter().feed(body)
        for event in events[:-1]:
            self._count(event)
        if not events or events[-1].data != _END_MARKER:
            _fail(FailureReason.TRUNCATED, 'the stream has no end marker')

    def _count_whole(self, body: bytes) -> None:
        if self._context.outbound.service.kind is not ServiceKind.MODEL:
            return
        try:
            whole = _WholeCompletion.model_validate_json(body)
        except ValidationError:
            return
        self._tokens = whole.usage.completion_tokens

    async def _relay_stream(self, response: TargetResponse) -> None:
        splitter = EventSplitter()
        end: ServerEvent | None = None
        while part := await response.read_chunk():
            relayed = bytearray()
            for event in splitter.feed(part):
                if event.data == _END_MARKER:
                    # It goes out only after the target has ended the answer.
                    end = event
                else:
                    self._count(event)
                    relayed.extend(event.raw)
            await self._forward(response, bytes(relayed))
        if end is None:
            _fail(FailureReason.TRUNCATED, 'the stream has no end marker')
        await self._forward(response, end.raw)
        await self._context.exchange.end_stream()

    async def _forward(self, response: TargetResponse, content: bytes) -> None:
        """Send events that arrived together as one chunk."""
        if not content:
            return
        exchange = self._context.exchange
        if not exchange.started:
            await exchange.start_stream(
                response.status, self._headers(response)
            )
        await exchange.send_chunk(content)
        if self._tokens and self._context.first_token_seconds is None:
            self._context.first_token_seconds = self._clock()
        await self._report_progress()

    def _count(self, event: ServerEvent) -> None:
        """Count a token and check that it belongs to this stream."""
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
            _fail(FailureReason.MISMATCH, 'an event of another stream')

    async def _report_progress(self) -> None:
        if self._tokens - self._reported_tokens >= _PROGRESS_INTERVAL_TOKENS:
            self._reported_tokens = self._tokens
            await self._broker.submit(
                RequestProgressed(self._pending.request_id, self.units)
            )

    def _headers(self, response: TargetResponse) -> tuple[tuple[str, str], ...]:
        kept = (
            (name, value)
            for name, value in end_to_end_headers(response.headers)
            if name.lower() not in _OWN_HEADERS
        )
        return (*kept, ('X-Request-Id', self._context.request_id))


def _header(response: TargetResponse, name: str) -> str:
    for known, value in response.headers:
        if known.lower() == name:
            return value
    return ''


def _fail(reason: FailureReason, detail: str) -> NoReturn:
    raise TargetFailure(FailureStage.ANSWERING, reason, detail)
