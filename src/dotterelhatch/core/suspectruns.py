"""Runs of requests that may crash their targets, one at a time in the fleet.

A router announces such a run and waits for a moment before it starts. If two
routers announce a run, one of them withdraws. A request that runs without other
suspects shows by itself whether it crashes its target.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Final

from dotterelhatch.ids import RouterId

__all__ = ('SuspectRuns',)

# Covers the transit of the announcement and the lag of a busy router.
_CONTENTION_SECONDS: Final = 0.05
_POLL_SECONDS: Final = 0.1
# A target that crashes on a request has done so by then; a request that has no
# answer yet does not keep others waiting.
_MAX_RUN_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class _Claim:
    request: Hashable
    claimed_seconds: float


class SuspectRuns:
    """Claims of this router and its peers to run a suspected request.

    :param router: this router.
    """

    def __init__(self, router: RouterId) -> None:
        """Start without any claim."""
        self._router = router
        self._own: _Claim | None = None
        self._peers: dict[RouterId, float] = {}

    def claim(self, request: Hashable, now_seconds: float) -> float:
        """Claim the next run; return how long to wait before asking again.

        :returns: 0 when the request may run.
        """
        own = self._own
        is_own = own is not None and own.request == request
        if own is not None and not is_own and self._lasts(own, now_seconds):
            return _POLL_SECONDS
        claimed_seconds = own.claimed_seconds if own and is_own else now_seconds
        if self._must_yield(claimed_seconds, now_seconds):
            self.release(request)
            return _POLL_SECONDS
        if not is_own:
            self._own = _Claim(request, now_seconds)
        return max(0, claimed_seconds + _CONTENTION_SECONDS - now_seconds)

    def has_claim(self, request: Hashable) -> bool:
        """Return whether a request has the claim of this router."""
        return self._own is not None and self._own.request == request

    def release(self, request: Hashable) -> None:
        """End the claim of a request, if it has one."""
        if self.has_claim(request):
            self._own = None

    def claim_age_seconds(self, now_seconds: float) -> float | None:
        """Return the age of the claim of this router, None without one."""
        if self._own is None:
            return None
        return round(now_seconds - self._own.claimed_seconds, 3)

    def on_report(
        self, router: RouterId, age_seconds: float | None, now_seconds: float
    ) -> None:
        """Replace the claim of a peer."""
        self._peers.pop(router, None)
        if age_seconds is not None:
            self._peers[router] = now_seconds - age_seconds

    def _lasts(self, claim: _Claim, now_seconds: float) -> bool:
        return now_seconds - claim.claimed_seconds < _MAX_RUN_SECONDS

    def _must_yield(self, own_seconds: float, now_seconds: float) -> bool:
        """Return whether a peer runs a request, or comes first.

        Claims that were made at about the same time are ordered by name.
        """
        for router, claimed_seconds in self._peers.items():
            if now_seconds - claimed_seconds >= _MAX_RUN_SECONDS:
                continue
            lead_seconds = own_seconds - claimed_seconds
            if lead_seconds >= _CONTENTION_SECONDS or (
                lead_seconds > -_CONTENTION_SECONDS and router < self._router
            ):
                return True
        return False
