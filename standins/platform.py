"""Simulated platform: four services over HTTP/1.1 with content in memory.

Control endpoints, which are not subject to faults:

- ``PUT /faults``: a JSON object with the fields of ``FaultSettings``; fields
  that are left out are reset to their defaults.
- ``PUT /hosts``: the host list as a JSON array.
- ``PUT /weights/<model>/<version>``: the description of a model's weights.
"""

import signal
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Annotated, Any, Literal, Self
from urllib.parse import parse_qs, unquote, urlsplit

import curio
import h11
import typer
from curio.io import Socket
from pydantic import Field, ValidationError

from dotterelhatch.fleet import FrozenModel
from dotterelhatch.backing.interfaces import (
    Clock,
    PlatformError,
    RateLimited,
    Row,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from dotterelhatch.backing.memory import (
    Faults,
    MemoryHostList,
    MemoryObjectStore,
    MemoryTableService,
    MemoryWeightStore,
)
from dotterelhatch.backing.records import (
    HOST_LIST_ADAPTER,
    WEIGHTS_ADAPTER,
    RowRecord,
    ScanPage,
)

__all__ = ('FaultSettings', 'PlatformStandIn')

ServiceName = Literal['tables', 'objects', 'hosts', 'weights']

_SERVICES: tuple[ServiceName, ...] = ('tables', 'objects', 'hosts', 'weights')


class FaultSettings(FrozenModel):
    """Active faults of all services.

    :param services: the services that the faults apply to.
    :param down: calls get 503 and have no effect.
    :param slow_seconds: delay before a call takes effect, which it does even
        if the caller stops waiting.
    :param lose_write_answers: writes take effect, but the connection is closed
        without a response.
    :param silent: requests get no response; a connection that became silent
        stays so.
    :param calls_per_second: rate limit of each service.
    :param hosts_lag_seconds: age of the returned host list.
    """

    services: tuple[ServiceName, ...] = _SERVICES
    down: bool = False
    slow_seconds: float = Field(default=0, ge=0)
    lose_write_answers: bool = False
    silent: bool = False
    calls_per_second: dict[ServiceName, Annotated[float, Field(gt=0)]] = {}
    hosts_lag_seconds: float = Field(default=0, ge=0)

    def faults_for(self, service: ServiceName) -> Faults:
        """Return the faults of one service."""
        faults = Faults(
            calls_per_second=self.calls_per_second.get(service),
            lag_seconds=self.hosts_lag_seconds,
        )
        if service in self.services:
            faults.down = self.down
            faults.slow_seconds = self.slow_seconds
            faults.lose_write_answers = self.lose_write_answers
        return faults


class _Request:
    """A request that was read in full."""

    def __init__(self, head: h11.Request, body: bytes) -> None:
        self.method = head.method.decode('ascii')
        self.headers = {
            name.decode('ascii'): text.decode('latin-1')
            for name, text in head.headers
        }
        self.body = body
        url = urlsplit(head.target.decode('ascii'))
        self.parts = [unquote(part) for part in url.path.split('/')[1:]]
        self.query = {
            name: texts[0]
            for name, texts in parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }

    @property
    def route(self) -> tuple[str, str, int]:
        """Return the handler key: method, first segment, segment count."""
        return (self.method, self.parts[0], len(self.parts))

    @property
    def expected_revision(self) -> int | None:
        """Return the revision of the precondition, None without one.

        Zero means that the row must not exist.
        """
        if self.headers.get('if-none-match') == '*':
            return 0
        text = self.headers.get('if-match', '').strip('"')
        return int(text) if text.isdecimal() else None


class _Response:
    """A response; underscores in header names become hyphens."""

    def __init__(self, status: int, body: bytes = b'', **headers: str) -> None:
        self.status = status
        self.body = body
        self.headers = [
            (name.replace('_', '-'), text) for name, text in headers.items()
        ]


_Handler = Callable[['PlatformStandIn', _Request], Awaitable[_Response]]
_HANDLERS: dict[tuple[str, str, int], _Handler] = {}


def _route(
    method: str, first_part: str, parts_count: int
) -> Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        _HANDLERS[method, first_part, parts_count] = handler
        return handler

    return register


class PlatformStandIn:
    """Simulated platform, an asynchronous context manager."""

    def __init__(
        self, port: int = 0, host: str = '127.0.0.1', clock: Clock = time.time
    ) -> None:
        """Create a platform without rows, objects, hosts and weights."""
        self.tables = MemoryTableService(clock, curio.sleep)
        self.objects = MemoryObjectStore(clock, curio.sleep)
        self.hosts = MemoryHostList(clock, curio.sleep)
        self.weights = MemoryWeightStore(clock, curio.sleep)
        self.fault_settings = FaultSettings()
        self.port = port
        self._host = host
        self._group = curio.TaskGroup()
        self._listener: Socket | None = None

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self._host}:{self.port}'

    async def __aenter__(self) -> Self:
        """Start to listen and set ``port``."""
        self._listener = curio.tcp_server_socket(self._host, self.port)
        self.port = self._listener.getsockname()[1]
        self._server = await curio.spawn(self._accept, daemon=True)
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close the listener and all connections."""
        await self._server.cancel()
        await self._group.cancel_remaining()
        if self._listener is not None:
            await self._listener.close()

    def apply_faults(self, settings: FaultSettings) -> None:
        """Replace the active faults of all services."""
        self.fault_settings = settings
        self.tables.faults = settings.faults_for('tables')
        self.objects.faults = settings.faults_for('objects')
        self.hosts.faults = settings.faults_for('hosts')
        self.weights.faults = settings.faults_for('weights')

    async def _accept(self) -> None:
        assert self._listener is not None
        while True:
            connection, _address = await self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._group.spawn(self._serve, connection)

    async def _serve(self, connection: Socket) -> None:
        codec = h11.Connection(h11.SERVER)
        async with connection:
            with suppress(OSError, h11.ProtocolError, WriteOutcomeUnknown):
                while await self._serve_one(connection, codec):
                    codec.start_next_cycle()

    async def _serve_one(
        self, connection: Socket, codec: h11.Connection
    ) -> bool:
        request = await _read_request(connection, codec)
        if request is None:
            return False
        if self._is_silent(request):
            while await connection.recv(65_536):
                pass
            return False
        response = await self._respond(request)
        head = h11.Response(
            status_code=response.status,
            headers=[
                *response.headers,
                ('Content-Length', str(len(response.body))),
            ],
        )
        parts = (head, h11.Data(data=response.body), h11.EndOfMessage())
        encoded = [codec.send(part) or b'' for part in parts]
        await connection.sendall(b''.join(encoded))
        return codec.our_state is h11.DONE and codec.their_state is h11.DONE

    def _is_silent(self, request: _Request) -> bool:
        if _is_control(request):
            return False
        return (
            self.fault_settings.silent
            and request.parts[0] in self.fault_settings.services
        )

    async def _respond(self, request: _Request) -> _Response:
        handler = _HANDLERS.get(request.route)
        if handler is None:
            return _Response(404)
        try:
            return await handler(self, request)
        except RateLimited as limited:
            return _Response(
                429, Retry_After=f'{limited.retry_after_seconds:g}'
            )
        except StoreUnavailable as error:
            return _Response(503, str(error).encode())
        except WriteConflict as conflict:
            return _row_response(412, conflict.current)
        except ValidationError as error:
            return _Response(400, str(error).encode())


def _is_control(request: _Request) -> bool:
    return request.method == 'PUT' and request.parts[0] in {
        'faults',
        'hosts',
        'weights',
    }


async def _read_request(
    connection: Socket, codec: h11.Connection
) -> _Request | None:
    head: Any = None
    body = bytearray()
    while True:
        event = codec.next_event()
        if event is h11.NEED_DATA:
            codec.receive_data(await connection.recv(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body.extend(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return _Request(head, bytes(body))
        else:
            return None


def _row_response(status: int, row: Row | None) -> _Response:
    if row is None:
        return _Response(status)
    return _Response(status, row.content, ETag=f'"{row.revision}"')


@_route('GET', 'tables', 3)
async def _read_row(platform: PlatformStandIn, request: _Request) -> _Response:
    row = await platform.tables.read(*request.parts[1:])
    return _row_response(404 if row is None else 200, row)


@_route('PUT', 'tables', 3)
async def _write_row(platform: PlatformStandIn, request: _Request) -> _Response:
    revision = request.expected_revision
    if revision is None:
        return _Response(428)
    table, key = request.parts[1:]
    row = await platform.tables.write(table, key, request.body, revision)
    return _Response(200, ETag=f'"{row.revision}"')


@_route('DELETE', 'tables', 3)
async def _delete_row(
    platform: PlatformStandIn, request: _Request
) -> _Response:
    revision = request.expected_revision
    if revision is None:
        return _Response(428)
    table, key = request.parts[1:]
    await platform.tables.delete(table, key, revision)
    return _Response(200)


@_route('GET', 'tables', 2)
async def _scan_rows(platform: PlatformStandIn, request: _Request) -> _Response:
    limit = request.query.get('limit', '')
    rows = await platform.tables.scan(
        request.parts[1],
        request.query.get('prefix', ''),
        request.query.get('after', ''),
        int(limit) if limit.isdecimal() else None,
    )
    page = ScanPage(rows=tuple(RowRecord.from_row(row) for row in rows))
    return _Response(200, page.model_dump_json().encode())


@_route('GET', 'objects', 2)
async def _read_object(
    platform: PlatformStandIn, request: _Request
) -> _Response:
    content = await platform.objects.get(request.parts[1])
    return _Response(404) if content is None else _Response(200, content)


@_route('PUT', 'objects', 2)
async def _put_object(
    platform: PlatformStandIn, request: _Request
) -> _Response:
    try:
        await platform.objects.put(request.parts[1], request.body)
    except StoreUnavailable:
        raise
    except PlatformError as error:
        return _Response(409, str(error).encode())
    return _Response(200)


@_route('GET', 'hosts', 1)
async def _read_hosts(
    platform: PlatformStandIn, request: _Request
) -> _Response:
    hosts = await platform.hosts.read_hosts()
    return _Response(200, HOST_LIST_ADAPTER.dump_json(tuple(hosts)))


@_route('PUT', 'hosts', 1)
async def _set_hosts(platform: PlatformStandIn, request: _Request) -> _Response:
    platform.hosts.set_hosts(HOST_LIST_ADAPTER.validate_json(request.body))
    return _Response(200)


@_route('GET', 'weights', 3)
async def _read_weights(
    platform: PlatformStandIn, request: _Request
) -> _Response:
    info = await platform.weights.describe(*request.parts[1:])
    return (
        _Response(404)
        if info is None
        else _Response(200, WEIGHTS_ADAPTER.dump_json(info))
    )


@_route('PUT', 'weights', 3)
async def _add_weights(
    platform: PlatformStandIn, request: _Request
) -> _Response:
    platform.weights.add(WEIGHTS_ADAPTER.validate_json(request.body))
    return _Response(200)


@_route('PUT', 'faults', 1)
async def _set_faults(
    platform: PlatformStandIn, request: _Request
) -> _Response:
    platform.apply_faults(FaultSettings.model_validate_json(request.body))
    return _Response(200)


async def _run(host: str, port: int) -> None:
    wake_reader, wake_writer = socket.socketpair()
    wake_writer.setblocking(False)
    signal.set_wakeup_fd(wake_writer.fileno())
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _ignore_signal)
    async with PlatformStandIn(port, host) as platform:
        print(f'platform stand-in on port {platform.port}', flush=True)
        async with Socket(wake_reader) as wake:
            await wake.recv(1)
    signal.set_wakeup_fd(-1)
    wake_writer.close()


def _ignore_signal(signum: int, frame: object) -> None:
    """Do nothing; the wakeup file descriptor reports the signal."""


def _main(
    port: Annotated[int, typer.Option(help='0 selects a free port.')] = 0,
    host: Annotated[str, typer.Option(help='Address to listen on.')] = (
        '127.0.0.1'
    ),
) -> None:
    """Run the simulated platform until SIGTERM."""
    curio.run(_run, host, port)


if __name__ == '__main__':
    typer.run(_main)
