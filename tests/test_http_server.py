"""HTTP server on real loopback sockets in one curio kernel."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.net.http import (
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
from dotterelhatch.net.stream import SocketStream, bind_listener

LIMITS = HttpLimits(max_header_bytes=2048)
GET = b'GET %s HTTP/1.1\r\nHost: h\r\n\r\n'


async def echo(exchange: ServerExchange) -> None:
    """Answer with the method, the path and the body."""
    body = await exchange.read_body(1000)
    head = f'{exchange.head.method} {exchange.head.path} '.encode()
    await exchange.send(Response(200, (), head + body))


def serve(
    test: Callable[[HttpServer, str], Awaitable[None]],
    handler: Callable[[ServerExchange], Awaitable[None]] = echo,
    limits: HttpLimits = LIMITS,
) -> None:
    """Run a test against a server in a fresh kernel."""

    async def main() -> None:
        async with HttpServer('127.0.0.1:0', handler, limits) as server:
            await test(server, f'127.0.0.1:{server.port}')

    curio.run(main)


async def dial(address: str, content: bytes = b'') -> SocketStream:
    """Connect and send bytes."""
    stream = await SocketStream.connect(address, 10)
    await stream.write(content)
    return stream


async def read_all(stream: SocketStream) -> bytes:
    """Read to the end of the stream and close it."""
    content = b''
    while piece := await stream.read():
        content += piece
    stream.close()
    return content


async def read_until(stream: SocketStream, end: bytes) -> bytes:
    """Read until the bytes end as given."""
    content = b''
    while not content.endswith(end):
        piece = await stream.read()
        assert piece, content
        content += piece
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
def test_broken_request(content: bytes, status: int, code: str) -> None:
    """A broken request gets a problem document and the server goes on."""

    async def test(server: HttpServer, address: str) -> None:
        answer = await read_all(await dial(address, content))
        head, _, body = answer.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 %d ' % status)
        assert b'application/problem+json' in head
        assert b'Connection: close' in head
        assert json.loads(body)['code'] == code
        assert (await fetch(address, 'GET', '/next')).status == 200

    serve(test)


def test_pipelined_requests_are_answered_in_order() -> None:
    """Requests that arrive together must not be lost or exchanged."""

    async def test(server: HttpServer, address: str) -> None:
        post = b'POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz'
        last = b'GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        answer = await read_all(await dial(address, GET % b'/a' + post + last))
        parts = [answer.index(part) for part in (b'GET /a', b'xyz', b'GET /c')]
        assert parts == sorted(parts)
        assert answer.count(b'HTTP/1.1 200') == 3

    serve(test)


def test_unread_body_is_not_taken_for_a_request() -> None:
    """The rest of a refused request must not become the next request."""
    inner = GET % b'/smuggled'

    async def handler(exchange: ServerExchange) -> None:
        await exchange.send(Response(200, (), exchange.head.path.encode()))

    async def test(server: HttpServer, address: str) -> None:
        head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
        content = head % len(inner) + inner
        stream = await dial(address, content + GET % b'/b')
        answer = await read_until(stream, b'/b')
        assert answer.count(b'HTTP/1.1 200') == 2
        stream.close()
        partial = await read_all(await dial(address, content[:-1]))
        assert partial.count(b'HTTP/1.1 200') == 1
        assert b'Connection: close' in partial

    serve(test, handler)


def test_header_outside_ascii_passes() -> None:
    """Header bytes above 127 are legal and must not fail the request."""

    async def handler(exchange: ServerExchange) -> None:
        await exchange.send(Response(200, exchange.head.headers, b''))

    async def test(server: HttpServer, address: str) -> None:
        response = await fetch(address, 'GET', '/', (('X-Name', 'Çağ é'),))
        assert response.header('X-Name') == 'Ça? é'

    serve(test, handler)


@pytest.mark.parametrize('sent', [b'GET / HT', b'GET / HTTP/1.1\r\n'])
def test_head_that_never_ends(sent: bytes) -> None:
    """A caller that sends half a head must not hold a connection for ever."""

    async def test(server: HttpServer, address: str) -> None:
        answer = await read_all(await dial(address, sent))
        assert answer.startswith(b'HTTP/1.1 400 ')

    serve(test, echo, HttpLimits(header_timeout_seconds=0.05))


def test_head_has_length_without_body() -> None:
    """A body after HEAD would be taken for the next response."""

    async def test(server: HttpServer, address: str) -> None:
        content = GET.replace(b'GET', b'HEAD') % b'/a' + GET % b'/b'
        stream = await dial(address, content)
        answer = await read_until(stream, b'GET /b ')
        assert answer.startswith(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n')
        assert b'HEAD /a' not in answer
        stream.close()

    serve(test)


def test_continue_is_sent_before_the_body() -> None:
    """A caller that waits for 100 Continue must not wait for ever."""

    async def test(server: HttpServer, address: str) -> None:
        head = b'POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n'
        stream = await dial(address, head + b'Content-Length: 2\r\n\r\n')
        await read_until(stream, b'100 Continue\r\n\r\n')
        await stream.write(b'ok')
        await read_until(stream, b'POST / ok')
        stream.close()

    serve(test)


def test_hangup_is_noticed_and_pipelined_bytes_are_kept() -> None:
    """Waiting for a hang-up must not swallow the next request."""
    waits = curio.Event()
    hangups: list[str] = []

    async def handler(exchange: ServerExchange) -> None:
        watcher = await curio.spawn(exchange.wait_disconnect)
        await waits.set()
        if exchange.head.path == '/wait':
            await watcher.join()
            hangups.append(exchange.client)
            raise DisconnectError('gone')
        while not exchange._connection.has_buffered:
            await curio.sleep(0)
        await watcher.cancel()
        await echo(exchange)

    async def test(server: HttpServer, address: str) -> None:
        stream = await dial(address, GET % b'/a')
        await waits.wait()
        await stream.write(GET % b'/wait')
        await read_until(stream, b'GET /a ')
        while server.exchanges_count != 1:
            await curio.sleep(0)
        assert not hangups
        stream.close()
        await server.drain()
        assert len(hangups) == 1

    serve(test, handler)


@pytest.mark.parametrize('path', ['/raise', '/silent', '/known'])
def test_handler_without_response(path: str) -> None:
    """The caller gets an answer when a handler fails before responding."""

    async def handler(exchange: ServerExchange) -> None:
        if path == '/raise':
            raise ZeroDivisionError
        if path == '/known':
            raise DotterelhatchError(ErrorKind.QUEUE_FULL, 'no room')

    async def test(server: HttpServer, address: str) -> None:
        response = await fetch(address, 'GET', path)
        known = path == '/known'
        assert response.status == (429 if known else 500)
        assert response.header('Retry-After') == ('2' if known else None)

    serve(test, handler)


@pytest.mark.parametrize('version', [b'1.1', b'1.0'])
@pytest.mark.parametrize('raises', [True, False])
def test_failed_stream_never_looks_complete(
    version: bytes, raises: bool
) -> None:
    """A handler that leaves a stream unfinished must not end it properly."""

    async def handler(exchange: ServerExchange) -> None:
        await exchange.start_stream(200, ())
        await exchange.send_chunk(b'part')
        if raises:
            raise DotterelhatchError(ErrorKind.TARGET_FAILED, 'broke off')

    async def test(server: HttpServer, address: str) -> None:
        content = (GET % b'/').replace(b'1.1', version)
        stream = await dial(address, content)
        if version == b'1.0':
            with pytest.raises(ConnectionResetError):
                await read_all(stream)
            stream.close()
        else:
            answer = await read_all(stream)
            assert answer.endswith(b'part\r\n')

    serve(test, handler)


def test_caller_that_never_reads_is_dropped() -> None:
    """A caller that reads nothing must not hold its exchange for ever."""

    async def handler(exchange: ServerExchange) -> None:
        await exchange.start_stream(200, ())
        while True:
            await exchange.send_chunk(bytes(65536))

    async def test(server: HttpServer, address: str) -> None:
        stream = await dial(address, GET % b'/')
        await stream.wait_readable()
        await server.drain()
        assert server.exchanges_count == 0
        stream.close()

    serve(test, handler, HttpLimits(write_timeout_seconds=0.05))


def test_stop_finishes_exchanges_and_closes_idle_connections() -> None:
    """A planned stop must not cut off a request in progress."""
    entered, released = curio.Event(), curio.Event()

    async def handler(exchange: ServerExchange) -> None:
        if exchange.head.path == '/slow':
            await entered.set()
            await released.wait()
        await echo(exchange)

    async def test(server: HttpServer, address: str) -> None:
        idle = await dial(address, GET % b'/a')
        await read_until(idle, b'GET /a ')
        slow = await dial(address, GET % b'/slow')
        await entered.wait()
        await server.stop_accepting()
        assert await idle.read() == b''
        with pytest.raises(NotSentError):
            await fetch(address, 'GET', '/')
        await released.set()
        await server.drain()
        answer = await read_all(slow)
        assert b'Connection: close' in answer
        assert answer.endswith(b'GET /slow ')
        idle.close()

    serve(test, handler)


@pytest.mark.parametrize('reused', [True, False])
def test_request_that_arrives_with_the_stop_is_answered(reused: bool) -> None:
    """A request that was sent before the listener closed must not be lost."""

    async def test(server: HttpServer, address: str) -> None:
        if reused:
            stream = await dial(address, GET % b'/first')
            await read_until(stream, b'GET /first ')
            while not server._idle:
                await curio.sleep(0)
            await stream.write(GET % b'/last')
        else:
            stream = await dial(address, GET % b'/last')
        await server.stop_accepting()
        assert (await read_all(stream)).endswith(b'GET /last ')

    serve(test)


def test_idle_connection_with_a_request_is_not_closed() -> None:
    """Making room must not lose a request that has just arrived."""

    async def test(server: HttpServer, address: str) -> None:
        stream = await dial(address, GET % b'/first')
        await read_until(stream, b'GET /first ')
        while not server._idle:
            await curio.sleep(0)
        await stream.write(GET % b'/last')
        assert await server._close_oldest_idle()
        assert (await read_all(stream)).endswith(b'GET /last ')

    serve(test)


def test_answer_to_a_large_refused_body_arrives() -> None:
    """A close with unread bytes resets the connection and loses the answer."""
    head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n'

    async def test(server: HttpServer, address: str) -> None:
        stream = await dial(address, head + bytes(2_000_000))
        assert (await read_all(stream)).startswith(b'HTTP/1.1 413 ')

    serve(test)


def test_flood_of_pipelined_bytes_is_bounded() -> None:
    """Bytes sent during an exchange must not fill the memory."""
    kept_bytes: list[int] = []

    async def handler(exchange: ServerExchange) -> None:
        await exchange.wait_disconnect()
        kept_bytes.append(exchange._connection._pipelined_bytes)
        raise DisconnectError('gone')

    async def test(server: HttpServer, address: str) -> None:
        stream = await dial(address, GET % b'/')
        while not server.exchanges_count:
            await curio.sleep(0)
        flood = await curio.spawn(stream.write, bytes(50_000_000))
        while not server._connections or flood.state != 'WRITE_WAIT':
            await curio.sleep(0)
        stream.close()
        await server.drain()
        assert kept_bytes[0] <= 2 * 65536
        with pytest.raises(curio.TaskError):
            await flood.join()

    serve(test, handler)


def test_connections_above_the_limit() -> None:
    """Idle connections make room; above that callers are told to retry."""
    released = curio.Event()

    async def handler(exchange: ServerExchange) -> None:
        await released.wait()
        await echo(exchange)

    async def test(server: HttpServer, address: str) -> None:
        idle = await dial(address)
        while not server.connections_count:
            await curio.sleep(0)
        busy = await dial(address, GET % b'/busy')
        assert await idle.read() == b''
        while not server.exchanges_count:
            await curio.sleep(0)
        refused = await fetch(address, 'GET', '/refused')
        assert refused.status == 503
        await released.set()
        await read_until(busy, b'GET /busy ')
        idle.close()
        busy.close()

    serve(test, handler, HttpLimits(max_connections_count=1))


def test_hop_by_hop_headers_are_dropped() -> None:
    """Headers of one connection must not be relayed to the next."""
    headers = (
        ('Connection', 'close, X-Local'),
        ('X-Local', '1'),
        ('Keep-Alive', '5'),
        ('TE', 'trailers'),
        ('Accept', '*/*'),
    )
    assert end_to_end_headers(headers) == (('Accept', '*/*'),)


@pytest.mark.parametrize(
    'answer',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
        b'nonsense\r\n\r\n',
    ],
)
def test_fetch_without_a_complete_answer(answer: bytes) -> None:
    """A sent request without an answer must never be told as not sent."""

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
        await read_until(stream, b'\r\n\r\nx')
        await stream.write(answer)
        stream.close()

    curio.run(main)


def test_a_length_and_chunks_together_are_refused() -> None:
    """Guards against a second request that is smuggled in the body."""
    handled: list[str] = []

    async def handler(exchange: ServerExchange) -> None:
        handled.append(exchange.head.path)
        await echo(exchange)

    async def test(server: HttpServer, address: str) -> None:
        stream = await dial(
            address,
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
            b'GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n',
        )
        answer = await read_all(stream)
        assert answer.startswith(b'HTTP/1.1 400 ')
        assert answer.count(b'HTTP/1.1') == 1

    serve(test, handler)
    assert not handled


def test_a_broken_request_line_is_described_in_words() -> None:
    """Guards against Python objects in messages to callers."""

    async def test(server: HttpServer, address: str) -> None:
        answer = await read_all(await dial(address, b'GE(T / HTTP/1.1\r\n\r\n'))
        document = json.loads(answer.partition(b'\r\n\r\n')[2])
        assert document['detail'] == 'illegal request line'

    serve(test)
