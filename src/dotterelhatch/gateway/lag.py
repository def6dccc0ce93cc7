"""Lag and waiting time of the event loop, as measures of overload."""

import selectors
import time
from collections.abc import Callable
from typing import Final

import curio

from dotterelhatch.gateway.suspension import SuspensionDetector

__all__ = ('LoopLag', 'TimedSelector')

_SAMPLE_INTERVAL_SECONDS: Final = 0.05
# Weight of a sample below the current value, so that the lag falls within a few
# samples after the process has caught up.
_RECOVERY_WEIGHT: Final = 0.3


class LoopLag:
    """Measures how much longer than requested a short sleep takes.

    The lag grows when the CPU is saturated. The kernel still accepts
    connections then, and their requests wait without being read.
    """

    def __init__(self) -> None:
        """Start without lag."""
        self.seconds = 0.0
        self._highest_seconds = 0.0

    def exceeds(self, limit_seconds: float) -> bool:
        """Return whether a response would arrive after a time limit.

        The request has waited in the socket for about the lag, and its
        response will take as long again.
        """
        return 2 * self.seconds > limit_seconds

    def take_highest(self) -> float:
        """Return the highest lag since the last call."""
        highest_seconds = max(self._highest_seconds, self.seconds)
        self._highest_seconds = 0.0
        return highest_seconds

    async def measure_forever(self) -> None:
        """Measure the lag periodically until the task is cancelled."""
        while True:
            before_seconds = time.monotonic()
            await curio.sleep(_SAMPLE_INTERVAL_SECONDS)
            lag_seconds = (
                time.monotonic() - before_seconds - _SAMPLE_INTERVAL_SECONDS
            )
            self.record(max(0.0, lag_seconds))

    def record(self, lag_seconds: float) -> None:
        """Update the lag from one sample.

        It rises at once and falls gradually.
        """
        self._highest_seconds = max(self._highest_seconds, lag_seconds)
        change = lag_seconds - self.seconds
        weight = 1.0 if change > 0 else _RECOVERY_WEIGHT
        self.seconds += weight * change


class TimedSelector(selectors.DefaultSelector):
    """A selector that measures how long the event loop waits for events.

    The rest of the time the loop runs tasks or waits for the processor. The
    processor time of the process would leave out the latter.

    :param clock: monotonic time in seconds.
    :param suspensions: is told of each wake-up, before any task runs.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        suspensions: SuspensionDetector | None = None,
    ) -> None:
        """Start without waiting time."""
        super().__init__()
        self.waited_seconds = 0.0
        self.suspensions = suspensions
        self._clock = clock

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events and add the time to the waiting time."""
        started_seconds = self._clock()
        try:
            return super().select(timeout)
        finally:
            self.waited_seconds += self._clock() - started_seconds
            if self.suspensions is not None:
                self.suspensions.on_awake()
