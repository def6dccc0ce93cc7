"""Starts the stand-ins and routers of an example on loopback."""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import IO, Any, Self

import curio
from ruamel.yaml import YAML

import dotterelhatch
from dotterelhatch.configstore import ConfigStore
from dotterelhatch.document import (
    ConfigDocument,
    decode_document,
    effective_config,
    encode_document,
    load_documents,
)
from dotterelhatch.fleet import Service, ServiceKind, Target
from dotterelhatch.ids import ConfigVersion, FailureDomain
from dotterelhatch.net.http import HttpError, fetch
from dotterelhatch.backing.http import HttpTableService

__all__ = (
    'EXAMPLES_DIRECTORY',
    'EngineSpeed',
    'LocalFleet',
    'RouterProcess',
    'child_environment',
)

EXAMPLES_DIRECTORY = pathlib.Path(__file__).parent.parent / 'examples'
_LOOPBACK_ADDRESS = re.compile(r'127\.0\.0\.1:(\d+)')
_ROUTER_COMMAND = ('-m', 'dotterelhatch', 'router')
_READY_TIMEOUT_SECONDS = 30.0
_STOP_TIMEOUT_SECONDS = 60.0


def child_environment() -> dict[str, str]:
    """Return an environment in which child processes import these sources.

    Otherwise a child would import an installed copy of the package, which may
    have another version.
    """
    package = pathlib.Path(dotterelhatch.__file__).parent
    paths = (str(package.parent), str(EXAMPLES_DIRECTORY.parent))
    return {**os.environ, 'PYTHONPATH': os.pathsep.join(paths)}


class EngineSpeed:
    """Speed of the simulated engines.

    :param tokens_per_second: decode speed of a single running request.
    :param mean_tokens: mean of the random output length.
    """

    def __init__(
        self, tokens_per_second: float = 60.0, mean_tokens: float = 60.0
    ) -> None:
        """Store the values."""
        self.tokens_per_second = tokens_per_second
        self.mean_tokens = mean_tokens


class RouterProcess:
    """One router and its process, None until it is started."""

    def __init__(
        self, settings_path: pathlib.Path, settings: dict[str, Any]
    ) -> None:
        """Store the settings; the process is not started yet."""
        self.settings_path = settings_path
        self.name: str = settings['router_id']
        self.failure_domain: str = settings['failure_domain']
        self.caller_address: str = settings['caller_address']
        self.operations_address: str = settings['operations_address']
        self.process: subprocess.Popen[str] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        if self.process is None:
            raise RuntimeError(f'router {self.name} has not been started')
        return self.process.pid


