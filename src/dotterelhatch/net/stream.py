"""Non-blocking TCP streams on the curio kernel, with deadlines."""

import contextlib
import errno
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Final, Self

import curio
from curio.traps import _read_wait, _write_wait  # noqa: WPS450

__all__ = (
    'SocketStream',
    'WaitTimeoutError',
    'bind_listener',
    'split_address',
)

_READ_BYTES: Final = 65536
_BACKLOG_COUNT: Final = 1024
# A stream whose socket is always ready would never let other tasks run.
_OPERATIONS_BEFORE_YIELD: Final = 32
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_WaitFunction = Callable[[int], Awaitable[None]]
_WOULD_BLOCK: Final = (BlockingIOError, InterruptedError)


class WaitTimeoutError(Exception):
    """A socket was not ready within its deadline."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    :raises ValueError: when the port is missing or not a number.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def bind_listener(address: str) -> socket.socket:
    """Return a non-blocking listening socket on ``ip:port``."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _listen(listener, address)
    except OSError:
        listener.close()
        raise
    return listener


class SocketStream:
    """A connected TCP socket.

    The kernel keeps waiting descriptors by number, so closing one under a
    waiting task would give its place to an unrelated connection. A close is
    therefore put off until no task waits.

    :param connected: the socket, connected or connecting.
    """

    def __init__(self, connected: socket.socket) -> None:
        """Make the socket non-blocking."""
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connected
        self._operations_count = 0
        self._waiting_count = 0
        self._closing = False
        self._resetting = False
        self.sent_bytes = 0

    @classmethod
    async def connect(cls, address: str, timeout_seconds: float) -> Self:
        """Open a connection to ``ip:port``.

        :raises OSError: when the peer refuses or cannot be reached.
        :raises WaitTimeoutError: when the deadline passes.
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
        """Return the address of the peer, empty when it is gone."""
        try:
            host, port = self._socket.getpeername()[:2]
        except OSError:
            return ''
        return f'{host}:{port}'

    async def read(self, timeout_seconds: float | None = None) -> bytes:
        """Return the next bytes, empty at the end of the stream.

        :raises OSError: when the connection broke.
        :raises WaitTimeoutError: when nothing arrives within the deadline.
        """
        await self._let_others_run()
        while True:
            try:
                return self._socket.recv(_READ_BYTES)
            except _WOULD_BLOCK:
                await self.wait_readable(timeout_seconds)

    def read_nowait(self) -> bytes | None:
        """Return bytes that have arrived, None when there are none."""
        try:
            return self._socket.recv(_READ_BYTES)
        except _WOULD_BLOCK:
            return None

    async def write(
        self, content: bytes, timeout_seconds: float | None = None
    ) -> None:
        """Hand all bytes to the socket, waiting while its buffer is full.

        The deadline starts again whenever the socket takes some bytes.

        :raises OSError: when the connection broke.
        :raises WaitTimeoutError: when the peer takes nothing for the deadline.
        """
        await self._let_others_run()
        remaining = memoryview(content)
        while remaining:
            try:
                taken = self._socket.send(remaining)
            except _WOULD_BLOCK:
                await self._wait(_write_wait, timeout_seconds)
            else:
                self.sent_bytes += taken
                remaining = remaining[taken:]

    async def wait_readable(self, timeout_seconds: float | None = None) -> None:
        """Wait until bytes, the end of the stream or an error can be read.

        :raises WaitTimeoutError: when the deadline passes.
        """
        await self._wait(_read_wait, timeout_seconds)

    @property
    def fileno(self) -> int:
        """Return the descriptor as a number.

        The kernel forgets numbers at once when they become ready, but keeps
        ``curio.Socket`` descriptors registered for the task that waited, which
        then collides with another task waiting on the same connection.
        """
        return self._socket.fileno()

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open with nothing to read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except _WOULD_BLOCK:
            return True
        except OSError:
            return False
        return False

    def is_readable(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def shutdown(self) -> None:
        """Break the connection and wake the tasks that wait on it.

        Ending the sending side would look like a proper end to the peer of a
        stream that is to be reset; there only the receiving side ends now.
        """
        how = socket.SHUT_RD if self._resetting else socket.SHUT_RDWR
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)

    def write_eof(self) -> None:
        """Tell the peer that no more bytes will be sent."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    def reset_on_close(self) -> None:
        """Make the close visible to the peer as a connection reset."""
        self._resetting = True
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    def close(self) -> None:
        """Close the socket; tasks that wait on it get an error."""
        self._closing = True
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

    async def _let_others_run(self) -> None:
        self._operations_count += 1
        if self._operations_count >= _OPERATIONS_BEFORE_YIELD:
            self._operations_count = 0
            await curio.sleep(0)

    async def _wait(
        self, ready: _WaitFunction, timeout_seconds: float | None
    ) -> None:
        if self._closing:
            raise OSError(errno.EBADF, 'the connection is closed')
        self._operations_count = 0
        self._waiting_count += 1
        try:
            await _wait_until(ready(self.fileno), timeout_seconds)
        finally:
            self._waiting_count -= 1
            if self._closing and not self._waiting_count:
                self._socket.close()


async def _wait_until(
    ready: Awaitable[None], timeout_seconds: float | None
) -> None:
    if timeout_seconds is None:
        await ready
        return
    try:
        async with curio.timeout_after(timeout_seconds):
            await ready
    except curio.TaskTimeout:
        raise WaitTimeoutError(
            f'socket not ready for {timeout_seconds:g} s'
        ) from None


def _listen(listener: socket.socket, address: str) -> None:
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(_BACKLOG_COUNT)
