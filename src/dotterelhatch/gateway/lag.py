"""Lag of the event loop, as a measure of overload of the process."""

import time
from typing import Final

import curio

__all__ = ('LoopLag',)

_SAMPLE_INTERVAL_SECONDS: Final = 0.05
# A request that waited this long in the socket has missed its objective, and
# its caller may have disconnected.
_OVERLOAD_LAG_SECONDS: Final = 1.0
# Weight of a sample below the current value, so that the process counts as
# overloaded for a few more samples after it has caught up.
_RECOVERY_WEIGHT: Final = 0.3


class LoopLag:
    """Measures how much longer than requested a short sleep takes.

    The lag grows when the CPU is saturated. The kernel still accepts
    connections then, and their requests wait without being read.
    """

    def __init__(self) -> None:
        """Start without lag."""
        self.seconds = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Return whether no response of this router would be in time."""
        return self.seconds > _OVERLOAD_LAG_SECONDS

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
        change = lag_seconds - self.seconds
        weight = 1.0 if change > 0 else _RECOVERY_WEIGHT
        self.seconds += weight * change
