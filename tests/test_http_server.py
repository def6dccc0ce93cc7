"""Tests of the HTTP server over loopback sockets, in one curio kernel."""

import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.ids import OrganisationId
from dotterelhatch.net.http import (
    ConnectionCounts,
    DisconnectError,
    HttpLimits,
    HttpServer,
    NotSentError,
    Response,
    ResponseLostError,
    ServerExchange,
    end_to_end_headers,
    fetch,
)
from dotterelhatch.net.stream import (
    SocketStream,
    bind_listener,
    split_address,
)

LIMITS = HttpLimits(max_header_bytes=2048)
GET = b'GET %s HTTP/1.1\r\nHost: h\r\n\r\n'
LAST_GET = b'GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'


async def echo(exchange: ServerExchange) -> None:
    """Respond with the method, the path and the body."""
    body = await exchange.read_body(1000)
    head = f'{exchange.head.method} {exchange.head.path} '.encode()
    await exchange.send(Response(200, (), head + body))


def run_with_server(
    test: Callable[[HttpServer, str], Awaitable[None]],
    handler: Callable[[ServerExchange], Awaitable[None]] = echo,
    limits: HttpLimits = LIMITS,
) -> None:
    """Run a test against a server in a new curio kernel."""

    async def main() -> None:
        async with HttpServer('127.0.0.1:0', handler, limits) as server:
            await test(server, f'127.0.0.1:{server.port}')

    curio.run(main)


async def open_connection(address: str, content: bytes = b'') -> SocketStream:
    """Connect and send bytes."""
    stream = await SocketStream.connect(address, 10)
    await stream.write(content)
    return stream


def open_together(
    address: str, content: bytes, count: int
) -> list[SocketStream]:
    """Send a request on each of some connections before any is accepted."""
    streams = []
    for _ in range(count):
        connected = socket.create_connection(split_address(address))
        connected.sendall(content)
        streams.append(SocketStream(connected))
    return streams


async def read_all(stream: SocketStream) -> bytes:
    """Read to the end of the stream and close it."""
    content = b''
    while chunk := await stream.read():
        content += chunk
    stream.close()
    return content


async def read_until_suffix(stream: SocketStream, suffix: bytes) -> bytes:
    """Read until the received bytes end with a suffix."""
    content = b''
    while not content.endswith(suffix):
        chunk = await stream.read()
        assert chunk, content
        content += chunk
    return content


@pytest.mark.parametrize(
    ('content', 'status', 'code'),
    [
        (b'GARBAGE\r\n\r\n', 400, 'bad_request'),
        (b'\x16\x03\x01\x02\x00\x01\r\n\r\n', 400, 'bad_request'),
        (b'GET / HTTP/1.1\r\n\r\n', 400, 'bad_request'),
        (
            b'GET / HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n',
            400,
            'bad_request',
        ),
        (GET[:-2] % b'/' + b'A: ' + b'x' * 3000, 431, 'headers_too_large'),
        (b'GET /' + b'x' * 3000, 431, 'headers_too_large'),
        (b'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n', 405, 'method_not_allowed'),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n',
            413,
            'body_too_large',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'400\r\n' + b'x' * 1024,
            413,
            'body_too_large',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'zz\r\n',
            400,
            'bad_request',
        ),
    ],
)
def test_malformed_request(content: bytes, status: int, code: str) -> None:
    """A malformed request must get a problem document.

    The server must go on and serve the next connection.
    """

    async def test(server: HttpServer, address: str) -> None:
        received = await read_all(await open_connection(address, content))
        head, _, body = received.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 %d ' % status)
        assert b'application/problem+json' in head
        assert b'Connection: close' in head
        assert json.loads(body)['code'] == code
        assert (await fetch(address, 'GET', '/next')).status == 200

    run_with_server(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    """Pipelined requests must not be lost or answered in another order.

    The caller sends three requests at once, without waiting for a response.
    """

    async def test(server: HttpServer, address: str) -> None:
        post = b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz'
        last = b'GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        received = await read_all(
            await open_connection(address, GET % b'/a' + post + last)
        )
        parts = [
            received.index(part) for part in (b'GET /a', b'xyz', b'GET /c')
        ]
        assert parts == sorted(parts)
        assert received.count(b'HTTP/1.1 200') == 3

    run_with_server(test)


