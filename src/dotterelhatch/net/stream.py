"""Non-blocking TCP sockets for curio tasks, with timeouts."""

import contextlib
import errno
import fcntl
import functools
import ipaddress
import re
import socket
import struct
import sys
import termios
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, Self

import curio
from curio.traps import _read_wait, _write_wait  # noqa: WPS450

__all__ = (
    'BACKLOG_COUNT',
    'SocketStream',
    'WaitTimeoutError',
    'bind_listener',
    'split_address',
)

_ADDRESS_PATTERN: Final = re.compile('([0-9.]+):([0-9]{1,5})')
_MAX_PORT: Final = 65_535
# Several times the routers and targets of a large fleet.
_MAX_KNOWN_ADDRESSES_COUNT: Final = 8192
_MAX_READ_BYTES: Final = 65536
# A busy server accepts some hundred connections a second, and callers do not
# wait for longer than a second.
BACKLOG_COUNT: Final = 128
# Operations without a wait after which a stream yields to other tasks; a socket
# that is always ready would otherwise never let them run.
_MAX_OPERATIONS_BEFORE_YIELD: Final = 32
# The fields l_onoff and l_linger: a close discards unsent bytes and resets.
_ZERO_LINGER: Final = struct.pack('ii', 1, 0)
_Wait = Callable[[int], Awaitable[None]]
_WOULD_BLOCK: Final = (BlockingIOError, InterruptedError)


class WaitTimeoutError(Exception):
    """A socket did not become ready within the timeout."""


@functools.lru_cache(maxsize=_MAX_KNOWN_ADDRESSES_COUNT)
def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    A host name is no valid address, because resolving it would block. Most
    addresses are used many times a second.

    :raises OSError: when it is not an IPv4 address with a port.
    """
    match = _ADDRESS_PATTERN.fullmatch(address)
    if match and _is_ip(match[1]) and int(match[2]) <= _MAX_PORT:
        return match[1], int(match[2])
    raise OSError(errno.EINVAL, f'{address[:64]!r} is not a valid address')


def bind_listener(address: str) -> socket.socket:
    """Return a non-blocking listening socket on ``ip:port``."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _bind_and_listen(listener, address)
    except OSError:
        listener.close()
        raise
    return listener


