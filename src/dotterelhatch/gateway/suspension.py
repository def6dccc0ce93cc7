"""Detection of times in which the process did not run."""

import logging
from collections.abc import Callable
from typing import Final

__all__ = ('SuspensionDetector',)

_LOGGER: Final = logging.getLogger(__name__)
# The event loop wakes up many times a second. What a router may do without
# asking again, such as to use a list of targets, holds for two seconds or more.
_MIN_SUSPENSION_SECONDS: Final = 1.0


class SuspensionDetector:
    """Tells its subscribers as soon as the process runs again.

    The host may have been suspended, or the process was stopped or got no
    processor.

    :param clock: time in seconds that includes the suspension of the host.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without subscribers."""
        self._clock = clock
        self._awake_seconds = clock()
        self._subscribers: list[Callable[[float], None]] = []

    def subscribe(self, subscriber: Callable[[float], None]) -> None:
        """Call ``subscriber`` with the length of each suspension."""
        self._subscribers.append(subscriber)

    def on_awake(self) -> None:
        """Compare the time with that of the last call."""
        now_seconds = self._clock()
        gap_seconds = now_seconds - self._awake_seconds
        self._awake_seconds = now_seconds
        if gap_seconds < _MIN_SUSPENSION_SECONDS:
            return
        for subscriber in self._subscribers:
            try:
                subscriber(gap_seconds)
            except Exception:
                _LOGGER.exception('a suspension could not be handled')