def test_unread_body_is_not_parsed_as_a_request() -> None:
    """The unread body of a request must not be parsed as the next request.

    The handler responds without reading the body, which has the form of a
    request.
    """
    inner = GET % b'/smuggled'

    async def handler(exchange: ServerExchange) -> None:
        await exchange.send(Response(200, (), exchange.head.path.encode()))

    async def test(server: HttpServer, address: str) -> None:
        head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
        content = head % len(inner) + inner
        stream = await open_connection(address, content + GET % b'/b')
        received = await read_until_suffix(stream, b'/b')
        assert received.count(b'HTTP/1.1 200') == 2
        stream.close()
        partial = await read_all(await open_connection(address, content[:-1]))
        assert partial.count(b'HTTP/1.1 200') == 1
        assert b'Connection: close' in partial

    run_with_server(test, handler)


def test_non_ascii_header_is_accepted() -> None:
    """Header bytes above 127 are legal and must not fail the request.

    h11 encodes text as ASCII only, so the server encodes headers itself.
    """

    async def handler(exchange: ServerExchange) -> None:
        await exchange.send(Response(200, exchange.head.headers, b''))

    async def test(server: HttpServer, address: str) -> None:
        sent = (('X-Name', 'Çağ é'), ('X-Latin', 'Ça é'))
        response = await fetch(address, 'GET', '/', sent)
        name = response.header('X-Name') or ''
        assert name.encode('latin-1').decode() == 'Çağ é'
        assert response.header('X-Latin') == 'Ça é'

    run_with_server(test, handler)


@pytest.mark.parametrize('sent', [b'GET / HT', b'GET / HTTP/1.1\r\n'])
def test_head_that_never_ends(sent: bytes) -> None:
    """An incomplete request head must not occupy a connection for ever.

    The caller sends a part of the head and then nothing more.
    """

    async def test(server: HttpServer, address: str) -> None:
        received = await read_all(await open_connection(address, sent))
        assert received.startswith(b'HTTP/1.1 400 ')

    run_with_server(test, echo, HttpLimits(header_timeout_seconds=0.05))


