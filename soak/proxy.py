"""Loopback proxy whose connections can be harmed."""

import enum
import random
from types import TracebackType
from typing import Any, Self

import curio

from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = ('FaultProxy', 'PathFault')

_CONNECT_TIMEOUT_SECONDS = 1.0
_SHORTEST_DELAY_SECONDS = 0.02
_LONGEST_DELAY_SECONDS = 0.3


class PathFault(enum.Enum):
    """What happens to bytes on their way.

    ONE_WAY: what the server sends is lost. SILENT: nothing passes, and open
    connections stay silent for good. REFUSED: new connections are closed.
    """

    DELAY = 'delay'
    ONE_WAY = 'one_way'
    SILENT = 'silent'
    REFUSED = 'refused'


class _Pair:
    """A connection to the proxy and the one behind it."""

    def __init__(self, near: SocketStream, far: SocketStream) -> None:
        self.streams = (near, far)
        self.is_silenced = False

    def reset(self) -> None:
        for stream in self.streams:
            stream.reset_on_close()
            stream.close()


class FaultProxy:
    """Forwards connections to one address.

    :param target: ``ip:port`` behind the proxy.
    :param rng: for delays.
    """

    def __init__(self, target: str, rng: random.Random) -> None:
        """Start without a fault."""
        self.fault: PathFault | None = None
        self.address = ''
        self._target = target
        self._rng = rng
        self._pairs: set[_Pair] = set()
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
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and close everything."""
        for task in self._tasks:
            await task.cancel()
        await self._listener.close()
        self.reset_all()

    def set_fault(self, fault: PathFault | None) -> None:
        """Begin or end a fault; a silenced connection never recovers."""
        self.fault = fault
        if fault is PathFault.SILENT:
            for pair in self._pairs:
                pair.is_silenced = True

    def reset_all(self) -> None:
        """Reset all open connections."""
        for pair in tuple(self._pairs):
            pair.reset()
        self._pairs.clear()

    async def _accept(self) -> None:
        while True:
            accepted, _ = await self._listener.accept()
            near = SocketStream(accepted._socket)  # noqa: WPS437
            if self.fault is PathFault.REFUSED:
                near.reset_on_close()
                near.close()
                continue
            await curio.spawn(self._serve, near, daemon=True)

    async def _serve(self, near: SocketStream) -> None:
        try:
            far = await SocketStream.connect(
                self._target, _CONNECT_TIMEOUT_SECONDS
            )
        except (OSError, WaitTimeoutError):
            near.reset_on_close()
            near.close()
            return
        pair = _Pair(near, far)
        pair.is_silenced = self.fault is PathFault.SILENT
        self._pairs.add(pair)
        back = await curio.spawn(self._pump, pair, far, near, daemon=True)
        await self._pump(pair, near, far)
        await back.join()
        if pair in self._pairs:
            self._pairs.discard(pair)
            near.close()
            far.close()

    async def _pump(
        self, pair: _Pair, source: SocketStream, sink: SocketStream
    ) -> None:
        is_answer = sink is pair.streams[0]
        try:
            while content := await source.read():
                if await self._passes(pair, is_answer=is_answer):
                    await sink.write(content)
            sink.write_eof()
        except (OSError, ValueError):
            # One end is gone: the other one sees a reset, too.
            self._pairs.discard(pair)
            pair.reset()

    async def _passes(self, pair: _Pair, *, is_answer: bool) -> bool:
        if pair.is_silenced:
            return False
        if self.fault is PathFault.ONE_WAY and is_answer:
            # Bytes that are lost in the middle make the rest useless.
            pair.is_silenced = True
            return False
        if self.fault is PathFault.DELAY:
            await curio.sleep(
                self._rng.uniform(
                    _SHORTEST_DELAY_SECONDS, _LONGEST_DELAY_SECONDS
                )
            )
        return True
