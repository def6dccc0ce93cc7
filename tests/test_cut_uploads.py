"""Responses to long uploads that a server cuts off, and malformed statuses."""

import re
import socket
from collections.abc import Awaitable, Callable

import curio
import pytest

from dotterelhatch.core.routes import RequestLimits, RouteKind
from dotterelhatch.net.http import HttpError, Response
from dotterelhatch.net.stream import SocketStream, bind_listener
from tests.gateway_helpers import (
    PLAIN,
    GatewayFixture,
    open_gateway,
    route,
    routing_table,
    run_async,
    target,
)

# More than the buffers of both sockets take.
UPLOAD = b'u' * 12_000_000
PART = b'a part of the answer'
Respond = Callable[[SocketStream, bytes], Awaitable[None]]


async def _with_server(
    respond: Respond, check: Callable[[GatewayFixture], Awaitable[None]]
) -> None:
    """Run a check with a server that reads a head and then responds."""
    listener = bind_listener('127.0.0.1:0')
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)

    async def serve_one(stream: SocketStream) -> None:
        head = b''
        while b'\r\n\r\n' not in head:
            head += await stream.read()
        found = re.search(rb'Request-Id: (\S+)', head, re.IGNORECASE)
        assert found is not None
        await respond(stream, found.group(1))

    async def serve() -> None:
        accepting = curio.io.Socket(listener)
        while True:
            accepted, _ = await accepting.accept()
            stream = SocketStream(accepted._socket)
            await curio.spawn(serve_one, stream, daemon=True)

    server = await curio.spawn(serve, daemon=True)
    table = routing_table(
        routes=(route('/booking/', RouteKind.NON_IDEMPOTENT, PLAIN),),
        limits=RequestLimits(max_body_bytes=2 * len(UPLOAD)),
    )
    async with open_gateway(table=table) as fixture:
        entry = target(PLAIN, 'raw', listener.getsockname()[1])
        fixture.gateway.state.apply_targets([entry], None)
        await check(fixture)
    await server.cancel()
    listener.close()


async def _call(fixture: GatewayFixture, body: bytes) -> Response | None:
    """Return the response, None if the caller sees that it was cut off."""
    try:
        return await fixture.call('/booking/1', body=body)
    except HttpError:
        return None


def _head(request_id: bytes, status: bytes = b'200 OK') -> bytes:
    return (
        b'HTTP/1.1 %s\r\nDotterelhatch-Response-Stamp: s\r\n'
        b'Dotterelhatch-Request-Id: %s\r\n\r\n' % (status, request_id)
    )


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('delay_seconds', [None, 0, 0.02])
@pytest.mark.parametrize('read_bytes', [65_536, 500_000, 3_000_000])
def test_a_part_of_an_answer_to_an_upload_does_not_look_complete(
    *, is_reset: bool, delay_seconds: float | None, read_bytes: int
) -> None:
    """Guards against a part of a body that its caller takes for the whole.

    The server answers an upload at once, without a length, sends a part and
    ends the connection while the upload is still being written. The failed
    write shuts the connection down, which looks to the reader of the response
    like its regular end.
    """

    async def respond(stream: SocketStream, request_id: bytes) -> None:
        received_bytes = 0
        while received_bytes < read_bytes:
            received_bytes += len(await stream.read())
        await stream.write(_head(request_id) + PART)
        if delay_seconds is not None:
            await curio.sleep(delay_seconds)
        if is_reset:
            stream.reset_on_close()
        stream.close()

    async def check(fixture: GatewayFixture) -> None:
        response = await _call(fixture, UPLOAD)
        assert response is None or response.status == 502

    run_async(_with_server)(respond, check)


def test_a_whole_answer_to_an_upload_that_is_not_read_is_delivered() -> None:
    """Guards against an answer with a length that is lost with the upload."""

    async def respond(stream: SocketStream, request_id: bytes) -> None:
        head = _head(request_id)[:-2] + b'Content-Length: %d\r\n\r\n'
        await stream.write(head % len(PART) + PART)
        await curio.sleep(0.2)
        stream.close()

    async def check(fixture: GatewayFixture) -> None:
        response = await _call(fixture, UPLOAD)
        assert response is not None
        assert (response.status, response.body) == (200, PART)

    run_async(_with_server)(respond, check)


@pytest.mark.parametrize('status', [b'000 X', b'000', b'099 X'])
def test_a_malformed_status_is_no_response(status: bytes) -> None:
    """Guards against a status that callers can't interpret.

    The server sends one below 100.
    """

    async def respond(stream: SocketStream, request_id: bytes) -> None:
        head = _head(request_id, status)[:-2] + b'Content-Length: %d\r\n\r\n'
        await stream.write(head % len(PART) + PART)

    async def check(fixture: GatewayFixture) -> None:
        response = await _call(fixture, b'{}')
        assert response is None or response.status == 502

    run_async(_with_server)(respond, check)