def test_head_response_has_length_but_no_body() -> None:
    """A response to HEAD must have no body.

    The caller would parse it as the start of the next response.
    """

    async def test(server: HttpServer, address: str) -> None:
        content = GET.replace(b'GET', b'HEAD') % b'/a' + GET % b'/b'
        stream = await open_connection(address, content)
        received = await read_until_suffix(stream, b'GET /b ')
        assert received.startswith(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n')
        assert b'HEAD /a' not in received
        stream.close()

    run_with_server(test)


def test_continue_is_sent_before_the_body() -> None:
    """A caller that expects 100 Continue must get it before its body is read.

    Otherwise both sides would wait for each other.
    """

    async def test(server: HttpServer, address: str) -> None:
        head = b'POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n'
        stream = await open_connection(
            address, head + b'Content-Length: 2\r\n\r\n'
        )
        await read_until_suffix(stream, b'100 Continue\r\n\r\n')
        await stream.write(b'ok')
        await read_until_suffix(stream, b'POST / ok')
        stream.close()

    run_with_server(test)


def test_disconnect_is_detected_and_pipelined_bytes_are_kept() -> None:
    """Monitoring for a disconnect must not lose a pipelined request.

    The monitor reads from the socket and so may receive the next request.
    """
    is_waiting = curio.Event()
    disconnected_clients: list[str] = []

    async def handler(exchange: ServerExchange) -> None:
        monitor = await curio.spawn(exchange.wait_disconnect)
        await is_waiting.set()
        if exchange.head.path == '/wait':
            await monitor.join()
            disconnected_clients.append(exchange.client)
            raise DisconnectError('the caller disconnected')
        while not exchange._connection.buffered:
            await curio.sleep(0)
        await monitor.cancel()
        await echo(exchange)

    async def test(server: HttpServer, address: str) -> None:
        stream = await open_connection(address, GET % b'/a')
        await is_waiting.wait()
        await stream.write(GET % b'/wait')
        await read_until_suffix(stream, b'GET /a ')
        while server.exchanges_count != 1:
            await curio.sleep(0)
        assert not disconnected_clients
        stream.close()
        await server.drain()
        assert len(disconnected_clients) == 1

    run_with_server(test, handler)


@pytest.mark.parametrize('path', ['/raise', '/silent', '/known'])
def test_handler_without_response(path: str) -> None:
    """A handler that sends no response must not leave the caller waiting.

    The handler raises an error, or returns without a response.
    """

    async def handler(exchange: ServerExchange) -> None:
        if path == '/raise':
            raise ZeroDivisionError
        if path == '/known':
            raise DotterelhatchError(ErrorKind.QUEUE_FULL, 'the queue is full')

    async def test(server: HttpServer, address: str) -> None:
        response = await fetch(address, 'GET', path)
        known = path == '/known'
        assert response.status == (429 if known else 500)
        assert response.header('Retry-After') == ('2' if known else None)

    run_with_server(test, handler)


@pytest.mark.parametrize('version', [b'1.1', b'1.0'])
@pytest.mark.parametrize('raises', [True, False])
def test_failed_stream_is_not_complete_for_the_caller(
    version: bytes, raises: bool
) -> None:
    """An unfinished stream must not end like a complete one.

    In HTTP/1.1 the last chunk is missing. In HTTP/1.0 the end of the
    connection ends the body, so the connection must be reset.
    """

    async def handler(exchange: ServerExchange) -> None:
        await exchange.start_stream(200, ())
        await exchange.send_chunk(b'part')
        if raises:
            raise DotterelhatchError(
                ErrorKind.TARGET_FAILED, 'incomplete stream'
            )

    async def test(server: HttpServer, address: str) -> None:
        content = (GET % b'/').replace(b'1.1', version)
        stream = await open_connection(address, content)
        if version == b'1.0':
            with pytest.raises(ConnectionResetError):
                await read_all(stream)
            stream.close()
        else:
            received = await read_all(stream)
            assert received.endswith(b'part\r\n')

    run_with_server(test, handler)


def test_caller_that_never_reads_is_disconnected() -> None:
    """A caller that does not read must not block its exchange for ever.

    The handler sends until the socket buffer is full and then waits for space
    in it.
    """

    async def handler(exchange: ServerExchange) -> None:
        await exchange.start_stream(200, ())
        while True:
            await exchange.send_chunk(bytes(65536))

    async def test(server: HttpServer, address: str) -> None:
        stream = await open_connection(address, GET % b'/')
        await stream.wait_readable()
        await server.drain()
        assert server.exchanges_count == 0
        stream.close()

    run_with_server(test, handler, HttpLimits(write_timeout_seconds=0.05))


def test_stop_finishes_exchanges_and_closes_idle_connections() -> None:
    """A planned stop must not abort requests in progress.

    One connection is idle and another has a request in progress when the server
    stops.
    """
    entered, released = curio.Event(), curio.Event()

    async def handler(exchange: ServerExchange) -> None:
        if exchange.head.path == '/slow':
            await entered.set()
            await released.wait()
        await echo(exchange)

    async def test(server: HttpServer, address: str) -> None:
        idle = await open_connection(address, GET % b'/a')
        await read_until_suffix(idle, b'GET /a ')
        slow = await open_connection(address, GET % b'/slow')
        await entered.wait()
        await server.stop_accepting()
        assert await idle.read() == b''
        with pytest.raises(NotSentError):
            await fetch(address, 'GET', '/')
        await released.set()
        await server.drain()
        received = await read_all(slow)
        assert b'Connection: close' in received
        assert received.endswith(b'GET /slow ')
        idle.close()

    run_with_server(test, handler)


@pytest.mark.parametrize('reused', [True, False])
def test_request_that_arrives_with_the_stop_is_served(reused: bool) -> None:
    """A request that was sent before the listener closed must be served.

    It may be in the accept queue or on an idle connection.
    """

    async def test(server: HttpServer, address: str) -> None:
        if reused:
            stream = await open_connection(address, GET % b'/first')
            await read_until_suffix(stream, b'GET /first ')
            while not server._idle.tasks():
                await curio.sleep(0)
            await stream.write(GET % b'/last')
        else:
            stream = await open_connection(address, GET % b'/last')
        await server.stop_accepting()
        assert (await read_all(stream)).endswith(b'GET /last ')

    run_with_server(test)


@pytest.mark.parametrize('reused', [True, False])
def test_drain_waits_for_requests_that_arrived_with_the_stop(
    reused: bool,
) -> None:
    """Guards against a stop that ends before an accepted request is read.

    The task of its connection has not run since, so that no exchange is in
    progress yet. The process ends after the drain.
    """

    async def forward(exchange: ServerExchange) -> None:
        await curio.sleep(0.05)
        await echo(exchange)

    async def main() -> None:
        async with HttpServer('127.0.0.1:0', forward, LIMITS) as server:
            stream = await open_connection(f'127.0.0.1:{server.port}')
            if reused:
                await stream.write(GET % b'/first')
                await read_until_suffix(stream, b'GET /first ')
                while not server._idle.tasks():
                    await curio.sleep(0)
            await stream.write(GET % b'/last')
            await server.stop_accepting()
            await server.drain()
        assert (await read_all(stream)).endswith(b'GET /last ')

    curio.run(main)


def test_a_connection_opened_before_the_stop_may_send_its_request() -> None:
    """Guards against a cut between a handshake and the request after it.

    The caller has connected before the stop, and its request is on the way.
    """

    async def main() -> None:
        async with HttpServer('127.0.0.1:0', echo, LIMITS) as server:
            stream = await open_connection(f'127.0.0.1:{server.port}')
            while not server._idle.tasks():
                await curio.sleep(0)
            await server.stop_accepting()
            drain = await curio.spawn(server.drain)
            await curio.sleep(0)
            await stream.write(GET % b'/late')
            await drain.join()
        content = await read_all(stream)
        assert content.endswith(b'GET /late ')
        assert b'Connection: close' in content

    curio.run(main)


def test_a_connection_without_a_request_does_not_hold_up_a_stop() -> None:
    """A caller that only connects delays the end of the process briefly."""

    async def main() -> None:
        async with HttpServer('127.0.0.1:0', echo, LIMITS) as server:
            stream = await open_connection(f'127.0.0.1:{server.port}')
            while not server._idle.tasks():
                await curio.sleep(0)
            await server.stop_accepting()
            await curio.timeout_after(5, server.drain)
        assert not await read_all(stream)

    curio.run(main)


def test_idle_connection_with_a_request_is_not_closed() -> None:
    """Closing an idle connection must not lose a request that just arrived.

    At the connection limit the oldest idle connection is closed; a request may
    have arrived on it that the server has not read yet.
    """

    async def test(server: HttpServer, address: str) -> None:
        stream = await open_connection(address, GET % b'/first')
        await read_until_suffix(stream, b'GET /first ')
        while not server._idle.tasks():
            await curio.sleep(0)
        await stream.write(GET % b'/last')
        assert await server._close_oldest_idle()
        assert (await read_all(stream)).endswith(b'GET /last ')

    run_with_server(test)


def test_response_to_a_large_rejected_body_arrives() -> None:
    """The response to a rejected large body must reach the caller.

    Closing a socket with unread bytes resets the connection, and the caller
    may then lose the response.
    """
    head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n'

    async def test(server: HttpServer, address: str) -> None:
        stream = await open_connection(address, head + bytes(2_000_000))
        assert (await read_all(stream)).startswith(b'HTTP/1.1 413 ')

    run_with_server(test)


def test_pipelined_bytes_are_bounded() -> None:
    """Bytes sent during an exchange must not use unlimited memory.

    The server reads on during an exchange, as it could not notice a disconnect
    otherwise.
    """
    buffered_bytes: list[int] = []

    async def handler(exchange: ServerExchange) -> None:
        await exchange.wait_disconnect()
        buffered_bytes.append(exchange._connection._pipelined_bytes)
        raise DisconnectError('the caller disconnected')

    async def test(server: HttpServer, address: str) -> None:
        stream = await open_connection(address, GET % b'/')
        while not server.exchanges_count:
            await curio.sleep(0)
        flood = await curio.spawn(stream.write, bytes(50_000_000))
        while not server._connections or flood.state != 'WRITE_WAIT':
            await curio.sleep(0)
        stream.close()
        await server.drain()
        assert buffered_bytes[0] <= 2 * 65536
        with pytest.raises(curio.TaskError):
            await flood.join()

    run_with_server(test, handler)


def test_connections_above_the_limit() -> None:
    """At the limit an idle connection must be closed for a new one.

    Without an idle connection the new one gets status 503.
    """
    released = curio.Event()

    async def handler(exchange: ServerExchange) -> None:
        await released.wait()
        await echo(exchange)

    async def test(server: HttpServer, address: str) -> None:
        idle = await open_connection(address)
        while not server.connections_count:
            await curio.sleep(0)
        busy = await open_connection(address, GET % b'/busy')
        assert await idle.read() == b''
        while not server.exchanges_count:
            await curio.sleep(0)
        rejected = await fetch(address, 'GET', '/refused')
        assert rejected.status == 503
        await released.set()
        await read_until_suffix(busy, b'GET /busy ')
        idle.close()
        busy.close()

    run_with_server(test, handler, HttpLimits(max_connections_count=1))


def test_connections_at_the_limit_are_counted() -> None:
    """Guards against connections that no count shows.

    A saturated router closes connections before it knows their requests.
    """

    async def test(server: HttpServer, address: str) -> None:
        streams = [await open_connection(address)]
        while not server.connections_count:
            await curio.sleep(0)
        streams.append(await open_connection(address, b'GET '))
        assert await streams[0].read() == b''
        streams[0].close()
        while server.connections_count > 1:
            await curio.sleep(0)
        for _ in range(65):
            streams.append(await open_connection(address))
            while server.counts.accepted_count < len(streams):
                await curio.sleep(0)
        for stream in streams[1:]:
            stream.close()
        assert server.counts == ConnectionCounts(
            accepted_count=67,
            closed_unread_count=1,
            rejected_count=64,
            closed_idle_count=1,
        )

    run_with_server(test, limits=HttpLimits(max_connections_count=1))


def test_hop_by_hop_headers_are_dropped() -> None:
    """Headers of one connection must not be relayed to another.

    They are the hop-by-hop headers and those that ``Connection`` lists.
    """
    headers = (
        ('Connection', 'close, X-Local'),
        ('X-Local', '1'),
        ('Keep-Alive', '5'),
        ('TE', 'trailers'),
        ('Accept', '*/*'),
    )
    assert end_to_end_headers(headers) == (('Accept', '*/*'),)


@pytest.mark.parametrize(
    'response',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
        b'nonsense\r\n\r\n',
    ],
)
def test_fetch_without_a_complete_response(response: bytes) -> None:
    """A request that was sent must never be reported as not sent.

    The caller of fetch would retry it although the peer may have run it.
    """

    async def main() -> None:
        listener = bind_listener('127.0.0.1:0')
        task = await curio.spawn(peer, listener)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        with pytest.raises(ResponseLostError):
            await fetch(address, 'POST', '/', body=b'x')
        await task.join()
        listener.close()

    async def peer(listener: Any) -> None:
        accepted, _ = await curio.io.Socket(listener).accept()
        stream = SocketStream(accepted._socket)
        await read_until_suffix(stream, b'\r\n\r\nx')
        await stream.write(response)
        stream.close()

    curio.run(main)


