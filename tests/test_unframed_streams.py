"""Streams without a length, which end with their connection."""

import contextlib
import re
from collections.abc import AsyncIterator

import curio
import pytest

from dotterelhatch.net.http import ResponseLostError
from dotterelhatch.net.stream import SocketStream, bind_listener
from standins.server import ServerStandIn
from tests.gateway_helpers import (
    MODEL,
    GatewayFixture,
    open_gateway,
    run_async,
    target,
)

EVENTS = b''.join(
    b'id: %d\ndata: token %d\n\n' % (number, number) for number in range(1, 5)
)


@contextlib.asynccontextmanager
async def _open_with_raw_server(
    body: bytes, *others: ServerStandIn
) -> AsyncIterator[GatewayFixture]:
    """Open a gateway with a server that sends a body without a length."""
    listener = bind_listener('127.0.0.1:0')

    async def respond(stream: SocketStream) -> None:
        request = await stream.read()
        request_id = re.search(rb'Request-Id: (\S+)', request, re.IGNORECASE)
        assert request_id is not None
        await stream.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'Dotterelhatch-Request-Id: %s\r\n\r\n%s'
            % (request_id.group(1), body)
        )
        await curio.sleep(0.05)
        stream.close()

    async def serve() -> None:
        accepting = curio.io.Socket(listener)
        while True:
            accepted, _ = await accepting.accept()
            stream = SocketStream(accepted._socket)
            await curio.spawn(respond, stream, daemon=True)

    server = await curio.spawn(serve, daemon=True)
    async with open_gateway(*((MODEL, one) for one in others)) as fixture:
        state = fixture.gateway.state
        entry = target(MODEL, 'raw', listener.getsockname()[1])
        state.apply_targets([entry, *state.registry.ready(MODEL)], None)
        for other in others:
            # The other server is used only after the raw one has failed.
            state.health.on_timeout(other.instance, state.clock())
        yield fixture
    await server.cancel()
    listener.close()


@run_async
async def test_stream_that_ends_with_its_connection_is_complete() -> None:
    """Guards against failing a whole stream because it has no length."""
    for path in ('/draft/1', '/advice/1'):
        async with _open_with_raw_server(EVENTS) as fixture:
            response = await fixture.stream(path)
        assert response.body == EVENTS


@run_async
async def test_stream_that_ends_inside_an_event_does_not_look_complete() -> (
    None
):
    """Guards against a broken stream that the caller takes for a whole one.

    The server crashes inside an event, and its connection ends without a reset.
    """
    async with _open_with_raw_server(EVENTS[:-3]) as fixture:
        with pytest.raises(ResponseLostError):
            await fixture.stream('/draft/1')


@run_async
async def test_stream_that_ends_inside_an_event_is_resumed_elsewhere() -> None:
    """Guards against a resumable stream without its last events."""
    other = ServerStandIn('i-1')
    async with _open_with_raw_server(EVENTS[:-3], other) as fixture:
        response = await fixture.stream('/advice/1')
    assert response.body == EVENTS
    assert other.received_headers[0]['last-event-id'] == '3'
