"""Age of a request whose caller was refused and returns."""

from collections import OrderedDict
from typing import Final

from dotterelhatch.ids import Fingerprint

__all__ = ('RejectedRequests',)

# Callers return within a third of the time that they have left; a request
# that is sent again much later is a new one.
_LIFETIME_SECONDS: Final = 8.0
# At the largest known load about 200 requests a second are refused.
_CAPACITY_COUNT: Final = 8192


class RejectedRequests:
    """When each request that was refused lately was sent first.

    A caller that returns gives its request a new id, and may go to another
    router, so requests are known by their content and routers tell each
    other what they refused.
    """

    def __init__(self) -> None:
        """Start with nothing refused."""
        self._first_seen: OrderedDict[Fingerprint, float] = OrderedDict()
        self._news: list[Fingerprint] = []

    def age_seconds(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> float:
        """Return how long ago the caller sent the request first."""
        self._trim(now_seconds)
        first_seconds = self._first_seen.get(fingerprint)
        return 0 if first_seconds is None else now_seconds - first_seconds

    def on_rejected(
        self, fingerprint: Fingerprint, arrived_seconds: float
    ) -> None:
        """Note a request that this router refused."""
        if fingerprint not in self._first_seen:
            self._first_seen[fingerprint] = arrived_seconds
            self._news.append(fingerprint)

    def on_report(
        self, fingerprint: Fingerprint, age_seconds: float, now_seconds: float
    ) -> None:
        """Note a request that a peer refused."""
        first_seconds = now_seconds - age_seconds
        self._first_seen.setdefault(fingerprint, first_seconds)

    def take_unreported(
        self, now_seconds: float
    ) -> tuple[tuple[str, float], ...]:
        """Return what was refused since the last call, with its age."""
        news = tuple(
            (fingerprint, self._age(fingerprint, now_seconds))
            for fingerprint in self._news
        )
        self._news.clear()
        return news

    def _age(self, fingerprint: Fingerprint, now_seconds: float) -> float:
        first_seconds = self._first_seen.get(fingerprint, now_seconds)
        return round(now_seconds - first_seconds, 3)

    def _trim(self, now_seconds: float) -> None:
        while self._first_seen:
            fingerprint, first_seconds = next(iter(self._first_seen.items()))
            is_old = now_seconds - first_seconds > _LIFETIME_SECONDS
            if not is_old and len(self._first_seen) <= _CAPACITY_COUNT:
                return
            self._first_seen.pop(fingerprint)
