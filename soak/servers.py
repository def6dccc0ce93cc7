"""Simulated servers whose responses identify the request they answer."""

import random
import time
from dataclasses import dataclass, field

import curio

from dotterelhatch.net.http import Response, ServerExchange

__all__ = (
    'Execution',
    'ExecutionLog',
    'SoakServer',
    'TENANT_HEADER',
    'expected_body',
    'expected_stream',
)

_EVENTS_COUNT = 6
_MAX_BODY_BYTES = 1_000_000
_PREFIX = 'Dotterelhatch-'
TENANT_HEADER = f'{_PREFIX}Tenant'
_EVENT_SECONDS = 0.03
_MAX_WORK_SECONDS = 0.08


def expected_body(request_id: str) -> bytes:
    """Return the body of the plain response to a request."""
    return f'answer to {request_id}'.encode()


def expected_stream(request_id: str, first: int = 1) -> bytes:
    """Return the streamed response to a request, from an event number on."""
    return b''.join(
        _event(request_id, number) for number in range(first, _EVENTS_COUNT + 1)
    )


def _event(request_id: str, number: int) -> bytes:
    return f'id: {number}\ndata: {request_id} {number}\n\n'.encode()


@dataclass(frozen=True, slots=True)
class Execution:
    """The start of a request at a server."""

    started_seconds: float
    instance: str


@dataclass
class ExecutionLog:
    """Executions at all servers.

    :param executions: by request id.
    :param tenants: for which each request was executed last.
    """

    executions: dict[str, list[Execution]] = field(default_factory=dict)
    tenants: dict[str, str | None] = field(default_factory=dict)

    def record(
        self, request_id: str, instance: str, tenant: str | None
    ) -> None:
        """Record that a server starts to execute a request."""
        self.tenants[request_id] = tenant
        execution = Execution(time.monotonic(), instance)
        self.executions.setdefault(request_id, []).append(execution)


@dataclass
class SoakServer:
    """One simulated server.

    :param instance: its id.
    :param failure_ratio: share of the requests that fail after they were
        executed: half with an error status, half with a truncated response.
    :param shed_ratio: share of the requests that are rejected without being
        executed.
    """

    instance: str
    execution_log: ExecutionLog
    rng: random.Random
    failure_ratio: float = 0.0
    shed_ratio: float = 0.0

    async def __call__(self, exchange: ServerExchange) -> None:
        """Respond to one request."""
        headers = {name.lower(): text for name, text in exchange.head.headers}
        await exchange.read_body(_MAX_BODY_BYTES)
        request_id = headers['dotterelhatch-request-id']
        echoed = ((f'{_PREFIX}Request-Id', request_id),)
        if headers.get('dotterelhatch-expect-instance') != self.instance:
            await exchange.send(Response(421, echoed, b''))
            return
        if self.rng.random() < self.shed_ratio:
            rejection = (*echoed, (f'{_PREFIX}Not-Executed', '1'))
            await exchange.send(Response(503, rejection, b''))
            return
        self.execution_log.record(
            request_id, self.instance, headers.get(TENANT_HEADER.lower())
        )
        echoed += ((f'{_PREFIX}Response-Stamp', f'stamp-{self.instance}'),)
        await curio.sleep(self.rng.uniform(0, _MAX_WORK_SECONDS))
        is_failing = self.rng.random() < self.failure_ratio
        if is_failing and self.rng.choice((True, False)):
            await exchange.send(Response(500, echoed, b'failed'))
        elif 'dotterelhatch-token-counts' in headers:
            await self._send_stream(
                exchange, headers, echoed, is_truncated=is_failing
            )
        else:
            await self._send_body(
                exchange, request_id, echoed, is_truncated=is_failing
            )

    async def _send_body(
        self,
        exchange: ServerExchange,
        request_id: str,
        echoed: tuple[tuple[str, str], ...],
        *,
        is_truncated: bool,
    ) -> None:
        body = expected_body(request_id)
        if not is_truncated:
            await exchange.send(Response(200, echoed, body))
            return
        length = (('Content-Length', str(len(body))),)
        await exchange.start_stream(200, echoed + length, body[:-3])
        exchange.abort()

    async def _send_stream(
        self,
        exchange: ServerExchange,
        headers: dict[str, str],
        echoed: tuple[tuple[str, str], ...],
        *,
        is_truncated: bool,
    ) -> None:
        request_id = headers['dotterelhatch-request-id']
        first = int(headers.get('last-event-id') or '0') + 1
        last = self.rng.randint(first, _EVENTS_COUNT) if is_truncated else None
        await exchange.start_stream(
            200, (*echoed, ('Content-Type', 'text/event-stream'))
        )
        for number in range(first, _EVENTS_COUNT + 1):
            event = _event(request_id, number)
            if number == last:
                await exchange.send_chunk(event[:7])
                exchange.abort()
                return
            await exchange.send_chunk(event)
            await curio.sleep(_EVENT_SECONDS)
        await exchange.end_stream()
