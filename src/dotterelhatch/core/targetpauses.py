"""Pauses that targets ask for when they reject a request."""

import enum
from dataclasses import dataclass
from typing import Final, Protocol

from dotterelhatch.ids import TargetId

__all__ = ('MAX_PAUSE_SECONDS', 'PauseChange', 'TargetPauses', 'TargetStart')

# A target that asks for days by a mistake, such as a wrong unit, would stay
# unused after it has recovered. One request an hour costs it nothing, and it
# may ask again.
MAX_PAUSE_SECONDS: Final = 3600.0
# A target that has not answered the test after twice the longest objective of
# a route may get another one.
_TEST_TIMEOUT_SECONDS: Final = 1.0
# Responses to requests that were in progress when a pause began repeat it with
# slightly later ends. Only a change of its end by more than this is reported.
_REPORTED_EXTENSION_SECONDS: Final = 1.0
# Longer than any request that was sent before a pause is still in progress.
_RECORD_LIFETIME_SECONDS: Final = 600.0


class TargetStart(Protocol):
    """One start of a target."""

    @property
    def id(self) -> TargetId:
        """Return the id of the target."""

    @property
    def started_ms(self) -> int:
        """Return the time of the start, which distinguishes it from others."""


class PauseChange(enum.Enum):
    """What an answer changes in the pause of a target."""

    BEGUN = 'begun'
    EXTENDED = 'extended'
    ENDED = 'ended'


@dataclass(slots=True)
class _Pause:
    """The pause of a target.

    :param started_ms: start of the target that asked for it.
    :param test_seconds: when the request was sent that tests the target after
        the pause, None if there is none.
    """

    started_ms: int
    until_seconds: float
    test_seconds: float | None = None


class TargetPauses:
    """Keeps requests from targets that want none for a while.

    After a pause, one request tests the target. Others follow when the target
    has answered it without asking for another pause.
    """

    def __init__(self) -> None:
        """Start without any pause."""
        self._pauses: dict[TargetId, _Pause] = {}

    def on_answer(
        self,
        entry: TargetStart,
        pause_seconds: float | None,
        sent_seconds: float,
        now_seconds: float,
    ) -> PauseChange | None:
        """Apply an answer of a target.

        Of several pauses the latest end counts. An answer that asks for none
        ends a pause only if its request was sent after it: the others were on
        their way before the target asked.

        :param pause_seconds: None or 0 if the answer asks for no pause.
        :param sent_seconds: when its request was sent.
        :returns: what has changed, None if that is nothing to report.
        """
        known = self._find(entry)
        if pause_seconds:
            return self._extend(entry, known, pause_seconds, now_seconds)
        if known is None or sent_seconds < known.until_seconds:
            return None
        self._pauses.pop(entry.id)
        return PauseChange.ENDED

    def on_placed(self, entry: TargetStart, now_seconds: float) -> None:
        """Record that a request is sent, the test if a pause is over."""
        pause = self._find(entry)
        if pause is not None and now_seconds >= pause.until_seconds:
            pause.test_seconds = now_seconds

    def on_unanswered(self, entry: TargetStart, sent_seconds: float) -> None:
        """Let another request test a target that did not answer the test.

        :param sent_seconds: when the request without an answer was sent.
        """
        pause = self._find(entry)
        if pause is not None and sent_seconds >= pause.until_seconds:
            pause.test_seconds = None

    def wait_seconds(self, entry: TargetStart, now_seconds: float) -> float:
        """Return how long no request may be sent to a target, 0 for none."""
        pause = self._find(entry)
        if pause is None:
            return 0
        until_seconds = pause.until_seconds
        if pause.test_seconds is not None:
            until_seconds = max(
                until_seconds, pause.test_seconds + _TEST_TIMEOUT_SECONDS
            )
        return max(0, until_seconds - now_seconds)

    def is_paused(self, entry: TargetStart, now_seconds: float) -> bool:
        """Return whether the pause of a target is not over yet."""
        pause = self._find(entry)
        return pause is not None and now_seconds < pause.until_seconds

    def paused_count(self, now_seconds: float) -> int:
        """Return the number of targets that want no requests now."""
        return sum(
            now_seconds < pause.until_seconds for pause in self._pauses.values()
        )

    def _extend(
        self,
        entry: TargetStart,
        known: _Pause | None,
        pause_seconds: float,
        now_seconds: float,
    ) -> PauseChange | None:
        until_seconds = now_seconds + min(pause_seconds, MAX_PAUSE_SECONDS)
        if known is None:
            if self._has_restarted(entry):
                return None
            self._remove_ended(now_seconds)
            self._pauses[entry.id] = _Pause(entry.started_ms, until_seconds)
            return PauseChange.BEGUN
        former_seconds = known.until_seconds
        known.until_seconds = max(former_seconds, until_seconds)
        known.test_seconds = None
        if now_seconds >= former_seconds:
            return PauseChange.BEGUN
        added_seconds = until_seconds - former_seconds
        if added_seconds > _REPORTED_EXTENSION_SECONDS:
            return PauseChange.EXTENDED
        return None

    def _remove_ended(self, now_seconds: float) -> None:
        """Remove pauses after which no request was sent, as of lost targets."""
        oldest_seconds = now_seconds - _RECORD_LIFETIME_SECONDS
        self._pauses = {
            target: pause
            for target, pause in self._pauses.items()
            if pause.until_seconds > oldest_seconds
        }

    def _has_restarted(self, entry: TargetStart) -> bool:
        """Return whether a later start of the target has a pause."""
        pause = self._pauses.get(entry.id)
        return pause is not None and pause.started_ms > entry.started_ms

    def _find(self, entry: TargetStart) -> _Pause | None:
        """Return the pause of a target, None if it has started again."""
        pause = self._pauses.get(entry.id)
        if pause is None or pause.started_ms != entry.started_ms:
            return None
        return pause
