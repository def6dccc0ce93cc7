"""Measures the processor time that a router needs for each kind of request.

One router process runs on loopback with its targets and its callers in other
processes. Each kind of request gets a router process of its own, whose
processor time is divided by the number of requests. Parsing of a request and
encoding of a rejection by h11 alone are measured in this process.
"""

import contextlib
import enum
import json
import multiprocessing
import os
import random
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Annotated, Any, Final

import curio
import h11
import typer

from dotterelhatch.core.load import TargetLoad
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
from dotterelhatch.gateway.decisions import configure_gateway_logging
from dotterelhatch.gateway.lag import LoopLag
from dotterelhatch.gateway.settings import GatewaySettings
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.net.http import HttpServer
from dotterelhatch.platform.wire import PlatformWireFormat
from standins.server import ServerStandIn

__all__ = ('main',)

_HOST: Final = 'hatch.example'
_KEY: Final = 'asnmgkcuyj8pjbvk9m68'
_ORGANISATION: Final = OrganisationId('usta-kazim')
_DOMAIN: Final = FailureDomain('konya')
_MODEL: Final = ServiceId('usta-model')
_PLAIN: Final = ServiceId('siparis-app')
_STREAM_PATH: Final = '/draft/1'
_PLAIN_PATH: Final = '/lookup/1'
_TARGETS_COUNT: Final = 24
_EVENT_SECONDS: Final = 0.01
_SERVED_STATUS: Final = 200
_OVERLOADED_STATUS: Final = 503
_QUEUE_FULL_STATUS: Final = 429
# Outcome of a connection that is closed without a response.
_UNREAD: Final = 0
# More than the connections above the limit that get a response.
_HELD_CONNECTIONS_COUNT: Final = 80
# The router closes held connections that it has rejected after 2 s.
_HELD_REQUESTS_COUNT: Final = 400
_WARM_UP_COUNT: Final = 200
_WARM_UP_WAIT_SECONDS: Final = 1.0
_TIMEOUT_SECONDS: Final = 30.0
_READ_BYTES: Final = 65_536
_NANOSECONDS_PER_SECOND: Final = 1_000_000_000
_MICROSECONDS_PER_SECOND: Final = 1_000_000


class _RouterState(enum.Enum):
    """What the measured router lacks.

    NOTHING: it serves all requests. PROCESSOR: its event loop lags.
    TARGETS: the queues of its targets are full. CONNECTIONS: it accepts one
    connection, which is in use.
    """

    NOTHING = 'nothing'
    PROCESSOR = 'processor'
    TARGETS = 'targets'
    CONNECTIONS = 'connections'


@dataclass(frozen=True)
class _Scenario:
    """One kind of request and how it ends.

    :param is_kept: whether each connection carries many requests.
    :param callers_count: requests at the same time.
    :param held_count: open connections beside those of the requests.
    """

    name: str
    path: str
    status: int
    router_state: _RouterState = _RouterState.NOTHING
    is_kept: bool = True
    events_count: int = 1
    callers_count: int = 8
    held_count: int = 0


_STREAM: Final = _Scenario(
    'served, stream of 10 events',
    _STREAM_PATH,
    _SERVED_STATUS,
    events_count=10,
    callers_count=48,
)
_OVERLOADED: Final = _Scenario(
    'rejected, router_overloaded',
    _STREAM_PATH,
    _OVERLOADED_STATUS,
    _RouterState.PROCESSOR,
)
_QUEUE_FULL: Final = _Scenario(
    'rejected, queue_full',
    _STREAM_PATH,
    _QUEUE_FULL_STATUS,
    _RouterState.TARGETS,
)
_NEW_CONNECTION: Final = ', new connection'
_SCENARIOS: Final = (
    _STREAM,
    replace(_STREAM, name=f'{_STREAM.name}{_NEW_CONNECTION}', is_kept=False),
    replace(_STREAM, name='served, stream of 47 events', events_count=47),
    _Scenario('served, plain', _PLAIN_PATH, _SERVED_STATUS),
    _OVERLOADED,
    replace(
        _OVERLOADED,
        name=f'{_OVERLOADED.name}{_NEW_CONNECTION}',
        is_kept=False,
    ),
    _QUEUE_FULL,
    replace(
        _QUEUE_FULL,
        name=f'{_QUEUE_FULL.name}{_NEW_CONNECTION}',
        is_kept=False,
    ),
    _Scenario(
        'rejected, connection limit',
        _STREAM_PATH,
        _OVERLOADED_STATUS,
        _RouterState.CONNECTIONS,
        is_kept=False,
        held_count=1,
    ),
    _Scenario(
        'connection closed unread',
        _STREAM_PATH,
        _UNREAD,
        _RouterState.CONNECTIONS,
        is_kept=False,
        held_count=_HELD_CONNECTIONS_COUNT,
    ),
)


