"""Failures of the HTTP client and control endpoints of the stand-in."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

import curio
import pytest
from backing_helpers import LONG_TIMEOUT_SECONDS, http, in_curio

from dotterelhatch.backing._client import Client
from dotterelhatch.backing.http import HttpTableService
from dotterelhatch.backing.interfaces import (
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from standins.platform import PlatformStandIn

# Time-out for calls that get no response, so it never races with a response.
NO_RESPONSE_TIMEOUT_SECONDS = 0.05
NO_EFFECT = StoreUnavailable
UNKNOWN = WriteOutcomeUnknown


def build_response(status: int, body: str = '', etag: str = '') -> bytes:
    """Return the bytes of an HTTP response."""
    head = f'HTTP/1.1 {status} X\r\n{etag}Content-Length: {len(body)}'
    return f'{head}\r\n\r\n{body}'.encode()


@pytest.mark.parametrize(
    ('scripted', 'write_error'),
    [
        (build_response(503), NO_EFFECT),
        (build_response(429), NO_EFFECT),
        (build_response(400), NO_EFFECT),
        (build_response(500), UNKNOWN),
        (build_response(502), UNKNOWN),
        (build_response(504), UNKNOWN),
        (build_response(302), UNKNOWN),
        (build_response(200), UNKNOWN),
        (build_response(200, 'abc', 'ETag: "1"\r\n')[:-1], UNKNOWN),
        (b'', UNKNOWN),
        (b'noise\r\n\r\n', UNKNOWN),
    ],
)
@in_curio
async def test_error_for_each_response(scripted, write_error) -> None:
    """Guards against StoreUnavailable for a write that may have taken effect.

    The scripted responses are error statuses and responses without a valid
    ETag header, truncated, empty or malformed ones. A write must not be sent
    a second time.
    """
    accepted = []

    async def serve() -> None:
        while True:
            connection, _address = await listener.accept()
            accepted.append(connection)
            async with connection:
                await connection.recv(65_536)
                await connection.sendall(scripted)

    async with curio.tcp_server_socket('127.0.0.1', 0) as listener:
        server = await curio.spawn(serve, daemon=True)
        url = f'http://127.0.0.1:{listener.getsockname()[1]}'
        tables = HttpTableService(url, LONG_TIMEOUT_SECONDS)
        with pytest.raises(write_error):
            await tables.write('t', 'k', b'1', 0)
        assert len(accepted) == 1
        with pytest.raises(StoreUnavailable):
            await tables.read('t', 'k')
        await tables.close()
        await server.cancel()


@in_curio
async def test_refused_connection_is_not_sent() -> None:
    """Guards against WriteOutcomeUnknown for a write that was not sent.

    The claim store would have to settle a claim that was certainly not written.
    """
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        url = f'http://127.0.0.1:{unused.getsockname()[1]}'
        with pytest.raises(StoreUnavailable):
            await HttpTableService(url, 30).write('t', 'k', b'1', 0)


@in_curio
async def test_timeout_without_response() -> None:
    """Guards against waiting without limit and against a wrong error.

    A write that gets no response has an unknown outcome; one that gets no
    connection was not sent. A connection without a response must not be
    used again.
    """
    async with http() as platform:
        url = platform.stand_in.url
        tables = HttpTableService(url, NO_RESPONSE_TIMEOUT_SECONDS)
        platform.set_faults(silent=True)
        with pytest.raises(WriteOutcomeUnknown):
            await tables.write('t', 'k', b'1', 0)
        with pytest.raises(StoreUnavailable):
            await tables.read('t', 'k')
        # With no permitted connection the call times out before it is sent.
        tables._client = Client(url, NO_RESPONSE_TIMEOUT_SECONDS, 0)
        with pytest.raises(StoreUnavailable):
            await tables.write('t', 'k', b'1', 0)
        platform.set_faults()
        assert await platform.tables.read('t', 'k') is None


@in_curio
async def test_connection_of_cancelled_call_is_not_reused() -> None:
    """Guards against taking a delayed response for that of the next call.

    The call is cancelled while its response is still to come on the connection.
    """
    async with http() as platform:
        tables = platform.tables
        row = await tables.write('t', 'k', b'1', 0)
        platform.set_faults(silent=True)
        task = await curio.spawn(tables.read, 't', 'k')
        await curio.sleep(0)
        await task.cancel()
        platform.set_faults()
        assert (await tables.write('t', 'other', b'2', 0)).content == b'2'
        assert await tables.read('t', 'k') == row


@in_curio
async def test_connections_are_reused_and_replaced() -> None:
    """Guards against one connection per call and against stale connections.

    The server restarts while the client holds an idle connection to it.
    """
    async with PlatformStandIn() as stand_in:
        tables = HttpTableService(stand_in.url, LONG_TIMEOUT_SECONDS)
        for revision in range(3):
            await tables.write('t', 'k', b'1', revision)
        assert len(tables._client._pool.idle) == 1
    async with PlatformStandIn(stand_in.port):
        await tables.write('t', 'k', b'1', 0)
        numbers = [b'%d' % number for number in range(50)]
        async with curio.TaskGroup() as group:
            for text in numbers:
                await group.spawn(tables.write, 'm', text.decode(), text, 0)
        rows = await tables.scan('m', '')
        assert [row.content for row in rows] == sorted(numbers)
        assert all(row.content == row.key.encode() for row in rows)
        await tables.close()


@in_curio
async def test_slow_write_takes_effect_after_timeout() -> None:
    """Guards against a stand-in that drops a write when the client gives up.

    The real service may apply such a write later, which is why its outcome is
    unknown to the client.
    """
    async with http() as platform:
        tables = HttpTableService(
            platform.stand_in.url, NO_RESPONSE_TIMEOUT_SECONDS
        )
        platform.set_faults(slow_seconds=4 * NO_RESPONSE_TIMEOUT_SECONDS)
        with pytest.raises(WriteOutcomeUnknown):
            await tables.write('t', 'k', b'1', 0)
        platform.set_faults()
        while await platform.tables.read('t', 'k') is None:
            await curio.sleep(NO_RESPONSE_TIMEOUT_SECONDS)


HOST = {
    'name': 'kochi-a-1',
    'role': 'entry',
    'address': '127.0.0.1:7001',
    'failure_domain': 'kochi-a',
    'instance': 'i-1',
    'state': 'live',
}
WEIGHTS = {'model': 'm', 'version': 'v', 'size_bytes': 1, 'digest': '0'}


@in_curio
async def test_control_endpoints() -> None:
    """Guards against control endpoints without effect.

    They must also work while the stand-in injects faults.
    """
    async with http() as platform:
        control = Client(platform.stand_in.url, LONG_TIMEOUT_SECONDS)
        silent = {'silent': True, 'services': ['tables']}
        down = {'down': True, 'services': ['objects', 'hosts', 'tables']}
        for path, content, status in (
            ('/faults', {'down': 'perhaps'}, 400),
            ('/faults', {'typo': True}, 400),
            ('/faults', silent, 200),
            ('/faults', down, 200),
            ('/hosts', [HOST], 200),
            ('/weights/m/v', WEIGHTS, 200),
        ):
            body = json.dumps(content).encode()
            response = await control.request('PUT', path, (), body)
            assert response.status == status
        with pytest.raises(StoreUnavailable):
            await platform.hosts.read_hosts()
        assert (await platform.weights.describe('m', 'v')).size_bytes == 1
        platform.set_faults()
        assert (await platform.hosts.read_hosts())[0].name == 'kochi-a-1'
        await control.close()


def test_process_exits_on_sigterm() -> None:
    """Guards against a stand-in that the launcher cannot stop.

    A connection that is still open must not keep the process running.
    """
    root = pathlib.Path(__file__).parent.parent
    with subprocess.Popen(
        [sys.executable, '-m', 'standins.platform', '--port', '0'],
        cwd=root,
        env={**os.environ, 'PYTHONPATH': str(root / 'src')},
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        port = int(process.stdout.readline().split()[-1])
        with socket.create_connection(('127.0.0.1', port)):
            process.send_signal(signal.SIGTERM)
            assert process.wait() == 0