def test_content_length_with_chunked_body_is_rejected() -> None:
    """Guards against request smuggling.

    With both Content-Length and Transfer-Encoding two parsers may disagree on
    the end of the request.
    """
    handled: list[str] = []

    async def handler(exchange: ServerExchange) -> None:
        handled.append(exchange.head.path)
        await echo(exchange)

    async def test(server: HttpServer, address: str) -> None:
        stream = await open_connection(
            address,
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
            b'GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n',
        )
        received = await read_all(stream)
        assert received.startswith(b'HTTP/1.1 400 ')
        assert received.count(b'HTTP/1.1') == 1

    run_with_server(test, handler)
    assert not handled


def test_malformed_request_line_detail() -> None:
    """Guards against the repr of Python objects in error details.

    h11 appends the repr of the malformed bytes to its message.
    """

    async def test(server: HttpServer, address: str) -> None:
        received = await read_all(
            await open_connection(address, b'GE(T / HTTP/1.1\r\n\r\n')
        )
        document = json.loads(received.partition(b'\r\n\r\n')[2])
        assert document['detail'] == 'illegal request line'

    run_with_server(test)


class BlockingHandler:
    """Takes processor time for each request of a flood, on a virtual clock."""

    def __init__(self) -> None:
        """Start without requests."""
        self.paths: list[str] = []
        self.unread_count = 0
        self._now_seconds = 100.0

    def clock(self) -> float:
        """Return the virtual time."""
        return self._now_seconds

    async def __call__(self, exchange: ServerExchange) -> None:
        """Let 60 ms pass, so that most of a flood waits for too long."""
        path = exchange.head.path
        self.paths.append(path)
        exchange.assign_flow(OrganisationId(path))
        if path.endswith('flood'):
            self._now_seconds += 0.06
        await echo(exchange)

    def identify(self, received: bytes) -> OrganisationId | None:
        """Know the organisation if it has a name of its own in the path."""
        name = received.partition(b'/of/')[2].partition(b' ')[0]
        return OrganisationId(name.decode()) if name else None

    def choose_peer(self, flow: OrganisationId | None, source: str) -> None:
        """Pass nothing on."""

    def on_passed(self, address: str, sent_bytes: int) -> None:
        """Nothing is passed on."""
        raise AssertionError(address)

    def on_rejected(self, flow: OrganisationId | None) -> None:
        """Count a request that is rejected unread."""
        if flow is not None:
            self.unread_count += 1


