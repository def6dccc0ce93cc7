"""Outages of a source, as one router sees them."""

from typing import Final

__all__ = ('SourceOutage',)

_MAX_HEARTBEAT_DELAY_SECONDS: Final = 0.5
# An entry expires after three intervals without a renewal. The last renewal
# before an outage is up to one interval old.
_MISSED_RENEWALS_COUNT: Final = 2


class SourceOutage:
    """The time from the first failed call to a source until one is answered.

    The source may be down, or refuse only this router while the owners of its
    entries renew them. A response that a peer got meanwhile shows the latter.

    :param began_seconds: time of the first failed call.
    :param unanswered_seconds: time from which on the source may have been
        down. It is before that if a call failed by a timeout.
    """

    def __init__(self, began_seconds: float, unanswered_seconds: float) -> None:
        """Start without evidence that others are answered."""
        self.began_seconds = began_seconds
        self._unanswered_seconds = unanswered_seconds
        self.are_others_answered = False

    def on_call_failed(self, peer_answered_seconds: float) -> None:
        """Apply another failed call.

        :param peer_answered_seconds: time after which a peer got a response,
            as far as it was known when the call was made. What is learned
            later may be the response of a source that is back.
        """
        began_seconds = self.began_seconds + _MAX_HEARTBEAT_DELAY_SECONDS
        if peer_answered_seconds > began_seconds:
            self.are_others_answered = True

    def can_entries_have_expired(
        self, now_seconds: float, renewal_seconds: float
    ) -> bool:
        """Return whether owners may have failed to renew their entries.

        :param renewal_seconds: interval at which they do so.
        """
        if self.are_others_answered:
            return False
        outage_seconds = now_seconds - self._unanswered_seconds
        return outage_seconds >= _MISSED_RENEWALS_COUNT * renewal_seconds
