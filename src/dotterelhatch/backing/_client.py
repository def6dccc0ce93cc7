"""HTTP/1.1 client for the platform services, based on h11 and curio."""

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

_MAX_READ_BYTES: Final = 65_536
# Responses hold rows, lists of rows and stored objects. The limit bounds the
# memory that a faulty server can make the client use.
_MAX_BODY_BYTES: Final = 134_217_728


class NotSentError(Exception):
    """The request was not sent, not even in part."""


class ResponseLostError(Exception):
    """The request may have been sent, and no complete response arrived."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class _ConnectionBrokenError(Exception):
    """The server closed the connection early or violated the protocol."""


class _Connection:
    """A connection that carries one request at a time."""

    def __init__(self, raw: socket.socket) -> None:
        """Wrap a socket that is not connected yet."""
        self._raw = raw
        self._socket = Socket(raw)
        self._h11 = h11.Connection(h11.CLIENT)
        self.was_used = False

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect to an address."""
        await self._socket.connect(address)
        self._raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def is_reusable(self) -> bool:
        """Return whether it is open and has no unexpected data to read."""
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # The server closed the connection or sent data without a request.
        return False

    async def exchange(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> Response:
        """Send a request and read the whole response."""
        request = h11.Request(method=method, target=path, headers=headers)
        parts = [self._h11.send(request)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        await self._socket.sendall(b''.join(part or b'' for part in parts))
        return await self._read_response()

    def start_next_cycle(self) -> bool:
        """Prepare for the next request.

        :returns: False if the connection cannot be reused.
        """
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
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
                return _build_response(head, bytes(body))
            if len(body) > _MAX_BODY_BYTES:
                raise _ConnectionBrokenError(
                    'the response body exceeds 128 MiB'
                )

    async def _next_event(self) -> Any:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                chunk = await self._socket.recv(_MAX_READ_BYTES)
                self._h11.receive_data(chunk)
            elif isinstance(event, h11.ConnectionClosed):
                raise _ConnectionBrokenError(
                    'the server closed the connection before the response ended'
                )
            else:
                return event


@dataclass(slots=True)
class _CallState:
    """State of a call that decides how its failure is reported."""

    may_be_sent: bool = False


@dataclass(slots=True)
class _Pool:
    """Idle connections to one address, most recently used last."""

    address: tuple[str, int]
    idle: list[_Connection] = field(default_factory=list)

    async def acquire(self) -> _Connection:
        """Return an idle connection that is still open, or open a new one."""
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

    async def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            await self.idle.pop().close()


class Client:
    """Sends requests to one server over a pool of connections."""

    def __init__(
        self,
        base_url: str,
        timeout_seconds: float,
        connections_count: int = 32,
        idle_count: int = 4,
    ) -> None:
        """Create the client; connections are opened on demand.

        :param base_url: ``http://ip:port``.
        :param timeout_seconds: limit for one call, including the wait for a
            connection.
        :param connections_count: maximum number of concurrent requests.
        :param idle_count: maximum number of idle connections in the pool.
        """
        parts = urlsplit(base_url)
        if parts.scheme != 'http' or not parts.hostname or not parts.port:
            raise ValueError(
                f'URL is not of the form http://ip:port: {base_url}'
            )
        self._host = parts.netloc
        self._pool = _Pool((parts.hostname, parts.port))
        self._timeout_seconds = timeout_seconds
        self._idle_count = idle_count
        self._permits = curio.Semaphore(connections_count)

    async def request(
        self, method: str, path: str, headers: Headers = (), body: bytes = b''
    ) -> Response:
        """Send a request and return the response.

        :param path: path of the URL, including the query.
        :raises NotSentError: if nothing was sent.
        :raises ResponseLostError: if the request may have been sent and no
            complete response arrived in time.
        """
        full_headers = [('Host', self._host), *headers]
        if body or method == 'PUT':
            full_headers.append(('Content-Length', str(len(body))))
        state = _CallState()
        try:
            async with curio.timeout_after(self._timeout_seconds):
                async with self._permits:
                    return await self._attempt(
                        state, method, path, full_headers, body
                    )
        except curio.TaskTimeout as error:
            # After a network fault, requests on open connections may get no
            # response while new connections work.
            await self._pool.close_idle()
            raise _call_error(
                state, 'no response within the time limit'
            ) from error
        except (OSError, h11.ProtocolError, _ConnectionBrokenError) as broken:
            raise _call_error(state, str(broken)) from broken

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.close_idle()

    async def _attempt(
        self,
        state: _CallState,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> Response:
        connection = await self._pool.acquire()
        state.may_be_sent = True
        try:
            response = await connection.exchange(method, path, headers, body)
        except (OSError, h11.RemoteProtocolError, _ConnectionBrokenError):
            await connection.close()
            # The server may close an idle connection at the moment at which it
            # is reused. Only a read is safe to send again.
            if method != 'GET' or not connection.was_used:
                raise
            await self._pool.close_idle()
            return await self._attempt(state, method, path, headers, body)
        except BaseException:
            await connection.close()
            raise
        await self._release(connection)
        return response

    async def _release(self, connection: _Connection) -> None:
        is_reusable = connection.start_next_cycle()
        if is_reusable and len(self._pool.idle) < self._idle_count:
            self._pool.idle.append(connection)
        else:
            await connection.close()


def _build_response(head: Any, body: bytes) -> Response:
    headers = {
        name.decode('ascii').lower(): text.decode('latin-1')
        for name, text in head.headers
    }
    return Response(head.status_code, MappingProxyType(headers), body)


def _call_error(state: _CallState, detail: str) -> Exception:
    if state.may_be_sent:
        return ResponseLostError(detail)
    return NotSentError(detail)
