"""Base of the simulated targets: faults, journal and life cycle."""

import json
import signal
import socket
import sys
import uuid
import weakref
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Final, Self

import curio
from pydantic import Field, ValidationError

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.fleet import FrozenModel
from dotterelhatch.net.http import (
    DisconnectError,
    Headers,
    HttpLimits,
    HttpServer,
    Response,
    ServerExchange,
)

__all__ = (
    'Faults',
    'Journal',
    'JournalEntry',
    'RequestHandler',
    'TargetStandIn',
    'json_response',
    'run_until_stopped',
)

_MAX_BODY_BYTES: Final = 128 * 1024 * 1024
_MAX_JOURNAL_ENTRIES_COUNT: Final = 200_000
_LIMITS: Final = HttpLimits(
    idle_timeout_seconds=120, max_connections_count=20_000
)
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


class Faults(FrozenModel):
    """Active faults; ``PUT /faults`` replaces all of them.

    :param down: open connections are closed and new ones refused.
    :param slow_factor: multiplies service times and step times.
    :param silent: connections are accepted, but requests get no response. A
        connection that became silent stays so after the fault is cleared.
    :param freeze_open: connections that are open now become silent; new ones
        work.
    :param truncate: responses are cut off in the middle.
    :param omit_marker: streams are complete but lack their end marker.
    :param wrong_id: responses echo another request id.
    :param every_count: truncate and wrong_id apply to every n-th response.
    :param crash_marker: a request whose body contains this text simulates a
        crash: all connections are closed and the instance id changes.
    :param crash_seconds: how long connections are refused after a crash.
    :param pause_seconds: requests are rejected with 503 and this value in
        ``Retry-After``; none are rejected if it is 0.
    :param check_fencing: ``POST /orders`` rejects outdated fencing tokens.
    """

    down: bool = False
    slow_factor: float = Field(default=1.0, gt=0)
    silent: bool = False
    freeze_open: bool = False
    truncate: bool = False
    omit_marker: bool = False
    wrong_id: bool = False
    every_count: int = Field(default=1, ge=1)
    crash_marker: str | None = Field(default=None, min_length=1)
    crash_seconds: float = Field(default=2.0, ge=0)
    pause_seconds: float = Field(default=0, ge=0)
    check_fencing: bool = True


class JournalEntry:
    """One executed request; the attributes are the keys of its JSON form.

    :param key: idempotency key of the request.
    :param digest: SHA-256 digest of the request body, hexadecimal.
    :param instance: id of the instance that executed it.
    """

    def __init__(
        self, exchange: ServerExchange, digest: str, instance: str
    ) -> None:
        """Record the request as running."""
        self.request_id = exchange.head.header('X-Request-Id') or ''
        self.key = exchange.head.header('Idempotency-Key')
        self.method = exchange.head.method
        self.path = exchange.head.path
        self.digest = digest
        self.instance = instance
        self.outcome = 'running'

    def as_dict(self) -> dict[str, str | None]:
        """Return the entry as a JSON object."""
        return dict(vars(self))


class Journal:
    """The latest executed requests; survives simulated crashes."""

    def __init__(self) -> None:
        """Create an empty journal."""
        self._entries: deque[JournalEntry] = deque(
            maxlen=_MAX_JOURNAL_ENTRIES_COUNT
        )
        self.executions_count = 0

    def begin(self, entry: JournalEntry) -> None:
        """Add a request when its execution starts."""
        self._entries.append(entry)
        self.executions_count += 1

    def as_dict(self) -> dict[str, Any]:
        """Return the journal as a JSON object."""
        entries = [entry.as_dict() for entry in self._entries]
        return {
            'runs_count': self.executions_count,
            'request_ids': [entry['request_id'] for entry in entries],
            'writes': [
                entry
                for entry in entries
                if entry['method'] not in _SAFE_METHODS
            ],
        }


RequestHandler = Callable[
    ['TargetStandIn', ServerExchange, bytes], Awaitable[None]
]


