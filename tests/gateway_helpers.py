"""Helpers for tests: a gateway in this process, with servers on loopback."""

import contextlib
import functools
import itertools
import os
import socket
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

import curio

from dotterelhatch.core.registry import TargetEntry, TargetState
from dotterelhatch.core.routes import (
    EngineSpec,
    RequestLimits,
    RouteKind,
    RouteRule,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)
from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.settings import (
    GatewaySettings,
    LeavingSettings,
    RetryBudgetSettings,
)
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.net.http import HttpServer, Response, fetch
from dotterelhatch.platform.wire import PlatformWireFormat
from standins.server import ServerStandIn

MODEL = ServiceId('usta-model')
PLAIN = ServiceId('siparis-app')
HOST = 'hatch.example'
KEY = 'a-key'
DOMAIN = FailureDomain('konya')


# Below the ports that the system picks for outgoing connections and for
# listeners without a fixed port.
_FIRST_PORT = 11_000
_PORTS_COUNT = 8_000
_PORT_NUMBERS = itertools.count(os.getpid() * 97)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free; each call returns another one."""
    while True:
        port = _FIRST_PORT + next(_PORT_NUMBERS) % _PORTS_COUNT
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


def run_async(
    test: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Run an asynchronous test function, for at most 30 s."""

    @functools.wraps(test)
    def wrapper(*arguments: Any, **named: Any) -> None:
        async def bounded() -> None:
            await curio.timeout_after(30, test, *arguments, **named)

        curio.run(bounded)

    return wrapper


def gateway_settings(name: str = 'router-1', **changes: Any) -> GatewaySettings:
    """Return settings with free ports."""
    fields = {
        'router_id': RouterId(name),
        'failure_domain': DOMAIN,
        'region': 'anadolu',
        'caller_address': f'127.0.0.1:{free_port()}',
        'control_address': f'127.0.0.1:{free_port()}',
        'heartbeat_address': f'127.0.0.1:{free_port(socket.SOCK_DGRAM)}',
        'metrics_address': f'127.0.0.1:{free_port()}',
        'repeats': RetryBudgetSettings(slack_count=100),
        'leaving': LeavingSettings(address_ttl_seconds=0.1, limit_seconds=3),
    }
    return GatewaySettings(**(fields | changes))


def route(
    prefix: str, kind: RouteKind, service: ServiceId, **changes: Any
) -> RouteRule:
    """Return a route of the test host."""
    fields: dict[str, Any] = {
        'name': prefix,
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_seconds': 5.0,
        'objective_seconds': 0.5,
        'shares': (ServiceShare(service, 1.0),),
        'max_attempts_count': 2,
    }
    return RouteRule(**(fields | changes))


def routing_table(version: int = 1, **changes: Any) -> RoutingTable:
    """Return a table with a route of each kind."""
    routes = (
        route('/lookup/', RouteKind.IDEMPOTENT, PLAIN),
        route('/booking/', RouteKind.NON_IDEMPOTENT, PLAIN),
        route('/draft/', RouteKind.STREAMING, MODEL, max_attempts_count=1),
        route('/advice/', RouteKind.STREAMING, MODEL, is_resumable=True),
        route('/short/', RouteKind.NON_IDEMPOTENT, PLAIN, timeout_seconds=0.2),
        route('/public/', RouteKind.IDEMPOTENT, PLAIN, is_public=True),
    )
    fields: dict[str, Any] = {
        'version': ConfigVersion(version),
        'routes': routes,
        'services': {
            MODEL: ServiceSpec(MODEL, EngineSpec(64, 300_000)),
            PLAIN: ServiceSpec(PLAIN),
        },
        'limits': RequestLimits(),
        'organisations_by_key': {KEY: OrganisationId('usta-kazim')},
    }
    return RoutingTable(**(fields | changes))


@dataclass
class GatewayFixture:
    """A gateway and its servers, with the calls of a caller."""

    gateway: Gateway
    servers: dict[str, ServerStandIn] = field(default_factory=dict)

    @property
    def runs(self) -> list[str]:
        """Return the IDs of the requests that servers ran, once per run."""
        return [
            request_id
            for server in self.servers.values()
            for request_id in server.executed_ids
        ]

    async def call(
        self,
        path: str,
        request_id: str = 'r1',
        body: bytes = b'',
        **headers: str,
    ) -> Response:
        """Send a request and return the response."""
        sent = {
            'Host': HOST,
            'Dotterelhatch-Request-Id': request_id,
            'Dotterelhatch-Deadline-Ms': '4000',
            'Authorization': f'Bearer {KEY}',
        }
        sent |= {name.replace('_', '-'): text for name, text in headers.items()}
        return await fetch(
            self.gateway.settings.caller_address,
            'POST',
            path,
            tuple(sent.items()),
            body or b'{}',
            timeout_seconds=20,
        )

    async def stream(
        self,
        path: str,
        request_id: str = 'r1',
        parts: str = 'aa:600,bb:300',
        body: bytes = b'',
        **headers: str,
    ) -> Response:
        """Send a request with a prompt and return the response."""
        return await self.call(
            path,
            request_id,
            body,
            Dotterelhatch_Token_Counts='900,80',
            Dotterelhatch_Prompt_Prefix=parts,
            **headers,
        )


@contextlib.asynccontextmanager
async def open_gateway(
    *servers: tuple[ServiceId, ServerStandIn], table: RoutingTable | None = None
) -> AsyncIterator[GatewayFixture]:
    """Open a gateway with servers as its targets."""
    async with open_fleet(*servers, table=table, routers_count=1) as fixtures:
        yield fixtures[0]


@contextlib.asynccontextmanager
async def open_fleet(
    *servers: tuple[ServiceId, ServerStandIn],
    routers_count: int,
    table: RoutingTable | None = None,
    caller_hosts: Sequence[str] = (),
) -> AsyncIterator[list[GatewayFixture]]:
    """Open gateways that know each other, with servers as their targets.

    :param caller_hosts: where the routers listen for callers, all on the same
        host by default.
    """
    async with contextlib.AsyncExitStack() as stack:
        entries = []
        for service, stand_in in servers:
            server = HttpServer('127.0.0.1:0', stand_in)
            await stack.enter_async_context(server)
            stand_in.stop_accepting = server.stop_accepting
            entries.append(target(service, stand_in.instance, server.port))
        fixtures: list[GatewayFixture] = []
        for number in range(routers_count):
            seeds = tuple(
                fixture.gateway.settings.heartbeat_address
                for fixture in fixtures
            )
            host = caller_hosts[number] if caller_hosts else '127.0.0.1'
            settings = gateway_settings(
                f'router-{number + 1}',
                seed_addresses=seeds,
                caller_address=f'{host}:{free_port()}',
            )
            gateway = Gateway(settings, PlatformWireFormat())
            await stack.enter_async_context(gateway)
            gateway.state.apply_table(table or routing_table())
            gateway.state.apply_targets(entries, None)
            for document in ('op', 'servers'):
                gateway.on_source_response(document)
            stand_ins = {one.instance: one for _, one in servers}
            fixtures.append(GatewayFixture(gateway, stand_ins))
        yield fixtures


def target(service: ServiceId, name: str, port: int) -> TargetEntry:
    """Return the target entry of a server on loopback."""
    return TargetEntry(
        id=TargetId(name),
        service=service,
        address=f'127.0.0.1:{port}',
        failure_domain=DOMAIN,
        state=TargetState.READY,
        slots_count=6,
    )
