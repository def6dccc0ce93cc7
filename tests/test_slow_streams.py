"""Slow streams, and streams and bodies that stall with a byte now and then."""

import curio
import pytest

from dotterelhatch.core.routes import RouteKind
from dotterelhatch.net.http import HttpError, ServerExchange
from dotterelhatch.net.stream import SocketStream
from standins.server import ServerStandIn
from tests.gateway_helpers import (
    HOST,
    KEY,
    MODEL,
    PLAIN,
    open_gateway,
    route,
    routing_table,
    run_async,
)

OBJECTIVE_SECONDS = 0.05
LIMIT_SECONDS = 1.5
SLOW_EVENT_SECONDS = 0.25
_HEADERS = (
    ('Content-Type', 'text/event-stream'),
    ('Dotterelhatch-Response-Stamp', 'stamp'),
)


class TricklingServer(ServerStandIn):
    """Sends one event, and then a byte of a comment now and then."""

    ended_count = 0

    async def __call__(self, exchange: ServerExchange) -> None:
        """Answer until the router closes the connection."""
        await exchange.read_body(1_000_000)
        request_id = exchange.head.header('Dotterelhatch-Request-Id') or ''
        headers = (*_HEADERS, ('Dotterelhatch-Request-Id', request_id))
        await exchange.start_stream(200, headers, b'id: 1\ndata: token\n\n')
        try:
            while True:
                await curio.sleep(0.02)
                await exchange.send_chunk(b':')
        finally:
            self.ended_count += 1


def _table(
    *, is_resumable: bool, limit_seconds: float = LIMIT_SECONDS
) -> dict[str, tuple]:
    stream = route(
        '/draft/',
        RouteKind.STREAMING,
        MODEL,
        timeout_seconds=limit_seconds,
        objective_seconds=OBJECTIVE_SECONDS,
        is_resumable=is_resumable,
    )
    return {'routes': (stream,)}


@pytest.mark.parametrize('is_resumable', [True, False])
def test_a_slow_stream_is_not_cut(is_resumable: bool) -> None:
    """Guards against a time limit between events that sound streams exceed.

    Each event takes five times the objective of the route.
    """

    @run_async
    async def check() -> None:
        server = ServerStandIn(
            'm-1', events_count=4, event_seconds=SLOW_EVENT_SECONDS
        )
        table = routing_table(
            **_table(is_resumable=is_resumable, limit_seconds=20)
        )
        async with open_gateway((MODEL, server), table=table) as fixture:
            response = await fixture.stream('/draft/1')
        assert response.status == 200
        assert response.body.count(b'data:') == 4

    check()


@pytest.mark.parametrize('is_resumable', [True, False])
def test_a_stalled_stream_ends_at_the_time_limit(is_resumable: bool) -> None:
    """Guards against a stream that a byte now and then keeps open for good.

    It must not look complete for its caller, and the target is told to stop.
    """

    @run_async
    async def check() -> None:
        server = TricklingServer('m-1')
        table = routing_table(**_table(is_resumable=is_resumable))
        async with open_gateway((MODEL, server), table=table) as fixture:
            started_seconds = await curio.clock()
            with pytest.raises(HttpError):
                await fixture.stream('/draft/1')
            assert await curio.clock() - started_seconds >= LIMIT_SECONDS * 0.9
            while not server.ended_count:
                await curio.sleep(0.01)

    check()


@run_async
async def test_a_body_that_stalls_ends_at_the_time_limit() -> None:
    """Guards against a caller that holds a request with a byte now and then.

    The target has got nothing, so that the caller may be told so in time.
    """
    rule = route(
        '/booking/',
        RouteKind.NON_IDEMPOTENT,
        PLAIN,
        timeout_seconds=LIMIT_SECONDS,
    )
    server = ServerStandIn('p-1')
    table = routing_table(routes=(rule,))
    async with open_gateway((PLAIN, server), table=table) as fixture:
        address = fixture.gateway.settings.caller_address
        stream = await SocketStream.connect(address, 5)
        head = (
            f'POST /booking/1 HTTP/1.1\r\nHost: {HOST}\r\n'
            'Dotterelhatch-Request-Id: r1\r\nDotterelhatch-Deadline-Ms: 60000'
            f'\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 1000\r\n\r\n'
        )
        await stream.write(head.encode())

        async def trickle() -> None:
            while True:
                await stream.write(b'x')
                await curio.sleep(0.05)

        sender = await curio.spawn(trickle, daemon=True)
        answer = await curio.timeout_after(10, stream.read)
        await sender.cancel()
        stream.close()
    assert answer.startswith(b'HTTP/1.1 504')
    assert not server.executed_ids
