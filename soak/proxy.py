"""Loopback TCP proxy that injects network faults."""

import enum
import random
from types import TracebackType
from typing import Any, Self

import curio

from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = ('FaultProxy', 'NetworkFault')

_CONNECT_TIMEOUT_SECONDS = 1.0
_MIN_DELAY_SECONDS = 0.02
_MAX_DELAY_SECONDS = 0.3


class NetworkFault(enum.Enum):
    """Fault of the network between a router and a server or the store.

    DELAY: data is delayed. ONE_WAY: data from the server is dropped. SILENT:
    all data is dropped, on open connections also after the fault. REFUSED: new
    connections are reset.
    """

    DELAY = 'delay'
    ONE_WAY = 'one_way'
    SILENT = 'silent'
    REFUSED = 'refused'


class _ProxiedConnection:
    """A connection from a client and the matching one to the target."""

    def __init__(
        self, downstream: SocketStream, upstream: SocketStream
    ) -> None:
        self.streams = (downstream, upstream)
        self.is_silent = False

    def reset(self) -> None:
        for stream in self.streams:
            stream.reset_on_close()
            stream.close()


class FaultProxy:
    """Forwards connections to one address.

    :param target: ``ip:port`` to connect to.
    :param rng: source of the delays.
    """

    def __init__(self, target: str, rng: random.Random) -> None:
        """Start without a fault."""
        self.fault: NetworkFault | None = None
        self.address = ''
        self._target = target
        self._rng = rng
        self._connections: set[_ProxiedConnection] = set()
        self._tasks: list[Any] = []
        self._listener: Any = None

    async def __aenter__(self) -> Self:
        """Listen on a free port."""
        self._listener = curio.socket.socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(256)
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._tasks.append(await curio.spawn(self._accept, daemon=True))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop listening and reset all connections."""
        for task in self._tasks:
            await task.cancel()
        await self._listener.close()
        self.reset_all()

    def set_fault(self, fault: NetworkFault | None) -> None:
        """Set the active fault; silent connections stay silent."""
        self.fault = fault
        if fault is NetworkFault.SILENT:
            for proxied in self._connections:
                proxied.is_silent = True

    def reset_all(self) -> None:
        """Reset all open connections."""
        for proxied in tuple(self._connections):
            proxied.reset()
        self._connections.clear()

    async def _accept(self) -> None:
        while True:
            accepted, _ = await self._listener.accept()
            downstream = SocketStream(accepted._socket)  # noqa: WPS437
            if self.fault is NetworkFault.REFUSED:
                downstream.reset_on_close()
                downstream.close()
                continue
            await curio.spawn(self._serve, downstream, daemon=True)

    async def _serve(self, downstream: SocketStream) -> None:
        try:
            upstream = await SocketStream.connect(
                self._target, _CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, WaitTimeoutError):
            downstream.reset_on_close()
            downstream.close()
            return
        proxied = _ProxiedConnection(downstream, upstream)
        proxied.is_silent = self.fault is NetworkFault.SILENT
        self._connections.add(proxied)
        response_task = await curio.spawn(
            self._forward, proxied, upstream, downstream, daemon=True
        )
        await self._forward(proxied, downstream, upstream)
        await response_task.join()
        if proxied in self._connections:
            self._connections.discard(proxied)
            downstream.close()
            upstream.close()

    async def _forward(
        self,
        proxied: _ProxiedConnection,
        source: SocketStream,
        sink: SocketStream,
    ) -> None:
        is_response = sink is proxied.streams[0]
        try:
            while content := await source.read():
                if await self._should_forward(proxied, is_response=is_response):
                    await sink.write(content)
            sink.write_eof()
        except (OSError, ValueError):
            # One side was closed or reset: reset the other one as well.
            self._connections.discard(proxied)
            proxied.reset()

    async def _should_forward(
        self, proxied: _ProxiedConnection, *, is_response: bool
    ) -> bool:
        if proxied.is_silent:
            return False
        if self.fault is NetworkFault.ONE_WAY and is_response:
            # After a gap, later data on the connection would be corrupt.
            proxied.is_silent = True
            return False
        if self.fault is NetworkFault.DELAY:
            await curio.sleep(
                self._rng.uniform(_MIN_DELAY_SECONDS, _MAX_DELAY_SECONDS)
            )
        return True
