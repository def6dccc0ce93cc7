"""Age of requests that were rejected and are sent again."""

from collections import OrderedDict, deque
from typing import Final

from dotterelhatch.ids import Fingerprint

__all__ = ('RejectedRequests',)

# Callers retry within a third of the time that they have left; the same
# request much later counts as a new one.
_LIFETIME_SECONDS: Final = 8.0
# Several times the rejections within the lifetime at the largest known load,
# which are about 200 a second.
_CAPACITY_COUNT: Final = 8192
# In a report they take a fifth of the longest datagram.
_MAX_REPORTED_COUNT: Final = 512


class RejectedRequests:
    """When each recently rejected request was sent for the first time.

    A retry of a caller has a new request id and may reach another router.
    Requests are therefore identified by a fingerprint of their content, and
    routers report their rejections to each other.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._first_sent: OrderedDict[Fingerprint, float] = OrderedDict()
        self._unreported: deque[Fingerprint] = deque(maxlen=_CAPACITY_COUNT)

    def age_seconds(
        self, fingerprint: Fingerprint, now_seconds: float
    ) -> float:
        """Return the time since the request was first sent, 0 if unknown."""
        self._evict(now_seconds)
        sent_seconds = self._first_sent.get(fingerprint, now_seconds)
        age_seconds = now_seconds - sent_seconds
        # Reports of peers do not arrive in the order of their ages.
        return age_seconds if age_seconds <= _LIFETIME_SECONDS else 0

    def on_rejected(
        self, fingerprint: Fingerprint, arrived_seconds: float
    ) -> None:
        """Record a rejection of this router."""
        if fingerprint not in self._first_sent:
            self._evict(arrived_seconds)
            self._first_sent[fingerprint] = arrived_seconds
            self._unreported.append(fingerprint)

    def on_report(
        self, fingerprint: Fingerprint, age_seconds: float, now_seconds: float
    ) -> None:
        """Record a rejection of a peer.

        A router that takes no requests itself gets the reports of others all
        the same.
        """
        self._evict(now_seconds)
        sent_seconds = now_seconds - age_seconds
        self._first_sent.setdefault(fingerprint, sent_seconds)

    def take_unreported(
        self, now_seconds: float
    ) -> tuple[tuple[str, float], ...]:
        """Return the next local rejections to report, with their ages."""
        count = min(len(self._unreported), _MAX_REPORTED_COUNT)
        reported = (self._unreported.popleft() for _ in range(count))
        return tuple(
            (fingerprint, self._age(fingerprint, now_seconds))
            for fingerprint in reported
        )

    def _age(self, fingerprint: Fingerprint, now_seconds: float) -> float:
        sent_seconds = self._first_sent.get(fingerprint, now_seconds)
        return round(now_seconds - sent_seconds, 3)

    def _evict(self, now_seconds: float) -> None:
        while self._first_sent:
            fingerprint, sent_seconds = next(iter(self._first_sent.items()))
            is_expired = now_seconds - sent_seconds > _LIFETIME_SECONDS
            if not is_expired and len(self._first_sent) <= _CAPACITY_COUNT:
                return
            self._first_sent.pop(fingerprint)
