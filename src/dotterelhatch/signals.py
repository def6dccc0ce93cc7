"""Signals of the operating system as awaitable events."""

import signal
import socket
from types import FrameType, TracebackType
from typing import Any, Self

from curio.io import Socket

__all__ = ('SignalReceiver',)


class SignalReceiver:
    """Receives signals inside a curio task.

    curio 1.6 has no signal support of its own, so the handler writes the
    signal number to a socket.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        """Keep the numbers; handlers are set inside the context."""
        self._numbers = numbers
        self._former: dict[signal.Signals, Any] = {}

    async def __aenter__(self) -> Self:
        """Set the handlers."""
        pair = socket.socketpair()
        self._receiving = Socket(pair[0])
        self._sending = pair[1]
        self._sending.setblocking(False)
        for number in self._numbers:
            self._former[number] = signal.signal(number, self._notify)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Restore the former handlers."""
        for number, former in self._former.items():
            signal.signal(number, former)
        await self._receiving.close()
        self._sending.close()

    async def receive(self) -> signal.Signals:
        """Wait for the next signal."""
        content: bytes = await self._receiving.recv(1)
        return signal.Signals(content[0])

    def _notify(self, number: int, _frame: FrameType | None) -> None:
        try:
            self._sending.send(bytes((number,)))
        except BlockingIOError:
            # The socket is full of signals that were not handled yet.
            return
