"""Loopback environment of a soak run: store, servers, proxies and routers."""

import random
import signal
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import curio

from dotterelhatch.net.http import HttpError, HttpServer, fetch
from soak.proxy import FaultProxy
from soak.routers import RouterEndpoints, RouterProcess
from soak.servers import ExecutionLog, SoakServer
from standins.row_store import RowStore

__all__ = ('HOST', 'KEY', 'TENANT', 'Server', 'SoakEnvironment')

HOST: Final = 'soak.example'
KEY: Final = 'soak-key'
TENANT: Final = 'crew'
_ROUTERS_COUNT = 3
_SERVER_COUNTS: Final = {'model': 3, 'app': 2}
_POLL_SECONDS = 0.05
# The grace period of a router (4 s) plus time for its exit.
_STOP_TIMEOUT_SECONDS = 8.0
# Maximum time from the start of a process until it installs its handlers.
_HANDLER_SETUP_SECONDS = 3.0
# Maximum time until the first statement of the process, which ignores SIGHUP;
# several times the usual start time of the interpreter.
_INTERPRETER_START_SECONDS = 0.5


@dataclass
class Server:
    """A server and the proxy in front of it.

    :param drain_started_seconds: when its drain was written to the store;
        None while it takes new requests.
    :param resources: its listener and proxy.
    """

    instance: str
    service: str
    stand_in: SoakServer
    proxy: FaultProxy
    drain_started_seconds: float | None = None
    resources: AsyncExitStack = field(default_factory=AsyncExitStack)

    @property
    def row(self) -> dict[str, Any]:
        """Return its row in the table ``servers`` of the store."""
        return {
            'service': self.service,
            'address': self.proxy.address,
            'zone': 'zone-0',
            'slots': 64,
            'state': 'ready'
            if self.drain_started_seconds is None
            else 'draining',
            'born': 1,
            'seq': 1,
        }