def run_flooded(
    test: Callable[[HttpServer, str, BlockingHandler], Awaitable[None]],
) -> None:
    """Run a test against a server that reads slowly."""
    handler = BlockingHandler()

    async def main() -> None:
        server = HttpServer(
            '127.0.0.1:0',
            handler,
            LIMITS,
            clock=handler.clock,
            is_gated=True,
            intake=handler,
        )
        async with server:
            await test(server, f'127.0.0.1:{server.port}', handler)

    curio.run(main)


def rejected(responses: list[bytes]) -> list[bytes]:
    """Return the rejections among responses that are all complete."""
    for response in responses:
        assert response.startswith((b'HTTP/1.1 200', b'HTTP/1.1 503'))
    return [one for one in responses if one.startswith(b'HTTP/1.1 503')]


def test_a_flood_of_connections_is_rejected_unread() -> None:
    """Guards against a flood of connections that uses up the processor.

    Most of it waits for too long. Every caller has to be answered.
    """

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        streams = [
            await open_connection(address, LAST_GET % b'/flood')
            for _ in range(30)
        ]
        responses = [await read_all(stream) for stream in streams]
        refusals = rejected(responses)
        assert len(refusals) == server.counts.rejected_unread_count > 0
        assert len(handler.paths) == len(responses) - len(refusals)
        assert all(b'Retry-After: 0.' in response for response in refusals)

    run_flooded(test)


