"""Signals of the operating system as awaitable events."""

import signal
import socket
from types import FrameType, TracebackType
from typing import Any, Self

from curio.io import Socket

__all__ = ('SignalReceiver',)


class SignalReceiver:
    """Receives operating system signals in a curio task.

    curio 1.6 does not support signals, so the signal handler writes the
    signal number to a socket that the task reads.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        """Set the signals; the context installs their handlers."""
        self._numbers = numbers
        self._previous_handlers: dict[signal.Signals, Any] = {}

    async def __aenter__(self) -> Self:
        """Install the signal handlers."""
        pair = socket.socketpair()
        self._receiving = Socket(pair[0])
        self._sending = pair[1]
        self._sending.setblocking(False)
        for number in self._numbers:
            self._previous_handlers[number] = signal.signal(
                number, self._notify
            )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Restore the previous signal handlers."""
        for number, previous_handler in self._previous_handlers.items():
            signal.signal(number, previous_handler)
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
            # The buffer is full of signals that were not received yet, so this
            # one is dropped.
            return