class LocalFleet:
    """All processes of one example; a context manager that kills them on exit.

    :param example: name of the example directory.
    :param port_offset: added to every port, so that several fleets can run in
        parallel; None selects the first offset whose ports are free.
    :param speed: of the simulated engines.
    :param overrides: settings of the routers that replace those of the example.
    :param edit: changes the configuration document before it is applied.
    :param router_command: interpreter arguments that start a router; its
        settings file is added to them.
    """

    def __init__(
        self,
        example: str,
        port_offset: int | None = 0,
        speed: EngineSpeed | None = None,
        overrides: dict[str, Any] | None = None,
        edit: Callable[[ConfigDocument], ConfigDocument] | None = None,
        router_command: Sequence[str] = _ROUTER_COMMAND,
    ) -> None:
        """Read the example and write the settings of the routers."""
        self._router_command = tuple(router_command)
        self._offset = _free_offset() if port_offset is None else port_offset
        self._speed = speed or EngineSpeed()
        self._overrides = overrides or {}
        self._directory = tempfile.TemporaryDirectory()
        self._logs: list[IO[str]] = []
        self.log_directory = pathlib.Path(self._directory.name)
        document = load_documents(EXAMPLES_DIRECTORY / example)
        if edit is not None:
            document = edit(document)
        shifted = self._shift_ports(encode_document(document).decode())
        self.document = decode_document(shifted.encode())
        self.routers = [
            self._read_router(path)
            for path in sorted(
                (EXAMPLES_DIRECTORY / example / 'routers').glob('*.yaml')
            )
        ]
        self.platform_address = ''
        self.stand_in_processes: dict[str, subprocess.Popen[str]] = {}
        self.control_addresses: dict[str, str] = {}

    def __enter__(self) -> Self:
        """Start the stand-ins, apply the configuration, start the routers."""
        try:
            self._start_all()
        except BaseException:
            self._kill_all()
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill all processes."""
        self._kill_all()

    @property
    def services(self) -> tuple[Service, ...]:
        """Return the services with the targets of all failure domains."""
        return effective_config(self.document, FailureDomain('')).services

    def start_router(self, router: RouterProcess) -> None:
        """Start a router process."""
        log = (self.log_directory / f'{router.name}.log').open('a')
        self._logs.append(log)
        router.process = subprocess.Popen(
            [
                sys.executable,
                *self._router_command,
                '--settings',
                str(router.settings_path),
            ],
            stdout=log,
            stderr=log,
            text=True,
            env=child_environment(),
            # Ctrl-C must reach only this process, which stops its children.
            start_new_session=True,
        )

    def kill_router(self, router: RouterProcess) -> None:
        """Kill a router and wait for its exit."""
        self.signal_router(router, signal.SIGKILL)
        if router.process is not None:
            router.process.wait()

    def signal_router(
        self, router: RouterProcess, signum: signal.Signals
    ) -> None:
        """Send a signal to a router."""
        os.kill(router.pid, signum)

    def stop_routers(self) -> list[int]:
        """Stop all routers gracefully and return their exit codes."""
        running = [
            router.process
            for router in self.routers
            if router.process is not None and router.process.poll() is None
        ]
        for process in running:
            process.terminate()
        return [process.wait(_STOP_TIMEOUT_SECONDS) for process in running]

    def wait_ready(self, count: int | None = None) -> None:
        """Wait until every running router lists all running routers.

        :param count: number of routers to wait for instead.
        """
        running = [
            router
            for router in self.routers
            if router.process is not None and router.process.poll() is None
        ]
        expected_count = len(running) if count is None else count
        deadline_seconds = time.monotonic() + _READY_TIMEOUT_SECONDS
        while True:
            listed_counts = [
                _count_listed_addresses(router) for router in running
            ]
            if all(listed >= expected_count for listed in listed_counts):
                return
            if time.monotonic() > deadline_seconds:
                raise TimeoutError(
                    f'routers not ready; numbers of router addresses that'
                    f' they list: {listed_counts}'
                )
            time.sleep(0.1)

    def put_json(self, address: str, path: str, content: object) -> None:
        """Send a JSON document to a control endpoint of a stand-in."""
        body = json.dumps(content).encode()
        response = curio.run(
            fetch, address, 'PUT', path, (('Content-Type', _JSON_TYPE),), body
        )
        if response.status >= 300:
            raise RuntimeError(f'PUT {path} failed: {response.body.decode()}')

    def _start_all(self) -> None:
        port = self.platform_port()
        self._start_stand_in('platform', 'platform', '--port', str(port))
        self.platform_address = f'127.0.0.1:{port}'
        for service in self.services:
            for target in service.targets:
                self._start_target(service, target)
        self.put_json(self.platform_address, '/hosts', self._list_hosts())
        tables = HttpTableService(f'http://{self.platform_address}', 5)
        store = ConfigStore(tables, time.time)
        curio.run(store.apply, self.document, ConfigVersion(0), 'launcher')
        for router in self.routers:
            self.start_router(router)
        self.wait_ready()

    def platform_port(self) -> int:
        """Return the port of the simulated platform."""
        return _PLATFORM_PORT + self._offset

    def _start_target(self, service: Service, target: Target) -> None:
        port = target.address.rpartition(':')[2]
        slots = ('--slots', str(target.slots_count), '--port', port)
        if service.kind is ServiceKind.PLAIN:
            self._start_stand_in('plain', target.id, *slots)
            return
        self._start_stand_in(
            'engine',
            target.id,
            *slots,
            '--tokens-per-second',
            str(self._speed.tokens_per_second),
            '--mean-tokens',
            str(self._speed.mean_tokens),
        )

    def _start_stand_in(self, module: str, name: str, *options: str) -> None:
        log = (self.log_directory / f'{name}.log').open('a')
        self._logs.append(log)
        process = subprocess.Popen(
            [sys.executable, '-m', f'standins.{module}', *options],
            stdout=subprocess.PIPE,
            stderr=log,
            text=True,
            env=child_environment(),
            # Ctrl-C must reach only this process, which stops its children.
            start_new_session=True,
        )
        self.stand_in_processes[name] = process
        if process.stdout is None:
            raise RuntimeError('the output of the stand-in is not a pipe')
        ready = process.stdout.readline()
        if not ready:
            raise RuntimeError(f'stand-in {name} exited before it was ready')
        if module != 'platform':
            self.control_addresses[name] = json.loads(ready)['control']

    def _list_hosts(self) -> list[dict[str, str]]:
        routers = [
            self._host_entry(
                router.name,
                'entry',
                self._peer_address(router.settings_path),
                router.failure_domain,
            )
            for router in self.routers
        ]
        targets = [
            self._host_entry(
                target.id, 'target', target.address, target.failure_domain
            )
            for service in self.services
            for target in service.targets
        ]
        return routers + targets

    def _host_entry(
        self, name: str, role: str, address: str, domain: str
    ) -> dict[str, str]:
        return {
            'name': name,
            'role': role,
            'address': address,
            'failure_domain': domain,
            'instance': f'{name}-1',
            'state': 'live',
        }

    def _peer_address(self, settings_path: pathlib.Path) -> str:
        return str(YAML(typ='safe').load(settings_path)['peer_address'])

    def _read_router(self, path: pathlib.Path) -> RouterProcess:
        settings = YAML(typ='safe').load(self._shift_ports(path.read_text()))
        url = f'http://127.0.0.1:{self.platform_port()}'
        for name in settings['platform']:
            if name.endswith('_url'):
                settings['platform'][name] = url
        settings |= self._overrides
        settings_path = self.log_directory / path.name
        with settings_path.open('w') as settings_file:
            YAML().dump(settings, settings_file)
        return RouterProcess(settings_path, settings)

    def _shift_ports(self, text: str) -> str:
        return _LOOPBACK_ADDRESS.sub(
            lambda match: f'127.0.0.1:{int(match[1]) + self._offset}', text
        )

    def _kill_all(self) -> None:
        processes = [
            router.process
            for router in self.routers
            if router.process is not None
        ]
        processes.extend(self.stand_in_processes.values())
        for process in processes:
            if process.poll() is None:
                process.kill()
        for killed_process in processes:
            killed_process.wait()
        for log in self._logs:
            log.close()
        self._directory.cleanup()


_JSON_TYPE = 'application/json'
# An offset is taken to be free if this port is free at the offset.
_PLATFORM_PORT = 20901
_OFFSET_STEP = 1000
_MAX_OFFSET = 11_000


def _free_offset() -> int:
    for offset in range(_OFFSET_STEP, _MAX_OFFSET, _OFFSET_STEP):
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', _PLATFORM_PORT + offset))
            except OSError:
                continue
        return offset
    raise RuntimeError(
        'no free port offset: the ports of all offsets are taken'
    )


def _count_listed_addresses(router: RouterProcess) -> int:
    try:
        response = curio.run(
            fetch, router.caller_address, 'GET', '/v1/addresses'
        )
    except HttpError:
        return 0
    return len(json.loads(response.body)['addresses'])
