"""Build and run of the router process as described by the deploy file."""

import os
import shutil
import signal
import subprocess
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.net.http import HttpError, HttpServer, Response, fetch
from dotterelhatch.platform import process as platform_process
from dotterelhatch.platform.wire import PlatformWireFormat
from standins.row_store import RowStore
from standins.server import ServerStandIn
from tests.gateway_helpers import free_port, gateway_settings, run_async
from tests.test_platform_adapter import CONFIG, SERVER

# Longer than the pauses that a router takes for ordinary delays.
PAUSE_SECONDS = 1.5
ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
HEADERS = {
    'Host': 'a.example',
    'Dotterelhatch-Request-Id': 'r1',
    'Dotterelhatch-Deadline-Ms': '4000',
    'Dotterelhatch-Token-Counts': '900,80',
    'Dotterelhatch-Prompt-Prefix': 'aa:600,bb:300',
    'Authorization': 'Bearer k1',
}


@pytest.fixture(scope='module')
def built(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Run the build command of the deploy file in a copy of the checkout."""
    copy = tmp_path_factory.mktemp('checkout')
    for name in ('src', 'deploy'):
        shutil.copytree(
            ROOT / name,
            copy / name,
            ignore=shutil.ignore_patterns('__pycache__', '*.egg-info'),
        )
    subprocess.run(
        DEPLOY['build'], shell=True, cwd=copy, check=True, timeout=300
    )
    return copy


class Process:
    """A router process with its addresses."""

    def __init__(self, checkout: Path, folder: Path, store: str) -> None:
        """Start the process with a settings file of its own."""
        ports = [free_port() for _ in range(5)]
        self.caller, self.ready, self.control, self.directory = (
            f'127.0.0.1:{port}' for port in ports[:4]
        )
        self.path = folder / 'settings.toml'
        self.log_path = folder / 'log'
        self.path.write_text(
            f"""
            node-name = "edge-1"
            ip = "127.0.0.1"
            zone = "konya"
            port-range = [{ports[4]}, {ports[4]}]
            [listen]
            front = "{self.caller}"
            ready = "{self.ready}"
            control = "{self.control}"
            directory = "{self.directory}"
            [bounds]
            grace-s = 3
            ttl_max_s = 1
            [platform]
            address = "{store}"
            """
        )
        command = DEPLOY['roles']['router']['run'].split()
        self.popen = subprocess.Popen(
            [sys.executable, *command[1:]],
            cwd=checkout,
            env={
                'PATH': os.environ['PATH'],
                'PYTHONPATH': str(checkout / 'target/deps'),
                'DOTTERELHATCH_CONFIG': str(self.path),
            },
            stdout=self.log_path.open('wb'),
            stderr=subprocess.STDOUT,
        )

    def output(self) -> str:
        """Return what the process has written to its log."""
        return self.log_path.read_text()

    async def has_reloaded(self) -> bool:
        """Return whether the process has logged a reload."""
        return '"event": "reloaded"' in self.output()

    async def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.popen.poll() is not None

    async def is_ready(self) -> bool:
        """Return whether the readiness endpoint responds with 200."""
        return (await self.get(self.ready, '/readiness')).status == 200

    async def get(self, address: str, path: str) -> Response:
        """Call the process; return status 0 while it does not listen."""
        try:
            return await fetch(address, 'GET', path, timeout_seconds=2)
        except HttpError:
            return Response(0, (), b'')


async def _until(condition: Callable[[], Any]) -> None:
    while not await condition():
        await curio.sleep(0.05)


def test_a_built_process_serves_reloads_and_stops(
    built: Path, tmp_path: Path
) -> None:
    """Guards against a build that works only in the source tree.

    Missing modules or dependencies would show only on the platform.
    """

    @run_async
    async def check() -> None:
        store = RowStore()
        server = ServerStandIn('i-1')
        async with (
            HttpServer('127.0.0.1:0', store) as store_server,
            HttpServer('127.0.0.1:0', server) as target_server,
        ):
            address = f'127.0.0.1:{target_server.port}'
            store.put('op', 'config', CONFIG)
            store.put('servers', 'i-1', SERVER | {'address': address})
            process = Process(built, tmp_path, f'127.0.0.1:{store_server.port}')
            try:
                await _until(process.is_ready)
                await _serve_and_stop(process, server)
            finally:
                if process.popen.poll() is None:
                    process.popen.kill()

    check()


async def _serve_and_stop(process: Process, server: ServerStandIn) -> None:
    resolved = await process.get(
        process.directory, '/resolve?name=a.example&zone=konya'
    )
    assert process.caller.encode() in resolved.body
    metrics = await process.get('127.0.0.1:9464', '/metrics')
    assert b'dotterelhatch_gateway_requests' in metrics.body
    response = await fetch(
        process.caller, 'POST', '/draft/1', tuple(HEADERS.items()), b'{}'
    )
    assert response.status == 200
    assert response.body.count(b'data:') == 4
    # Signals that are pending at the same time are delivered in no defined
    # order, so the second one is sent after the first has been handled.
    process.popen.send_signal(signal.SIGHUP)
    await _until(process.has_reloaded)
    process.popen.send_signal(signal.SIGTERM)
    await _until(process.has_ended)
    output = process.output()
    assert process.popen.returncode == 0, output
    for event in ('started', 'served', 'reloaded', 'leaving', 'stopped'):
        assert f'"event": "{event}"' in output
    assert 'k1' not in output
    assert server.executed_ids == ['r1']


@pytest.mark.parametrize('change', ['key', 'target'])
def test_a_process_that_was_paused_uses_nothing_it_may_no_longer(
    built: Path, tmp_path: Path, change: str
) -> None:
    """Guards against a router that acts on what was true before a pause.

    While it is paused, a key is taken away, or the only server says that it
    leaves, and a caller sends a request. The answer to the call that waits
    for changes does not arrive, so that the router has to ask again.
    """

    @run_async
    async def check() -> None:
        store = RowStore()
        server = ServerStandIn('i-1')
        async with (
            HttpServer('127.0.0.1:0', store) as store_server,
            HttpServer('127.0.0.1:0', server) as target_server,
        ):
            row = SERVER | {'address': f'127.0.0.1:{target_server.port}'}
            store.put('op', 'config', CONFIG)
            store.put('servers', 'i-1', row)
            process = Process(built, tmp_path, f'127.0.0.1:{store_server.port}')
            try:
                await _until(process.is_ready)
                process.popen.send_signal(signal.SIGSTOP)
                store.stall_feeds()
                if change == 'key':
                    others = [{'name': 'hule930', 'api-keys': ['k2']}]
                    store.put(
                        'op',
                        'config',
                        CONFIG | {'version': 8, 'tenants': others},
                    )
                else:
                    store.put('servers', 'i-1', row | {'state': 'draining'})
                request = await curio.spawn(
                    fetch, process.caller, 'POST', '/draft/1',
                    tuple(HEADERS.items()), b'{}',
                )  # fmt: skip
                await curio.sleep(PAUSE_SECONDS)
                process.popen.send_signal(signal.SIGCONT)
                response = await request.join()
                assert response.status == (401 if change == 'key' else 503)
                assert not server.executed_ids
                assert '"event": "clock_gap"' in process.output()
            finally:
                process.popen.kill()

    check()


def test_a_reload_during_startup_does_not_end_the_process() -> None:
    """Guards against a SIGHUP that terminates the process during imports.

    Without a handler the default action of the signal is to terminate.
    """
    script = """
import signal, sys
import dotterelhatch.platform.__main__ as entry

class Reloader:
    def find_spec(self, name, path=None, target=None):
        if name == 'dotterelhatch.platform.process':
            signal.raise_signal(signal.SIGHUP)
            sys.exit(7)

sys.meta_path.insert(0, Reloader())
entry.start()
"""
    ended = subprocess.run(
        [sys.executable, '-c', script],
        env={'PATH': os.environ['PATH'], 'PYTHONPATH': str(ROOT / 'src')},
        timeout=60,
        check=False,
    )
    assert ended.returncode == 7


def test_an_unforeseen_error_at_a_reload_keeps_the_process(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Guards against a settings file that ends the process as it is read.

    The requests in progress would end with it.
    """

    def fail(_path: Path) -> None:
        raise RuntimeError('unforeseen')

    gateway = Gateway(gateway_settings(), PlatformWireFormat())
    settings = gateway.settings
    monkeypatch.setattr(platform_process, 'load_settings', fail)
    platform_process._reload(tmp_path, gateway)
    assert gateway.settings is settings


def test_invalid_settings_end_the_process_with_a_message(
    built: Path, tmp_path: Path
) -> None:
    """Guards against a restart loop whose reason is not in the log.

    The platform restarts a process that has ended, so the invalid key must be
    named on standard error.
    """
    path = tmp_path / 'settings.toml'
    path.write_text('node-name = 5')
    ended = subprocess.run(
        [sys.executable, '-m', 'dotterelhatch.platform'],
        cwd=built,
        env={
            'PATH': os.environ['PATH'],
            'PYTHONPATH': str(built / 'target/deps'),
            'DOTTERELHATCH_CONFIG': str(path),
        },
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == 19
    assert b'node-name' in ended.stderr
