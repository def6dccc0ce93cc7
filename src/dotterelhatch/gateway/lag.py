"""How far a process is behind its own events."""

import time
from typing import Final

import curio

__all__ = ('LoopLag',)

_PERIOD_SECONDS: Final = 0.05
# A request that waited this long unread has used up a good part of its
# objective, and its caller may have left.
_LIMIT_SECONDS: Final = 0.2
# Weight of the newest measurement when it is better than the last ones: the
# state lasts for a few periods after the process has caught up.
_RECOVERY_WEIGHT: Final = 0.3


class LoopLag:
    """Measures by how much a short sleep is late.

    It grows when there is more to do than the processor can: the kernel
    still accepts connections then, and requests wait there unseen.
    """

    def __init__(self) -> None:
        """Start without a delay."""
        self.seconds = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Return whether new requests should go to other routers."""
        return self.seconds > _LIMIT_SECONDS

    async def measure_forever(self) -> None:
        """Measure without end."""
        while True:
            before_seconds = time.monotonic()
            await curio.sleep(_PERIOD_SECONDS)
            late_seconds = time.monotonic() - before_seconds - _PERIOD_SECONDS
            self.record(max(0.0, late_seconds))

    def record(self, late_seconds: float) -> None:
        """Take over one measurement."""
        change = late_seconds - self.seconds
        weight = 1.0 if change > 0 else _RECOVERY_WEIGHT
        self.seconds += weight * change
