"""Outages of a source, as one router sees them."""

from typing import Final

__all__ = ('SourceOutage',)

_MAX_HEARTBEAT_DELAY_SECONDS: Final = 0.5


class SourceOutage:
    """The time from the first failed call to a source until one is answered.

    The source may be down, or refuse only this router while the owners of its
    entries renew them. A response that a peer got meanwhile shows the latter.

    :param began_seconds: time of the first failed call.
    """

    def __init__(self, began_seconds: float) -> None:
        """Start without evidence that others are answered."""
        self.began_seconds = began_seconds
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
