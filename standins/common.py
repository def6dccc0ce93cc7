"""Parts that the simulated targets share: faults, journal and life cycle."""

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
_JOURNAL_COUNT: Final = 200_000
_LIMITS: Final = HttpLimits(
    idle_timeout_seconds=120, max_connections_count=20_000
)
_READING_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


class Faults(FrozenModel):
    """Faults that are in force; ``PUT /faults`` replaces all of them.

    :param down: connections are broken and new ones refused.
    :param slow_factor: multiplies service and step times.
    :param silent: connections are accepted and never answered. An exchange
        that went silent stays so after the fault is lifted.
    :param freeze_open: the connections open now go silent, new ones work.
    :param truncate: responses break off in the middle.
    :param omit_marker: streams end properly without their end marker.
    :param wrong_id: another request id is echoed.
    :param every_count: truncate and wrong_id apply to every n-th response.
    :param crash_marker: a request body with this text breaks all connections.
    :param crash_seconds: how long connections are refused after a crash.
    :param check_fencing: orders with an old fencing number are refused.
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
    check_fencing: bool = True


class JournalEntry:
    """One request that was run.

    :param request_id: as received.
    :param key: its idempotency key.
    :param digest: SHA-256 digest of its body, hexadecimal.
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
        """Return the entry for JSON."""
        return dict(vars(self))