class SoakEnvironment:
    """Owns the store, servers, proxies and router processes of a run.

    :param rng: seeded source of all random choices of the run.
    :param folder: for the settings and logs of the routers.
    :ivar fault_times_seconds: times at which a fault was active.
    :ivar flood_callers: callers that were added by faults.
    :ivar problems: broken guarantees that were found so far.
    """

    def __init__(self, rng: random.Random, folder: Path) -> None:
        """Create the environment; nothing is started yet."""
        self.rng = rng
        self.folder = folder
        self.store = RowStore()
        self.execution_log = ExecutionLog()
        self.servers: dict[str, Server] = {}
        self.routers: list[RouterProcess] = []
        self.store_proxies: list[FaultProxy] = []
        self.config_version = 1
        self.fault_times_seconds: list[float] = []
        self.flood_callers: list[Any] = []
        self.problems: list[str] = []
        self._resources = AsyncExitStack()
        self._last_server_number = 0
        self._supervisor: Any = None

    async def __aenter__(self) -> Self:
        """Start the store, the servers and the routers."""
        store = HttpServer('127.0.0.1:0', self.store)
        await self._resources.enter_async_context(store)
        self.write_config()
        for service, count in _SERVER_COUNTS.items():
            for _ in range(count):
                await self.add_server(service)
        all_endpoints = RouterEndpoints.allocate(_ROUTERS_COUNT)
        seeds = [endpoints.address(2) for endpoints in all_endpoints]
        for endpoints in all_endpoints:
            proxy = FaultProxy(f'127.0.0.1:{store.port}', self.rng)
            await self._resources.enter_async_context(proxy)
            self.store_proxies.append(proxy)
            router = RouterProcess(endpoints, self.folder, proxy.address, seeds)
            router.start()
            self.routers.append(router)
        self._supervisor = await curio.spawn(self._supervise, daemon=True)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill the router processes and close all servers and proxies."""
        await self._supervisor.cancel()
        for router in self.routers:
            router.kill()
        for server in self.servers.values():
            await server.resources.aclose()
        await self._resources.aclose()

    def record_fault_time(self) -> None:
        """Record that a fault is active now."""
        self.fault_times_seconds.append(time.monotonic())

    def write_config(self) -> None:
        """Write the next version of the configuration."""
        self.config_version += self.rng.randint(1, 5)
        self.store.put('op', 'config', _config(self.config_version))

    async def add_server(self, service: str) -> Server:
        """Start a server behind a proxy and write its row."""
        self._last_server_number += 1
        name = f'i-{self._last_server_number}'
        rng = random.Random(self.rng.random())
        stand_in = SoakServer(name, self.execution_log, rng)
        resources = AsyncExitStack()
        http = HttpServer('127.0.0.1:0', stand_in)
        await resources.enter_async_context(http)
        proxy = FaultProxy(f'127.0.0.1:{http.port}', rng)
        await resources.enter_async_context(proxy)
        server = Server(name, service, stand_in, proxy, resources=resources)
        self.servers[name] = server
        self.store.put('servers', name, server.row)
        return server

    def write_again(self) -> None:
        """Write what the store has lost since a copy of it was made."""
        self.store.put('op', 'config', _config(self.config_version))
        for name, server in self.servers.items():
            self.store.put('servers', name, server.row)
        for name in self.store.keys('servers'):
            if name not in self.servers:
                self.store.delete('servers', name)

    def drain_server(self, server: Server) -> None:
        """Mark a server as draining in the store; it keeps running."""
        server.drain_started_seconds = time.monotonic()
        self.store.put('servers', server.instance, server.row)

    def remove_server(self, server: Server) -> None:
        """Remove the row of a server that leaves; it keeps running."""
        server.drain_started_seconds = time.monotonic()
        self.store.delete('servers', server.instance)

    def ready_servers(self, service: str) -> list[Server]:
        """Return the servers of a service that are not draining."""
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and server.drain_started_seconds is None
        ]

    async def restart(
        self, router: RouterProcess, signum: signal.Signals
    ) -> None:
        """Stop a router with a signal and start it again.

        Does nothing while another fault is restarting the same router.
        """
        if router.is_restarting:
            return
        router.is_restarting = True
        try:
            await self._restart(router, signum)
        finally:
            router.is_restarting = False

    async def _restart(
        self, router: RouterProcess, signum: signal.Signals
    ) -> None:
        allowed = _exit_codes(signum, router.age_seconds)
        router.send_signal(signum)
        end_seconds = time.monotonic() + _STOP_TIMEOUT_SECONDS
        while router.is_running and time.monotonic() < end_seconds:
            self.record_fault_time()
            await curio.sleep(_POLL_SECONDS)
        name = router.endpoints.name
        if router.is_running:
            self.problems.append(
                f'{name} did not exit in time after {signum.name}'
            )
            router.kill()
        else:
            code = router.reap()
            if code not in allowed:
                self.problems.append(
                    f'{name}: unexpected exit code after {signum.name}: {code}'
                )
        router.start()

    async def _supervise(self) -> None:
        """Restart routers that exited while no fault was restarting them."""
        while True:
            await curio.sleep(_POLL_SECONDS)
            for router in self.routers:
                if not (router.is_running or router.is_restarting):
                    self._restart_exited(router)

    def _restart_exited(self, router: RouterProcess) -> None:
        is_interpreter_starting = (
            router.age_seconds < _INTERPRETER_START_SECONDS
        )
        code = router.reap()
        # Until its first statement, a process is killed by the SIGHUP of a
        # reload.
        if not (is_interpreter_starting and code == -signal.SIGHUP):
            self.problems.append(
                f'{router.endpoints.name} exited unexpectedly with code {code}'
            )
        router.start()

    async def is_ready(self, router: RouterProcess) -> bool:
        """Query the readiness endpoint of a router."""
        try:
            response = await fetch(
                router.endpoints.readiness_address,
                'GET',
                '/readiness',
                timeout_seconds=1,
            )
        except HttpError:
            return False
        return response.status == 200


def _exit_codes(signum: signal.Signals, age_seconds: float) -> set[int]:
    """Return the exit codes allowed after a signal, by the process age."""
    allowed = {0 if signum is signal.SIGTERM else -signum}
    if age_seconds < _HANDLER_SETUP_SECONDS:
        # The signal may arrive before the process installs its handler.
        allowed.add(-signum)
    if age_seconds < _INTERPRETER_START_SECONDS:
        # A reload may already have killed the process with SIGHUP.
        allowed.add(-signal.SIGHUP)
    return allowed


def _config(version: int) -> dict[str, Any]:
    def route(name: str, kind: str, service: str, **more: Any) -> Any:
        return {
            'name': name,
            'host': HOST,
            'prefix': f'/{name}/',
            'kind': kind,
            'timeout-ms': 4000,
            'slo-ms': 500,
            'split': [{'service': service, 'weight': 1}],
            'max-attempts': 2,
            'public': False,
        } | more

    return {
        'version': version,
        'routes': [
            route('lookup', 'idempotent', 'app'),
            route('booking', 'non_idempotent', 'app'),
            route('draft', 'streaming', 'model'),
            route('advice', 'streaming', 'model', resumable=True),
        ],
        'services': [
            {
                'name': 'model',
                'engine': {'slots': 64, 'kv-capacity-tokens': 289119},
            },
            {'name': 'app'},
        ],
        'limits': {'max-body-bytes': 10000, 'tokens-per-s': 160000},
        'tenants': [{'name': TENANT, 'api-keys': [KEY]}],
    }
