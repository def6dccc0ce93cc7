"""Failures of the HTTP client and the stand-in's control endpoints."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

import curio
import pytest
from backing_helpers import AMPLE_SECONDS, http, in_curio

from dotterelhatch.backing._client import Client
from dotterelhatch.backing.http import HttpTableService
from dotterelhatch.backing.interfaces import (
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from standins.platform import PlatformStandIn

# Ends waits for answers that never come; no answer is in a race with it.
NEVER_ANSWERED_SECONDS = 0.05
NO_EFFECT = StoreUnavailable
UNKNOWN = WriteOutcomeUnknown


def answer(status: int, body: str = '', etag: str = '') -> bytes:
    """Return the bytes of a response."""
    head = f'HTTP/1.1 {status} X\r\n{etag}Content-Length: {len(body)}'
    return f'{head}\r\n\r\n{body}'.encode()


@pytest.mark.parametrize(
    ('scripted', 'write_error'),
    [
        (answer(503), NO_EFFECT),
        (answer(429), NO_EFFECT),
        (answer(400), NO_EFFECT),
        (answer(500), UNKNOWN),
        (answer(502), UNKNOWN),
        (answer(504), UNKNOWN),
        (answer(302), UNKNOWN),
        (answer(200), UNKNOWN),
        (answer(200, 'abc', 'ETag: "1"\r\n')[:-1], UNKNOWN),
        (b'', UNKNOWN),
        (b'noise\r\n\r\n', UNKNOWN),
    ],
)
@in_curio
async def test_kind_of_failure(scripted, write_error) -> None:
    """Guards against saying 'no effect' where the write may have one."""
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
        tables = HttpTableService(url, AMPLE_SECONDS)
        with pytest.raises(write_error):
            await tables.write('t', 'k', b'1', 0)
        assert len(accepted) == 1
        with pytest.raises(StoreUnavailable):
            await tables.read('t', 'k')
        await tables.close()
        await server.cancel()


@in_curio
async def test_refused_connection_is_not_sent() -> None:
    """Guards against settling claims that were certainly not written."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        url = f'http://127.0.0.1:{unused.getsockname()[1]}'
        with pytest.raises(StoreUnavailable):
            await HttpTableService(url, 30).write('t', 'k', b'1', 0)


@in_curio
async def test_silence_and_fresh_connections() -> None:
    """Guards against waiting for ever and against reusing silent paths."""
    async with http() as platform:
        url = platform.back.url
        tables = HttpTableService(url, NEVER_ANSWERED_SECONDS)
        platform.fault(silent=True)
        with pytest.raises(WriteOutcomeUnknown):
            await tables.write('t', 'k', b'1', 0)
        with pytest.raises(StoreUnavailable):
            await tables.read('t', 'k')
        # A call that gets no connection was not sent.
        tables._client = Client(url, NEVER_ANSWERED_SECONDS, 0)
        with pytest.raises(StoreUnavailable):
            await tables.write('t', 'k', b'1', 0)
        platform.fault()
        assert await platform.tables.read('t', 'k') is None


@in_curio
async def test_cancelled_call_leaves_no_connection_behind() -> None:
    """Guards against giving a late answer to the next call."""
    async with http() as platform:
        tables = platform.tables
        row = await tables.write('t', 'k', b'1', 0)
        platform.fault(silent=True)
        task = await curio.spawn(tables.read, 't', 'k')
        await curio.sleep(0)
        await task.cancel()
        platform.fault()
        assert (await tables.write('t', 'other', b'2', 0)).content == b'2'
        assert await tables.read('t', 'k') == row


@in_curio
async def test_connections_are_reused_and_replaced() -> None:
    """Guards against one connection per call and against stale ones."""
    async with PlatformStandIn() as back:
        tables = HttpTableService(back.url, AMPLE_SECONDS)
        for revision in range(3):
            await tables.write('t', 'k', b'1', revision)
        assert len(tables._client._pool.idle) == 1
    async with PlatformStandIn(back.port):
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
async def test_late_write() -> None:
    """Guards against a stand-in whose slow writes have no late effect."""
    async with http() as platform:
        tables = HttpTableService(platform.back.url, NEVER_ANSWERED_SECONDS)
        platform.fault(slow_seconds=4 * NEVER_ANSWERED_SECONDS)
        with pytest.raises(WriteOutcomeUnknown):
            await tables.write('t', 'k', b'1', 0)
        platform.fault()
        while await platform.tables.read('t', 'k') is None:
            await curio.sleep(NEVER_ANSWERED_SECONDS)


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
    """Guards against controls that faults disable or that do nothing."""
    async with http() as platform:
        control = Client(platform.back.url, AMPLE_SECONDS)
        silent = {'silent': True, 'services': ['tables']}
        down = {'down': True, 'services': ['objects', 'hosts', 'tables']}
        for target, content, status in (
            ('/faults', {'down': 'perhaps'}, 400),
            ('/faults', {'typo': True}, 400),
            ('/faults', silent, 200),
            ('/faults', down, 200),
            ('/hosts', [HOST], 200),
            ('/weights/m/v', WEIGHTS, 200),
        ):
            body = json.dumps(content).encode()
            response = await control.request('PUT', target, (), body)
            assert response.status == status
        with pytest.raises(StoreUnavailable):
            await platform.hosts.read_hosts()
        assert (await platform.weights.describe('m', 'v')).size_bytes == 1
        platform.fault()
        assert (await platform.hosts.read_hosts())[0].name == 'kochi-a-1'
        await control.close()


def test_process_exits_on_sigterm() -> None:
    """Guards against a stand-in that the launcher cannot end."""
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