class Journal:
    """The latest requests that were run; kept over simulated crashes."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: deque[JournalEntry] = deque(maxlen=_JOURNAL_COUNT)
        self.runs_count = 0

    def begin(self, entry: JournalEntry) -> None:
        """Add a request at the moment its execution starts."""
        self._entries.append(entry)
        self.runs_count += 1

    def as_dict(self) -> dict[str, Any]:
        """Return the journal for JSON."""
        entries = [entry.as_dict() for entry in self._entries]
        return {
            'runs_count': self.runs_count,
            'request_ids': [entry['request_id'] for entry in entries],
            'writes': [
                entry
                for entry in entries
                if entry['method'] not in _READING_METHODS
            ],
        }


RequestHandler = Callable[
    ['TargetStandIn', ServerExchange, bytes], Awaitable[None]
]


class TargetStandIn:
    """A simulated target with a service port and a control port.

    The control port serves the same administrative paths and keeps working
    while the service port is down or silent.

    :param work: runs one request whose body has been read.
    :param load: returns the document of ``GET /load``.
    """

    def __init__(
        self,
        work: RequestHandler,
        load: Callable[[], dict[str, Any]],
        port: int = 0,
        control_port: int = 0,
        host: str = '127.0.0.1',
    ) -> None:
        """Reserve the ports; nothing listens yet."""
        self.faults = Faults()
        self.journal = Journal()
        self.host = host
        self._work = work
        self._load = load
        self.instance = _new_instance()
        self._reservation = _reserve_port(host, port)
        self.port = int(self._reservation.getsockname()[1])
        self._control = HttpServer(
            f'{host}:{control_port}', self._control_exchange, _LIMITS
        )
        self._connections: weakref.WeakSet[Any] = weakref.WeakSet()
        self._frozen: weakref.WeakSet[Any] = weakref.WeakSet()
        self._responses_count = 0
        self._highest_fencing = 0
        self._orders: list[dict[str, Any]] = []
        self._listening = curio.Event()
        self._interrupted = curio.Event()
        self._changed = curio.Event()
        self._down_seconds = 0.0
        self._supervisor: Any = None

    async def __aenter__(self) -> Self:
        """Listen on both ports."""
        await self._control.__aenter__()
        self._supervisor = await curio.spawn(self._supervise, daemon=True)
        await self._listening.wait()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Break all connections and close both ports."""
        await self._supervisor.cancel()
        await self._control.__aexit__(None, None, None)
        self._reservation.close()

    @property
    def address(self) -> str:
        """Return the address of the service port."""
        return f'{self.host}:{self.port}'

    @property
    def control_address(self) -> str:
        """Return the address of the control port."""
        return f'{self.host}:{self._control.port}'

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        if faults.freeze_open:
            self._frozen.update(self._connections)
        await self._changed.set()
        if faults.down:
            await self._interrupted.set()

    async def answer(
        self, exchange: ServerExchange, status: int, document: Any
    ) -> None:
        """Send a JSON response with the echoed id and the faults in force."""
        response = json_response(status, document)
        headers = (*response.headers, *self.echo_headers(exchange))
        if not self.draw_truncation():
            await exchange.send(Response(status, headers, response.body))
            return
        length = ('Content-Length', str(len(response.body)))
        await exchange.start_stream(status, (*headers, length))
        await exchange.send_chunk(response.body[: len(response.body) // 2])
        raise DisconnectError('truncated by a fault')

    def echo_headers(self, exchange: ServerExchange) -> Headers:
        """Return the header that echoes the request id."""
        self._responses_count += 1
        request_id = exchange.head.header('X-Request-Id')
        if request_id is None:
            return ()
        if self.faults.wrong_id and self._is_affected():
            request_id = f'{request_id}-other'
        return (('X-Request-Id', request_id),)

    def draw_truncation(self) -> bool:
        """Return whether the response begun last breaks off."""
        return self.faults.truncate and self._is_affected()

    async def freeze_if_silent(
        self,
        exchange: ServerExchange,
        wait_disconnect: Callable[[], Awaitable[Any]] | None = None,
    ) -> None:
        """Stay silent until the caller disconnects, if a fault says so.

        :param wait_disconnect: used when another task waits on the connection.
        :raises DisconnectError: when the exchange was silent and is over.
        """
        connection = exchange._connection
        if self.faults.silent:
            self._frozen.add(connection)
        if connection in self._frozen:
            await (wait_disconnect or exchange.wait_disconnect)()
            raise DisconnectError(
                'the caller of a silent exchange disconnected'
            )

    def _is_affected(self) -> bool:
        return self._responses_count % self.faults.every_count == 0

    async def _supervise(self) -> None:
        while True:
            async with HttpServer(self.address, self._exchange, _LIMITS):
                await self._listening.set()
                await self._interrupted.wait()
            self._listening.clear()
            self._interrupted.clear()
            await curio.sleep(self._down_seconds)
            self._down_seconds = 0.0
            while self.faults.down:
                self._changed.clear()
                await self._changed.wait()

    async def _crash(self) -> None:
        self.instance = _new_instance()
        self._down_seconds = self.faults.crash_seconds
        await self._interrupted.set()

    async def _exchange(self, exchange: ServerExchange) -> None:
        self._connections.add(exchange._connection)
        await self.freeze_if_silent(exchange)
        body = await exchange.read_body(_MAX_BODY_BYTES)
        if await self._administer(exchange, body):
            return
        marker = self.faults.crash_marker
        if marker is not None and marker.encode() in body:
            await self._crash()
            # The supervisor cancels this task with all others.
            await exchange.wait_disconnect()
        await self._work(self, exchange, body)

    async def _control_exchange(self, exchange: ServerExchange) -> None:
        body = await exchange.read_body(_MAX_BODY_BYTES)
        if not await self._administer(exchange, body):
            raise DotterelhatchError(ErrorKind.NOT_FOUND, exchange.head.path)

    async def _administer(self, exchange: ServerExchange, body: bytes) -> bool:
        request = (exchange.head.method, exchange.head.path)
        documents: dict[tuple[str, str], Callable[[], Any]] = {
            ('GET', '/health'): lambda: {'instance': self.instance},
            ('GET', '/load'): self._load,
            ('GET', '/journal'): self.journal.as_dict,
            ('GET', '/faults'): lambda: self.faults.model_dump(),
            ('GET', '/orders'): lambda: {'orders': self._orders},
        }
        if request in documents:
            response = json_response(200, documents[request]())
        elif request == ('PUT', '/faults'):
            response = await self._put_faults(body)
        elif request == ('POST', '/orders'):
            response = self._take_order(body)
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

    def _take_order(self, body: bytes) -> Response:
        order = parse_object(body)
        fencing = order.get('fencing')
        if not isinstance(fencing, int):
            raise DotterelhatchError(
                ErrorKind.BAD_REQUEST, 'fencing is not an integer'
            )
        if self.faults.check_fencing and fencing < self._highest_fencing:
            return json_response(
                409, {'highest_fencing': self._highest_fencing}
            )
        self._highest_fencing = max(fencing, self._highest_fencing)
        self._orders.append(order)
        return json_response(200, {'highest_fencing': self._highest_fencing})


def json_response(status: int, document: Any) -> Response:
    """Return a response with a JSON document."""
    headers: Headers = (('Content-Type', 'application/json'),)
    return Response(status, headers, json.dumps(document).encode())


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body.

    :raises DotterelhatchError: BAD_REQUEST.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise DotterelhatchError(ErrorKind.BAD_REQUEST, str(error)) from error
    if not isinstance(document, dict):
        raise DotterelhatchError(ErrorKind.BAD_REQUEST, 'not a JSON object')
    return document


async def run_until_stopped(stand_in: TargetStandIn) -> None:
    """Serve until SIGTERM or SIGINT; print one line when ready."""
    waiting, notifying = socket.socketpair()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: notifying.send(b'.'))
    async with stand_in, curio.io.Socket(waiting) as stopped:
        ready = {
            'port': stand_in.port,
            'control': stand_in.control_address,
            'instance': stand_in.instance,
        }
        sys.stdout.write(f'{json.dumps(ready)}\n')
        sys.stdout.flush()
        await stopped.recv(1)


def _new_instance() -> str:
    # Not seeded: a process that is started again is another instance.
    return uuid.uuid4().hex


def _reserve_port(host: str, port: int) -> socket.socket:
    """Bind without listening, so that the port stays ours while down."""
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((host, port))
    return reservation
