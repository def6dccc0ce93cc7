"""Simulated server of the platform: plain and streamed responses, faults."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from dotterelhatch.net.http import Response, ServerExchange

__all__ = ('ServerBehaviour', 'ServerStandIn')

_MAX_BODY_BYTES = 4_194_304
_PREFIX = 'Dotterelhatch-'


class ServerBehaviour(enum.Enum):
    """How a server responds to requests.

    SHED: rejects them without executing them. SHED_ENDLESSLY: as SHED, with a
    body without end. ENDLESS_EVENT: an event of a stream has no end.
    OTHER_INSTANCE: responds 421 as another instance does. SILENT: executes
    them and sends no response.
    """

    SERVE = 'serve'
    SHED = 'shed'
    SHED_ENDLESSLY = 'shed_endlessly'
    ENDLESS_EVENT = 'endless_event'
    FAIL = 'fail'
    BREAK_BEFORE_ANSWER = 'break_before_answer'
    BREAK_AFTER_EVENTS = 'break_after_events'
    OTHER_INSTANCE = 'other_instance'
    SILENT = 'silent'


@dataclass
class ServerStandIn:
    """One simulated server.

    :param instance: its id.
    :param events_count: number of events of a stream.
    :param event_seconds: time between the events.
    :param executed_ids: ids of the requests whose execution started.
    :param received_headers: headers of all requests, names in lower case.
    :param cancelled_ids: ids of requests that were cancelled while they ran.
    :param deadly_parts: parts of prompts on which the server crashes after the
        first event.
    :param deadly_bodies: bodies of requests on which it crashes as it runs
        them.
    :param stop_accepting: closes the listener of the server.
    :param has_crashed: whether the server has crashed.
    :param limit_per_second: request rate that its answers name, if any.
    :param is_leaving: whether its answers say that it leaves.
    :param retry_after: pause that its rejections ask for, if any.
    """

    instance: str
    behaviour: ServerBehaviour = ServerBehaviour.SERVE
    events_count: int = 4
    event_seconds: float = 0.0
    executed_ids: list[str] = field(default_factory=list)
    received_headers: list[dict[str, str]] = field(default_factory=list)
    cancelled_ids: list[str] = field(default_factory=list)
    deadly_parts: frozenset[str] = frozenset()
    deadly_bodies: frozenset[bytes] = frozenset()
    stop_accepting: Callable[[], Awaitable[None]] | None = None
    has_crashed: bool = False
    limit_per_second: float | None = None
    is_leaving: bool = False
    retry_after: str | None = None

    @property
    def received_count(self) -> int:
        """Return the number of requests that have reached the server."""
        return len(self.received_headers)

    async def __call__(self, exchange: ServerExchange) -> None:
        """Respond to one request."""
        headers = {name.lower(): text for name, text in exchange.head.headers}
        self.received_headers.append(headers)
        body = await exchange.read_body(_MAX_BODY_BYTES)
        request_id = headers['dotterelhatch-request-id']
        echoed: tuple[tuple[str, str], ...] = (
            (f'{_PREFIX}Request-Id', request_id),
            (f'{_PREFIX}Response-Stamp', f'stamp-{self.instance}'),
        )
        if self.limit_per_second is not None:
            limit = f'{self.limit_per_second:g}'
            echoed = (*echoed, ('Server-Limit', limit))
        if self.is_leaving:
            echoed = (*echoed, ('Server-Leaving', '1'))
        if self.behaviour is ServerBehaviour.SHED:
            await exchange.send(Response(503, self._rejection(echoed), b''))
        elif self.behaviour is ServerBehaviour.SHED_ENDLESSLY:
            await exchange.start_stream(
                503, (echoed[0], (f'{_PREFIX}Not-Executed', '1'))
            )
            await _send_endlessly(exchange)
        elif self.behaviour is ServerBehaviour.OTHER_INSTANCE:
            await exchange.send(Response(421, echoed[:1], b''))
        else:
            self.executed_ids.append(request_id)
            if body in self.deadly_bodies:
                await self._crash(exchange)
                return
            await self._execute(exchange, headers, echoed)

    def _rejection(
        self, echoed: tuple[tuple[str, str], ...]
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers of a rejection: the echoed ones but the stamp."""
        headers = (echoed[0], *echoed[2:], (f'{_PREFIX}Not-Executed', '1'))
        if self.retry_after is None:
            return headers
        return (*headers, ('Retry-After', self.retry_after))

    async def _execute(
        self,
        exchange: ServerExchange,
        headers: dict[str, str],
        echoed: tuple[tuple[str, str], ...],
    ) -> None:
        if self.behaviour is ServerBehaviour.SILENT:
            await self._wait_cancelled(exchange, headers)
        elif self.behaviour is ServerBehaviour.BREAK_BEFORE_ANSWER:
            exchange.abort()
        elif self.behaviour is ServerBehaviour.FAIL:
            await exchange.send(Response(500, echoed, b'failed'))
        elif 'dotterelhatch-token-counts' in headers:
            await self._send_stream(exchange, headers, echoed)
        else:
            body = f'answer of {self.instance}'.encode()
            await exchange.send(Response(200, echoed, body))

    async def _wait_cancelled(
        self, exchange: ServerExchange, headers: dict[str, str]
    ) -> None:
        await exchange.wait_disconnect()
        self.cancelled_ids.append(headers['dotterelhatch-request-id'])
        exchange.abort()

    async def _send_stream(
        self,
        exchange: ServerExchange,
        headers: dict[str, str],
        echoed: tuple[tuple[str, str], ...],
    ) -> None:
        first = int(headers.get('last-event-id', '0')) + 1
        await exchange.start_stream(
            200, (*echoed, ('Content-Type', 'text/event-stream'))
        )
        for number in range(first, self.events_count + 1):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            breaks_off = self.behaviour is ServerBehaviour.BREAK_AFTER_EVENTS
            if breaks_off and number > self.events_count // 2:
                await exchange.send_chunk(event[:5])
                exchange.abort()
                return
            await exchange.send_chunk(event)
            if self.deadly_parts & _part_ids(headers):
                await self._crash(exchange)
                return
            if self.behaviour is ServerBehaviour.ENDLESS_EVENT:
                await _send_endlessly(exchange)
            await curio.sleep(self.event_seconds)
        await exchange.end_stream()

    async def _crash(self, exchange: ServerExchange) -> None:
        self.has_crashed = True
        if self.stop_accepting is not None:
            await self.stop_accepting()
        exchange.abort()


def _part_ids(headers: dict[str, str]) -> set[str]:
    prefix = headers.get('dotterelhatch-prompt-prefix', '')
    return {entry.partition(':')[0] for entry in prefix.split(',')}


async def _send_endlessly(exchange: ServerExchange) -> None:
    """Send parts of a line until the router closes the connection."""
    while True:
        await exchange.send_chunk(b'x' * 65_536)