def test_a_flood_does_not_delay_an_organisation_with_a_connection() -> None:
    """Guards against requests that wait behind those of another organisation.

    The request of the small organisation comes last and is read in its turn.
    """

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        small = await open_connection(address, GET % b'/small')
        await read_until_suffix(small, b'GET /small ')
        streams = [
            await open_connection(address, LAST_GET % b'/flood')
            for _ in range(20)
        ]
        read_count = len(handler.paths)
        await small.write(LAST_GET % b'/small')
        assert b'200 OK' in await read_all(small)
        assert '/small' in handler.paths[read_count : read_count + 4]
        for stream in streams:
            await read_all(stream)

    run_flooded(test)


def test_a_flood_does_not_delay_a_new_connection_of_others() -> None:
    """Guards against new connections that compete as those of one caller.

    The small organisation connects first, so its request waits the longest.
    """

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        small = open_together(address, LAST_GET % b'/of/small', 1)
        flood = open_together(address, LAST_GET % b'/of/flood', 40)
        assert b'200 OK' in await read_all(small[0])
        responses = [await read_all(stream) for stream in flood]
        assert '/of/small' in handler.paths[:4]
        assert len(rejected(responses)) == handler.unread_count > 0

    run_flooded(test)


def test_requests_rejected_unread_are_reported() -> None:
    """Guards against fair shares that omit what a busy router rejects."""

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        streams = []
        for _ in range(20):
            stream = await open_connection(address, GET % b'/first')
            await read_until_suffix(stream, b'GET /first ')
            streams.append(stream)
        for stream in streams:
            await stream.write(LAST_GET % b'/flood')
        responses = [await read_all(stream) for stream in streams]
        assert len(rejected(responses)) == handler.unread_count > 0

    run_flooded(test)