class TargetStandIn:
    """A simulated target with a service port and a control port.

    Both ports serve the administrative paths; the control port also works
    while the service port is down or silent.

    :param handle_request: executes one request, given its body.
    :param report_load: returns the document of ``GET /load``.
    """

    def __init__(
        self,
        handle_request: RequestHandler,
        report_load: Callable[[], dict[str, Any]],
        port: int = 0,
        control_port: int = 0,
        host: str = '127.0.0.1',
    ) -> None:
        """Reserve the ports; nothing listens yet."""
        self.faults = Faults()
        self.journal = Journal()
        self.host = host
        self._handle_request = handle_request
        self._report_load = report_load
        self.instance = _generate_instance_id()
        self._reserved_socket = _reserve_port(host, port)
        self.port = int(self._reserved_socket.getsockname()[1])
        self._control_server = HttpServer(
            f'{host}:{control_port}', self._handle_control_request, _LIMITS
        )
        self._connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self._silent_connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self.rejections_count = 0
        self._responses_count = 0
        self._highest_fencing_token = 0
        self._orders: list[dict[str, Any]] = []
        self._listening = curio.Event()
        self._restart_requested = curio.Event()
        self._faults_changed = curio.Event()
        self._restart_delay_seconds = 0.0
        self._supervisor: Any = None

    async def __aenter__(self) -> Self:
        """Listen on both ports."""
        await self._control_server.__aenter__()
        self._supervisor = await curio.spawn(self._supervise, daemon=True)
        await self._listening.wait()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close all connections and both ports."""
        await self._supervisor.cancel()
        await self._control_server.__aexit__(None, None, None)
        self._reserved_socket.close()

    @property
    def address(self) -> str:
        """Return the address of the service port."""
        return f'{self.host}:{self.port}'

    @property
    def control_address(self) -> str:
        """Return the address of the control port."""
        return f'{self.host}:{self._control_server.port}'

    async def set_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults = faults
        if faults.freeze_open:
            self._silent_connections.update(self._connections)
        await self._faults_changed.set()
        if faults.down:
            await self._restart_requested.set()

    async def send_json(
        self, exchange: ServerExchange, status: int, document: Any
    ) -> None:
        """Send a JSON response with the echoed request id and active faults."""
        response = json_response(status, document)
        headers = (*response.headers, *self.echo_headers(exchange))
        if not self.should_truncate():
            await exchange.send(Response(status, headers, response.body))
            return
        length = ('Content-Length', str(len(response.body)))
        await exchange.start_stream(status, (*headers, length))
        await exchange.send_chunk(response.body[: len(response.body) // 2])
        raise DisconnectError('response truncated by a fault')

    def echo_headers(self, exchange: ServerExchange) -> Headers:
        """Return the headers that echo the request id; counts the response."""
        self._responses_count += 1
        request_id = exchange.head.header('X-Request-Id')
        if request_id is None:
            return ()
        if self.faults.wrong_id and self._is_fault_due():
            request_id = f'{request_id}-other'
        return (('X-Request-Id', request_id),)

    def should_truncate(self) -> bool:
        """Return whether the latest response is to be truncated."""
        return self.faults.truncate and self._is_fault_due()

    async def hang_if_silent(
        self,
        exchange: ServerExchange,
        wait_disconnect: Callable[[], Awaitable[Any]] | None = None,
    ) -> None:
        """Wait until the caller disconnects if the connection is silent.

        :param wait_disconnect: replaces the wait on the exchange while
            another task reads the connection.
        :raises DisconnectError: after a silent connection was closed.
        """
        connection = exchange._connection
        if self.faults.silent:
            self._silent_connections.add(connection)
        if connection in self._silent_connections:
            await (wait_disconnect or exchange.wait_disconnect)()
            raise DisconnectError(
                'the caller closed a connection silenced by a fault'
            )

    def _is_fault_due(self) -> bool:
        return self._responses_count % self.faults.every_count == 0

    async def _supervise(self) -> None:
        while True:
            async with HttpServer(
                self.address, self._handle_service_request, _LIMITS
            ):
                await self._listening.set()
                await self._restart_requested.wait()
            self._listening.clear()
            self._restart_requested.clear()
            await curio.sleep(self._restart_delay_seconds)
            self._restart_delay_seconds = 0.0
            while self.faults.down:
                self._faults_changed.clear()
                await self._faults_changed.wait()

    async def _crash(self) -> None:
        self.instance = _generate_instance_id()
        self._restart_delay_seconds = self.faults.crash_seconds
        await self._restart_requested.set()

    async def _handle_service_request(self, exchange: ServerExchange) -> None:
        self._connections.add(exchange._connection)
        await self.hang_if_silent(exchange)
        body = await exchange.read_body(_MAX_BODY_BYTES)
        if await self._handle_admin_request(exchange, body):
            return
        if self.faults.pause_seconds:
            await self._send_pause(exchange)
            return
        marker = self.faults.crash_marker
        if marker is not None and marker.encode() in body:
            await self._crash()
            # The supervisor closes the server, which cancels this task.
            await exchange.wait_disconnect()
        await self._handle_request(self, exchange, body)

    async def _send_pause(self, exchange: ServerExchange) -> None:
        self.rejections_count += 1
        headers = (
            *self.echo_headers(exchange),
            ('Retry-After', f'{self.faults.pause_seconds:g}'),
        )
        await exchange.send(Response(503, headers, b''))

    async def _handle_control_request(self, exchange: ServerExchange) -> None:
        body = await exchange.read_body(_MAX_BODY_BYTES)
        if not await self._handle_admin_request(exchange, body):
            raise DotterelhatchError(ErrorKind.NOT_FOUND, exchange.head.path)

    async def _handle_admin_request(
        self, exchange: ServerExchange, body: bytes
    ) -> bool:
        request = (exchange.head.method, exchange.head.path)
        documents: dict[tuple[str, str], Callable[[], Any]] = {
            ('GET', '/health'): lambda: {'instance': self.instance},
            ('GET', '/load'): self._report_load,
            ('GET', '/journal'): self.journal.as_dict,
            ('GET', '/faults'): lambda: self.faults.model_dump(),
            ('GET', '/orders'): lambda: {'orders': self._orders},
        }
        if request in documents:
            response = json_response(200, documents[request]())
        elif request == ('PUT', '/faults'):
            response = await self._put_faults(body)
        elif request == ('POST', '/orders'):
            response = self._accept_order(body)
        else:
            return False
        await exchange.send(response)
        return True

    async def _put_faults(self, body: bytes) -> Response:
        try:
            faults = Faults.model_validate_json(body)
        except ValidationError as error:
            raise DotterelhatchError(
                ErrorKind.BAD_REQUEST, str(error)
            ) from error
        await self.set_faults(faults)
        return json_response(200, faults.model_dump())

    def _accept_order(self, body: bytes) -> Response:
        order = parse_object(body)
        fencing_token = order.get('fencing')
        if not isinstance(fencing_token, int):
            raise DotterelhatchError(
                ErrorKind.BAD_REQUEST, 'fencing must be an integer'
            )
        if (
            self.faults.check_fencing
            and fencing_token < self._highest_fencing_token
        ):
            return json_response(
                409, {'highest_fencing': self._highest_fencing_token}
            )
        self._highest_fencing_token = max(
            fencing_token, self._highest_fencing_token
        )
        self._orders.append(order)
        return json_response(
            200, {'highest_fencing': self._highest_fencing_token}
        )


def json_response(status: int, document: Any) -> Response:
    """Return a response with a JSON document."""
    headers: Headers = (('Content-Type', 'application/json'),)
    return Response(status, headers, json.dumps(document).encode())


def parse_object(body: bytes) -> dict[str, Any]:
    """Parse a request body that holds a JSON object.

    :raises DotterelhatchError: BAD_REQUEST if it holds something else.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise DotterelhatchError(ErrorKind.BAD_REQUEST, str(error)) from error
    if not isinstance(document, dict):
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST, 'request body is not a JSON object'
        )
    return document


async def run_until_stopped(stand_in: TargetStandIn) -> None:
    """Serve until SIGTERM or SIGINT; print a line of JSON when ready."""
    reader, writer = socket.socketpair()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: writer.send(b'.'))
    async with stand_in, curio.io.Socket(reader) as stop_reader:
        ready = {
            'port': stand_in.port,
            'control': stand_in.control_address,
            'instance': stand_in.instance,
        }
        sys.stdout.write(f'{json.dumps(ready)}\n')
        sys.stdout.flush()
        await stop_reader.recv(1)


def _generate_instance_id() -> str:
    # Not seeded: a restarted process must be another instance.
    return uuid.uuid4().hex


def _reserve_port(host: str, port: int) -> socket.socket:
    """Bind without listening to keep the port while the server is down."""
    reserved_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved_socket.bind((host, port))
    return reserved_socket