class _ConstantLag(LoopLag):
    """A lag that does not depend on the load of the machine."""

    def __init__(self, seconds: float) -> None:
        super().__init__()
        self.seconds = seconds

    def record(self, lag_seconds: float) -> None:
        """Keep the lag."""


def _free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def _router_settings(router_state: _RouterState) -> GatewaySettings:
    limits: dict[str, Any] = {}
    if router_state is _RouterState.CONNECTIONS:
        limits['descriptors_limit_count'] = 1
    return GatewaySettings(
        router_id=RouterId('router-1'),
        failure_domain=_DOMAIN,
        region='anadolu',
        caller_address=f'127.0.0.1:{_free_port()}',
        control_address=f'127.0.0.1:{_free_port()}',
        heartbeat_address=f'127.0.0.1:{_free_port(socket.SOCK_DGRAM)}',
        metrics_address=f'127.0.0.1:{_free_port()}',
        **limits,
    )


def _route(path: str, kind: RouteKind, service: ServiceId) -> RouteRule:
    return RouteRule(
        name=path,
        host=_HOST,
        path_prefix=path,
        kind=kind,
        timeout_seconds=10.0,
        objective_seconds=2.0,
        shares=(ServiceShare(service, 1.0),),
        max_attempts_count=1,
    )


def _routing_table() -> RoutingTable:
    return RoutingTable(
        version=ConfigVersion(1),
        routes=(
            _route('/draft/', RouteKind.STREAMING, _MODEL),
            _route('/lookup/', RouteKind.IDEMPOTENT, _PLAIN),
        ),
        services={
            _MODEL: ServiceSpec(_MODEL, EngineSpec(64, 300_000)),
            _PLAIN: ServiceSpec(_PLAIN),
        },
        limits=RequestLimits(),
        organisations_by_key={_KEY: _ORGANISATION},
    )


def _target_entries(port: int) -> list[TargetEntry]:
    return [
        TargetEntry(
            id=TargetId(f'{service}-{number}'),
            service=service,
            address=f'127.0.0.1:{port}',
            failure_domain=_DOMAIN,
            state=TargetState.READY,
            slots_count=64,
        )
        for service in (_MODEL, _PLAIN)
        for number in range(_TARGETS_COUNT)
    ]


def _run_target(events_count: int, pipe: Connection) -> None:
    """Serve streams and plain requests until the process is ended."""

    async def serve() -> None:
        stand_in = ServerStandIn(
            'i-1', events_count=events_count, event_seconds=_EVENT_SECONDS
        )
        async with HttpServer('127.0.0.1:0', stand_in) as server:
            pipe.send(server.port)
            await curio.Event().wait()

    curio.run(serve)


def _run_router(
    settings: GatewaySettings,
    router_state: _RouterState,
    target_port: int,
    pipe: Connection,
) -> None:
    """Run a router until the process is ended."""

    async def serve() -> None:
        gateway = Gateway(settings, PlatformWireFormat(), handler)
        state = gateway.state
        is_lagging = router_state is _RouterState.PROCESSOR
        state.loop_lag = _ConstantLag(_TIMEOUT_SECONDS if is_lagging else 0)
        async with gateway:
            entries = _target_entries(target_port)
            state.apply_table(_routing_table())
            state.apply_targets(entries, None)
            if router_state is _RouterState.TARGETS:
                full = TargetLoad(requests_count=1000, unread_tokens=10**7)
                for entry in entries:
                    state.load_tracker.start(entry.id, full, state.clock())
            pipe.send(None)
            while True:
                for document in ('op', 'servers'):
                    gateway.on_source_response(document)
                await curio.sleep(1)

    sink = os.open(os.devnull, os.O_WRONLY)
    os.dup2(sink, sys.stdout.fileno())
    handler = configure_gateway_logging(settings)
    curio.run(serve)