def test_a_stop_answers_the_requests_that_wait() -> None:
    """Guards against requests that a planned stop leaves without an answer."""

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        streams = [
            await open_connection(address, LAST_GET % b'/flood')
            for _ in range(8)
        ]
        while not server.waiting_count:
            await curio.sleep(0)
        await server.stop_accepting()
        rejected([await read_all(stream) for stream in streams])
        await server.drain()

    run_flooded(test)


def test_a_rejection_unread_has_no_body_for_head() -> None:
    """Guards against bytes that a caller takes for another response."""

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        request = LAST_GET.replace(b'GET', b'HEAD') % b'/flood'
        streams = [await open_connection(address, request) for _ in range(30)]
        refusals = rejected([await read_all(stream) for stream in streams])
        assert refusals
        assert all(one.endswith(b'\r\n\r\n') for one in refusals)

    run_flooded(test)


def test_a_large_request_rejected_unread_gets_its_response() -> None:
    """Guards against a reset that discards the response of a rejection."""
    body = b'x' * 3_000_000
    request = b'POST /flood HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'

    async def send_large(address: str) -> bytes:
        stream = await open_connection(address)
        with contextlib.suppress(OSError):
            await stream.write(request % len(body) + body)
        return await read_all(stream)

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        flood = [
            await open_connection(address, LAST_GET % b'/flood')
            for _ in range(10)
        ]
        tasks = [await curio.spawn(send_large, address) for _ in range(10)]
        responses = [await task.join() for task in tasks]
        assert all(response.startswith(b'HTTP/1.1 ') for response in responses)
        assert rejected([await read_all(stream) for stream in flood])

    run_flooded(test)


def test_a_failure_at_the_gate_does_not_stop_the_server() -> None:
    """Guards against one broken connection that ends all intake."""

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        failures = [OSError('broken')]
        start = server._start_connection

        async def fail_once(
            accepted: socket.socket, *arguments: Any, **named: bool
        ) -> None:
            if failures and server.waiting_count:
                accepted.close()
                raise failures.pop()
            await start(accepted, *arguments, **named)

        server._start_connection = fail_once  # type: ignore[method-assign]
        streams = [
            await open_connection(address, LAST_GET % b'/flood')
            for _ in range(30)
        ]
        with_response = [
            response
            for stream in streams
            if (response := await _read_or_break(stream))
        ]
        assert not failures
        assert len(rejected(with_response)) < len(with_response) >= 29
        assert b'200 OK' in await read_all(
            await open_connection(address, LAST_GET % b'/last')
        )

    run_flooded(test)


async def _read_or_break(stream: SocketStream) -> bytes:
    try:
        return await read_all(stream)
    except OSError:
        return b''


def test_a_stop_ends_during_a_flood() -> None:
    """Guards against a listener that stays open while connections arrive."""

    async def flood_forever(address: str) -> None:
        while True:
            with contextlib.suppress(OSError):
                await open_connection(address, LAST_GET % b'/flood')

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        tasks = [
            await curio.spawn(flood_forever, address, daemon=True)
            for _ in range(4)
        ]
        while not server.waiting_count:
            await curio.sleep(0)
        await curio.timeout_after(10, server.stop_accepting)
        for task in tasks:
            await task.cancel()

    run_flooded(test)


@pytest.mark.parametrize('pipelined_count', [1, 20])
def test_requests_on_open_connections_take_turns(pipelined_count: int) -> None:
    """Guards against a flood on connections that were opened before.

    The same holds for requests that are sent together on one connection.
    """

    async def test(
        server: HttpServer, address: str, handler: BlockingHandler
    ) -> None:
        small = await open_connection(address, GET % b'/small')
        await read_until_suffix(small, b'GET /small ')
        streams = []
        for _ in range(20):
            stream = await open_connection(address, GET % b'/first')
            await read_until_suffix(stream, b'GET /first ')
            streams.append(stream)
        read_count = len(handler.paths)
        for stream in streams:
            await stream.write((GET % b'/flood') * pipelined_count)
        await small.write(LAST_GET % b'/small')
        assert b'200 OK' in await read_all(small)
        assert '/small' in handler.paths[read_count : read_count + 6]
        for stream in streams:
            stream.close()

    run_flooded(test)
