"""HTTP/1.1 client of the platform's services: h11 on curio."""

import socket
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import urlsplit

import curio
import h11
from curio.io import Socket

__all__ = ('Client', 'NotSentError', 'Response', 'ResponseLostError')

Headers = Sequence[tuple[str, str]]

_READ_BYTES: Final = 65_536
# Answers are rows, lists and stored responses; this bounds the memory that a
# broken server can take.
_MAX_BODY_BYTES: Final = 134_217_728


class NotSentError(Exception):
    """No byte of the request was handed to a connection."""


class ResponseLostError(Exception):
    """The request was sent, at least in part, and no answer arrived."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response; header names are lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class _ProtocolBroken(Exception):
    """The server broke the connection or the protocol."""


class _Connection:
    """One connection, used by one request at a time."""

    def __init__(self, raw: socket.socket) -> None:
        """Wrap a socket that is not connected yet."""
        self._raw = raw
        self._socket = Socket(raw)
        self._codec = h11.Connection(h11.CLIENT)
        self.was_used = False

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect to an address."""
        await self._socket.connect(address)
        self._raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection is idle and not closed by the peer."""
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # End of stream, or bytes that belong to no request.
        return False

    async def exchange(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Response:
        """Send a request and read the whole response."""
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._codec.send(request)]
        if body:
            parts.append(self._codec.send(h11.Data(data=body)))
        parts.append(self._codec.send(h11.EndOfMessage()))
        await self._socket.sendall(b''.join(part or b'' for part in parts))
        return await self._read_response()

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return False when it must close."""
        if self._codec.our_state is not h11.DONE:
            return False
        if self._codec.their_state is not h11.DONE:
            return False
        self._codec.start_next_cycle()
        self.was_used = True
        return True

    async def close(self) -> None:
        """Close the socket."""
        await self._socket.close()

    async def _read_response(self) -> Response:
        head: Any = None
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body.extend(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return _response(head, bytes(body))
            if len(body) > _MAX_BODY_BYTES:
                raise _ProtocolBroken('the response is too large')

    async def _next_event(self) -> Any:
        while True:
            event = self._codec.next_event()
            if event is h11.NEED_DATA:
                chunk = await self._socket.recv(_READ_BYTES)
                self._codec.receive_data(chunk)
            elif isinstance(event, h11.ConnectionClosed):
                raise _ProtocolBroken('the server closed the connection')
            else:
                return event


@dataclass(slots=True)
class _Progress:
    """How far a call has come, for the kind of its failure."""

    was_handed_over: bool = False


@dataclass(slots=True)
class _Pool:
    """Idle connections to one address, the most recently used last."""

    address: tuple[str, int]
    idle: list[_Connection] = field(default_factory=list)

    async def take(self) -> _Connection:
        """Return an idle connection that still works or open a new one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable:
                return connection
            await connection.close()
        connection = _Connection(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        )
        try:
            await connection.connect(self.address)
        except BaseException:
            await connection.close()
            raise
        return connection

    async def clear(self) -> None:
        """Close all idle connections."""
        while self.idle:
            await self.idle.pop().close()


class Client:
    """Sends requests to one server over a few reused connections."""

    def __init__(
        self,
        base_url: str,
        timeout_seconds: float,
        connections_count: int = 32,
        idle_count: int = 4,
    ) -> None:
        """Keep the address; connections are opened on demand.

        :param base_url: ``http://ip:port``.
        :param timeout_seconds: limit of one call, waiting for a connection
            included.
        """
        parts = urlsplit(base_url)
        if parts.scheme != 'http' or not parts.hostname or not parts.port:
            raise ValueError(f'not of the form http://ip:port: {base_url}')
        self._host = parts.netloc
        self._pool = _Pool((parts.hostname, parts.port))
        self._timeout_seconds = timeout_seconds
        self._idle_count = idle_count
        self._permits = curio.Semaphore(connections_count)

    async def request(
        self, method: str, target: str, headers: Headers = (), body: bytes = b''
    ) -> Response:
        """Send a request and return the response.

        :raises NotSentError: when no byte of it was handed to a connection.
        :raises ResponseLostError: when it was sent and no response arrived in
            time.
        """
        full_headers = [('Host', self._host), *headers]
        if body or method == 'PUT':
            full_headers.append(('Content-Length', str(len(body))))
        progress = _Progress()
        try:
            async with curio.timeout_after(self._timeout_seconds):
                async with self._permits:
                    return await self._attempt(
                        progress, method, target, full_headers, body
                    )
        except curio.TaskTimeout as error:
            # Open connections can go silent while new ones work.
            await self._pool.clear()
            raise _failure(progress, 'no answer in time') from error
        except (OSError, h11.ProtocolError, _ProtocolBroken) as broken:
            raise _failure(progress, str(broken)) from broken

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.clear()

    async def _attempt(
        self,
        progress: _Progress,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> Response:
        connection = await self._pool.take()
        progress.was_handed_over = True
        try:
            response = await connection.exchange(method, target, headers, body)
        except (OSError, h11.RemoteProtocolError, _ProtocolBroken):
            await connection.close()
            # The server may close an idle connection just as it is reused;
            # only a read may be sent a second time.
            if method != 'GET' or not connection.was_used:
                raise
            await self._pool.clear()
            return await self._attempt(progress, method, target, headers, body)
        except BaseException:
            await connection.close()
            raise
        await self._give_back(connection)
        return response

    async def _give_back(self, connection: _Connection) -> None:
        is_reusable = connection.start_next_cycle()
        if is_reusable and len(self._pool.idle) < self._idle_count:
            self._pool.idle.append(connection)
        else:
            await connection.close()


def _response(head: Any, body: bytes) -> Response:
    headers = {
        name.decode('ascii').lower(): text.decode('latin-1')
        for name, text in head.headers
    }
    return Response(head.status_code, MappingProxyType(headers), body)


def _failure(progress: _Progress, detail: str) -> Exception:
    if progress.was_handed_over:
        return ResponseLostError(detail)
    return NotSentError(detail)