@contextlib.contextmanager
def _process(*arguments: Any) -> Iterator[tuple[Any, Any]]:
    """Run a function in a process; yield the process and its first message."""
    context = multiprocessing.get_context('spawn')
    receiver, sender = context.Pipe(duplex=False)
    function, *rest = arguments
    process = context.Process(target=function, args=(*rest, sender))
    process.start()
    try:
        if not receiver.poll(_TIMEOUT_SECONDS):
            raise TimeoutError('a process did not start in time')
        yield process, receiver.recv()
    finally:
        process.terminate()
        process.join()


def _processor_seconds(pid: int) -> float:
    """Return the processor time that the main thread has used."""
    running_text = Path(f'/proc/{pid}/schedstat').read_text()
    return int(running_text.split()[0]) / _NANOSECONDS_PER_SECOND


def _encode_request(path: str, body: bytes) -> bytes:
    headers = [
        f'POST {path} HTTP/1.1',
        f'Host: {_HOST}',
        'Dotterelhatch-Request-Id: 9c41d07be2a35f68',
        'Dotterelhatch-Deadline-Ms: 5000',
        f'Authorization: Bearer {_KEY}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
    ]
    if path == _STREAM_PATH:
        headers += [
            'Dotterelhatch-Model: m',
            'Dotterelhatch-Token-Counts: 1460,80',
            'Dotterelhatch-Prompt-Prefix: '
            '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
        ]
    return '\r\n'.join((*headers, '', '')).encode() + body


class _Caller:
    """Sends requests one after the other.

    :param scenario: how the requests are sent.
    :param address: of the router.
    :param request: the encoded request.
    """

    def __init__(
        self, scenario: _Scenario, address: tuple[str, int], request: bytes
    ) -> None:
        """Start without a connection."""
        self.statuses: Counter[int] = Counter()
        self._scenario = scenario
        self._address = address
        self._request = request
        self._sock: socket.socket | None = None

    def run(self, count: int) -> None:
        """Send requests and count the statuses of the responses."""
        for _ in range(count):
            self.statuses[self._send()] += 1
        self._close()

    def _send(self) -> int:
        """Send a request; return the status, 0 if there is no response."""
        sock = self._sock or socket.create_connection(
            self._address, _TIMEOUT_SECONDS
        )
        self._sock = sock
        response = _exchange(sock, self._request)
        if not self._scenario.is_kept or _is_closing(response):
            self._close()
        if not response:
            return _UNREAD
        return int(response.split(maxsplit=2)[1])

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None


def _exchange(sock: socket.socket, request: bytes) -> bytes:
    """Send a request; return the response, empty without a complete one."""
    response = b''
    try:
        sock.sendall(request)
        while not _is_complete(response):
            received = sock.recv(_READ_BYTES)
            if not received:
                return b''
            response += received
    except ConnectionError:
        return b''
    return response


def _is_closing(response: bytes) -> bool:
    return not response or b'connection: close' in response.lower()


def _is_complete(response: bytes) -> bool:
    head, separator, body = response.partition(b'\r\n\r\n')
    if not separator:
        return False
    _, found, rest = head.lower().partition(b'content-length:')
    if found:
        return len(body) >= int(rest.split(maxsplit=1)[0])
    return body.endswith(b'0\r\n\r\n')


