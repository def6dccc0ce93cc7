"""Starts of targets whose entries have disappeared from their list."""

from dataclasses import dataclass
from typing import Final

from dotterelhatch.ids import TargetId

__all__ = ('TargetDepartures', 'TargetStart')

# The platform performs a write that it has not answered 1 to 6 s later.
_LATE_WRITE_SECONDS: Final = 6.0
# Until a router reads the change of an entry.
_READ_DELAY_SECONDS: Final = 1.0
# Times that a target fails to renew its entry before that expires.
_MISSED_RENEWALS_COUNT: Final = 3

TargetStart = tuple[TargetId, int]


@dataclass(frozen=True, slots=True)
class _Departure:
    seconds: float
    row_version: int


class TargetDepartures:
    """Tells a target that is back from a late write of one that has left.

    The list shows what was written and not when it was sent. An entry of the
    same start shows a live target if it is listed when that of a late write
    has expired. A row that is back as it was has not been written at all.

    :param renewal_seconds: interval at which targets renew their entries.
    """

    def __init__(self, renewal_seconds: float) -> None:
        """Start without departures."""
        self._doubt_seconds = (
            _LATE_WRITE_SECONDS
            + _MISSED_RENEWALS_COUNT * renewal_seconds
            + _READ_DELAY_SECONDS
        )
        self._departures: dict[TargetStart, _Departure] = {}

    def __contains__(self, start: TargetStart) -> bool:
        """Return whether an entry of this start may be a late write."""
        return start in self._departures

    def on_departed(
        self, start: TargetStart, row_version: int, now_seconds: float
    ) -> None:
        """Remember a start whose entry has disappeared.

        :param row_version: of the entry.
        """
        self._departures[start] = _Departure(now_seconds, row_version)

    def on_listed(self, start: TargetStart, row_version: int) -> None:
        """Apply a row that is new in the list."""
        departure = self._departures.get(start)
        if departure is not None and row_version == departure.row_version:
            self._departures.pop(start)

    def expire(self, now_seconds: float) -> set[TargetStart]:
        """Forget departures that no late write can follow any more.

        The list has to be up to date.

        :returns: their starts. One that is listed is in use again.
        """
        oldest_seconds = now_seconds - self._doubt_seconds
        expired = {
            start
            for start, departure in self._departures.items()
            if departure.seconds <= oldest_seconds
        }
        for start in expired:
            self._departures.pop(start)
        return expired
