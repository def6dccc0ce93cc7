"""Relays the answer of a target to the caller, whole or event by event."""

import re
from collections.abc import Callable
from typing import Final

from dotterelhatch.core.routes import RouteRule
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.net.http import ServerExchange
from dotterelhatch.net.httptypes import Headers, Response, end_to_end_headers
from dotterelhatch.net.sse import EventSplitter
from dotterelhatch.net.targets import TargetResponse

__all__ = ('Relay', 'is_success')

_OK: Final = 200
_REDIRECT: Final = 300
_EVENT_ID: Final = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)
_LENGTH: Final = 'content-length'


def is_success(status: int) -> bool:
    """Return whether a status says that the request succeeded."""
    return _OK <= status < _REDIRECT


class Relay:
    """The response to one caller, from one target or from several in turn.

    Events of a stream that may go on at another target are passed on only
    when they are complete, so that it can go on between two events.

    :param exchange: the caller's side.
    :param route: tells whether the stream may go on elsewhere.
    :param last_event_id: where the caller asks the stream to go on.
    """

    def __init__(
        self,
        exchange: ServerExchange,
        route: RouteRule,
        last_event_id: str | None,
    ) -> None:
        """Start with nothing sent."""
        self.last_event_id = last_event_id
        self._exchange = exchange
        self._is_resumable = route.is_resumable
        self._splitter = EventSplitter()

    @property
    def has_started(self) -> bool:
        """Return whether the caller has got a part of the response."""
        return self._exchange.started

    async def send_whole(self, response: TargetResponse, body: bytes) -> None:
        """Pass on a response that has arrived completely.

        :raises DisconnectError: when the caller leaves.
        """
        if self.has_started:
            raise DotterelhatchError(
                ErrorKind.TARGET_FAILED,
                f'the stream was not continued: status {response.status}',
                Executed.UNKNOWN,
            )
        headers = end_to_end_headers(response.headers)
        await self._exchange.send(Response(response.status, headers, body))

    async def stream(
        self, response: TargetResponse, on_chunk: Callable[[], None]
    ) -> None:
        """Pass on a stream as it arrives.

        :param on_chunk: is called for each part that arrives.
        :raises TargetFailure: when the target breaks off.
        :raises DisconnectError: when the caller leaves.
        """
        async for chunk in response.chunks():
            on_chunk()
            passable = self._take_passable(chunk)
            if passable:
                await self._send(response, passable)
        await self._send(response, b'')
        if self._is_resumable and self._splitter.pending:
            await self._exchange.send_chunk(self._splitter.pending)
        await self._exchange.end_stream()

    def prepare_resume(self) -> None:
        """Drop a part of an event, which the next target sends anew."""
        self._splitter = EventSplitter()

    def _take_passable(self, chunk: bytes) -> bytes:
        if not self._is_resumable:
            return chunk
        events = self._splitter.feed(chunk)
        for event in events:
            found = _EVENT_ID.search(event.raw)
            if found:
                self.last_event_id = found.group(1).decode('latin-1')
        return b''.join(one.raw for one in events)

    async def _send(self, response: TargetResponse, passable: bytes) -> None:
        if self.has_started:
            await self._exchange.send_chunk(passable)
            return
        headers = end_to_end_headers(response.headers)
        if self._is_resumable:
            headers = _without_length(headers)
        await self._exchange.start_stream(response.status, headers, passable)


def _without_length(headers: Headers) -> Headers:
    return tuple(pair for pair in headers if pair[0].lower() != _LENGTH)