def _send_requests(
    scenario: _Scenario, address: tuple[str, int], request: bytes, count: int
) -> Counter[int]:
    callers = [
        _Caller(scenario, address, request)
        for _ in range(scenario.callers_count)
    ]
    each_count = max(1, count // scenario.callers_count)
    threads = [
        threading.Thread(target=caller.run, args=(each_count,))
        for caller in callers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses: Counter[int] = Counter()
    for caller in callers:
        statuses.update(caller.statuses)
    return statuses


@contextlib.contextmanager
def _held_connections(count: int, address: tuple[str, int]) -> Iterator[None]:
    """Keep connections open on which the head of a request is incomplete."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            sock = socket.create_connection(address, _TIMEOUT_SECONDS)
            stack.enter_context(sock)
            sock.sendall(b'POST ')
            time.sleep(0.001)
        yield


class _Measurement:
    """Requests of one kind and what they cost the router.

    :param scenario: the kind of request.
    :param address: of the router.
    :param request: the encoded request.
    """

    def __init__(
        self, scenario: _Scenario, address: tuple[str, int], request: bytes
    ) -> None:
        """Start without requests."""
        self._scenario = scenario
        self._address = address
        self._request = request
        self._statuses: Counter[int] = Counter()
        self._processor_seconds = 0.0
        self._elapsed_seconds = 0.0

    def run(self, pid: int, count: int) -> None:
        """Send requests to the router process and measure it."""
        self._send(_WARM_UP_COUNT)
        time.sleep(_WARM_UP_WAIT_SECONDS)
        held_count = self._scenario.held_count
        round_count = min(count, _HELD_REQUESTS_COUNT) if held_count else count
        for _ in range(count // round_count):
            with _held_connections(held_count, self._address):
                self._measure_round(pid, round_count)

    def result(self) -> dict[str, Any]:
        """Return the processor time per request and facts about the run."""
        requests_count = self._statuses.total()
        return {
            'request': self._scenario.name,
            'processor_ms': round(
                self._processor_seconds / requests_count * 1000, 3
            ),
            'requests_count': requests_count,
            'statuses': dict(self._statuses),
            'per_second': round(requests_count / self._elapsed_seconds),
            'processor_share': round(
                self._processor_seconds / self._elapsed_seconds, 2
            ),
        }

    def _measure_round(self, pid: int, count: int) -> None:
        started_seconds = time.perf_counter()
        used_seconds = _processor_seconds(pid)
        self._statuses += self._send(count)
        self._processor_seconds += _processor_seconds(pid) - used_seconds
        self._elapsed_seconds += time.perf_counter() - started_seconds

    def _send(self, count: int) -> Counter[int]:
        return _send_requests(
            self._scenario, self._address, self._request, count
        )


def _measure(scenario: _Scenario, count: int, request: bytes) -> dict[str, Any]:
    settings = _router_settings(scenario.router_state)
    host, _, port = settings.caller_address.rpartition(':')
    measurement = _Measurement(scenario, (host, int(port)), request)
    with (
        _process(_run_target, scenario.events_count) as (_, target_port),
        _process(_run_router, settings, scenario.router_state, target_port) as (
            router,
            _,
        ),
    ):
        measurement.run(router.pid, count)
    return measurement.result()


def _parse(request: bytes) -> h11.Connection:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(request)
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        """Skip the parts of the body."""
    return connection


def _parse_and_reject(request: bytes) -> None:
    connection = _parse(request)
    headers = [
        ('Content-Type', 'application/problem+json'),
        ('Retry-After', '0.2'),
        ('Content-Length', '0'),
    ]
    connection.send(
        h11.Response(status_code=_OVERLOADED_STATUS, headers=headers)
    )
    connection.send(h11.EndOfMessage())


def _measure_parsing(count: int, request: bytes) -> dict[str, Any]:
    results: dict[str, Any] = {}
    for name, step in (
        ('parse_ms', _parse),
        ('parse_and_reject_ms', _parse_and_reject),
    ):
        started_seconds = time.process_time()
        for _ in range(count):
            step(request)
        used_seconds = time.process_time() - started_seconds
        results[name] = round(used_seconds / count * 1000, 3)
    return {'request': 'h11 alone', **results}


def main(
    requests: Annotated[
        int, typer.Option(min=100, help='Rejected requests of each kind.')
    ] = 6000,
    served: Annotated[
        int, typer.Option(min=100, help='Served requests of each kind.')
    ] = 2000,
    body_bytes: Annotated[
        int, typer.Option(min=0, help='Size of the body of a request.')
    ] = 9000,
    only: Annotated[
        str, typer.Option(help='Measure kinds with this text in their name.')
    ] = '',
) -> None:
    """Print the processor time of a router for each kind of request.

    Each line has the processor time of the router process per request, the
    number of requests by status, 0 if closed unread, their rate and the share
    of a core that the router used.
    """
    body = random.Random(1).randbytes(body_bytes)
    request = _encode_request(_STREAM_PATH, body)
    if only in 'h11 alone':
        print(json.dumps(_measure_parsing(requests, request)), flush=True)
    for scenario in _SCENARIOS:
        if only not in scenario.name:
            continue
        is_served = scenario.status == _SERVED_STATUS
        result = _measure(
            scenario,
            served if is_served else requests,
            _encode_request(scenario.path, body),
        )
        print(json.dumps(result), flush=True)


if __name__ == '__main__':
    typer.run(main)