class SocketStream:
    """A connected TCP socket.

    The curio kernel registers waits by descriptor number. If a socket were
    closed while a task waits on it, the number could be reused and the task
    would wait on an unrelated connection. The close is therefore deferred
    until no task waits.

    :param connected: the socket; :meth:`connect` passes one that is not
        connected yet.
    """

    def __init__(self, connected: socket.socket) -> None:
        """Make the socket non-blocking and disable Nagle's algorithm."""
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connected
        self._operations_since_yield = 0
        self._is_drained = False
        self._waiting_count = 0
        self._closing = False
        self._resetting = False
        self._is_detached = False
        self.sent_bytes = 0

    @classmethod
    async def connect(cls, address: str, timeout_seconds: float) -> Self:
        """Open a connection to ``ip:port``.

        :raises OSError: when the address is invalid, or the peer refuses or
            cannot be reached.
        :raises WaitTimeoutError: when it is not connected within the timeout.
        """
        stream = cls(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await stream._finish_connect(address, timeout_seconds)
        except BaseException:
            stream.close()
            raise
        return stream

    @property
    def peer(self) -> str:
        """Return the address of the peer, empty if not connected."""
        try:
            host, port = self._socket.getpeername()[:2]
        except OSError:
            return ''
        return f'{host}:{port}'

    @property
    def acknowledged_bytes(self) -> int:
        """Return the bytes that have reached the host of the peer.

        The socket accepts bytes in large steps, after which a peer that reads
        slowly would look like one that does not read.
        """
        try:
            queued = fcntl.ioctl(self._socket, termios.TIOCOUTQ, bytes(4))
        except (OSError, ValueError):
            return self.sent_bytes
        return self.sent_bytes - int.from_bytes(queued, sys.byteorder)

    async def read(self, timeout_seconds: float | None = None) -> bytes:
        """Return the next bytes, empty at the end of the stream.

        :raises OSError: when the connection broke.
        :raises WaitTimeoutError: when nothing arrives within the timeout.
        """
        await self._yield_periodically()
        while True:
            if self._is_drained:
                await self.wait_readable(timeout_seconds)
            content = self.read_nowait()
            if content is not None:
                return content

    def read_nowait(self) -> bytes | None:
        """Return the bytes that have arrived, None if there are none.

        The result is empty at the end of the stream.
        """
        try:
            content = self._socket.recv(_MAX_READ_BYTES)
        except _WOULD_BLOCK:
            self._is_drained = True
            return None
        # Another call would nearly always find nothing.
        self._is_drained = len(content) < _MAX_READ_BYTES
        return content

    async def write(
        self, content: bytes, timeout_seconds: float | None = None
    ) -> None:
        """Write all bytes to the socket, waiting while its buffer is full.

        The timeout starts again whenever the socket accepts some bytes.

        :raises OSError: when the connection broke.
        :raises WaitTimeoutError: when no byte is accepted within the timeout.
        """
        await self._yield_periodically()
        remaining = memoryview(content)
        while remaining:
            try:
                accepted_bytes = self._socket.send(remaining)
            except _WOULD_BLOCK:
                await self._wait(_write_wait, timeout_seconds)
            else:
                self.sent_bytes += accepted_bytes
                remaining = remaining[accepted_bytes:]

    async def wait_readable(self, timeout_seconds: float | None = None) -> None:
        """Wait until bytes, the end of the stream or an error can be read.

        :raises WaitTimeoutError: when it is not readable within the timeout.
        """
        await self._wait(_read_wait, timeout_seconds)
        self._is_drained = False

    @property
    def fileno(self) -> int:
        """Return the descriptor as a number.

        The curio kernel unregisters a number as soon as it becomes ready. A
        ``curio.Socket`` stays registered for the task that waited on it, which
        conflicts with another task that waits on the same connection.
        """
        return self._socket.fileno()

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has nothing to read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except _WOULD_BLOCK:
            return True
        except OSError:
            return False
        return False

    def is_readable(self) -> bool:
        """Return whether there are bytes to read."""
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def shutdown(self) -> None:
        """Shut the connection down and wake the tasks that wait on it.

        If the stream is to be reset on close, only the receiving side is shut
        down, because shutting down the sending side would look like a regular
        end of the stream to the peer.
        """
        how = socket.SHUT_RD if self._resetting else socket.SHUT_RDWR
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)

    def write_eof(self) -> None:
        """Shut down the sending side."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    def reset_on_close(self) -> None:
        """Send a connection reset instead of a regular end on close."""
        self._resetting = True
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )

    def set_options(self, options: Iterable[tuple[int, int, int]]) -> None:
        """Set socket options, each with its level and value."""
        for level, option, setting in options:
            self._socket.setsockopt(level, option, setting)

    def detach(self) -> socket.socket:
        """Return the socket, which the stream does not close any more.

        No task may wait on the stream.
        """
        self._is_detached = True
        return self._socket

    def close(self) -> None:
        """Close the socket; tasks that wait on it wake with an error."""
        self._closing = True
        if self._is_detached:
            return
        if self._waiting_count:
            self.shutdown()
        else:
            self._socket.close()

    async def _finish_connect(
        self, address: str, timeout_seconds: float
    ) -> None:
        try:
            self._socket.connect(split_address(address))
        except _WOULD_BLOCK:
            await self._wait(_write_wait, timeout_seconds)
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, f'cannot connect to {address}')

    async def _yield_periodically(self) -> None:
        self._operations_since_yield += 1
        if self._operations_since_yield >= _MAX_OPERATIONS_BEFORE_YIELD:
            self._operations_since_yield = 0
            await curio.sleep(0)

    async def _wait(self, wait: _Wait, timeout_seconds: float | None) -> None:
        if self._closing:
            raise OSError(errno.EBADF, 'the connection is already closed')
        self._operations_since_yield = 0
        self._waiting_count += 1
        try:
            await _wait_with_timeout(wait(self.fileno), timeout_seconds)
        finally:
            self._waiting_count -= 1
            if self._closing and not self._waiting_count:
                self._socket.close()


def _is_ip(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


async def _wait_with_timeout(
    wait: Awaitable[None], timeout_seconds: float | None
) -> None:
    if timeout_seconds is None:
        await wait
        return
    try:
        async with curio.timeout_after(timeout_seconds):
            await wait
    except curio.TaskTimeout:
        raise WaitTimeoutError(
            f'socket not ready within {timeout_seconds:g} s'
        ) from None


def _bind_and_listen(listener: socket.socket, address: str) -> None:
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(BACKLOG_COUNT)
