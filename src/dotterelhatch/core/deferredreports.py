"""Reports that are sent to some peers later than to others."""

from collections import deque
from collections.abc import Iterable
from typing import Final

from dotterelhatch.core.prompts import PromptReports, SentPrompt

__all__ = ('DeferredReports',)

_MAX_REJECTIONS_COUNT: Final = 8192
# In a heartbeat they take a fifth of the longest datagram.
_MAX_REPORTED_COUNT: Final = 512


class DeferredReports:
    """What was reported to near peers and not yet to those elsewhere.

    A heartbeat lists what has happened since the one before. Peers that get
    only some of the heartbeats get the lists of the others with the next one.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self._prompts = PromptReports()
        self._rejected: deque[tuple[str, float]] = deque(
            maxlen=_MAX_REJECTIONS_COUNT
        )

    @property
    def is_empty(self) -> bool:
        """Return whether all peers have got all reports."""
        return self._prompts.is_empty and not self._rejected

    def add(
        self,
        prompts: Iterable[SentPrompt],
        rejected: Iterable[tuple[str, float]],
        now_seconds: float,
    ) -> None:
        """Keep the lists of a heartbeat.

        :param rejected: fingerprints, with the ages of the requests.
        """
        for sent in prompts:
            self._prompts.add(sent)
        for fingerprint, age_seconds in rejected:
            self._rejected.append((fingerprint, now_seconds - age_seconds))

    def take_prompts(self) -> tuple[SentPrompt, ...]:
        """Return and clear the prompts to report."""
        return self._prompts.take()

    def take_rejected(
        self, now_seconds: float
    ) -> tuple[tuple[str, float], ...]:
        """Return the next rejections to report, with their present ages."""
        count = min(len(self._rejected), _MAX_REPORTED_COUNT)
        taken = [self._rejected.popleft() for _ in range(count)]
        return tuple(
            (fingerprint, round(max(0, now_seconds - sent_seconds), 3))
            for fingerprint, sent_seconds in taken
        )
