"""Load of each target: requests in progress, sent by any router."""

from collections.abc import Mapping
from typing import Final

import msgspec

from dotterelhatch.core.peersums import REPORT_LIFETIME_SECONDS, PeerSums
from dotterelhatch.core.reported import Count
from dotterelhatch.ids import RouterId, TargetId

__all__ = ('InFlightRequest', 'LoadTracker', 'TargetLoad')

# Other reports end one only after the clock should have done so: it may then be
# known that most peers are silent.
_UNCHECKED_LIFETIME_SECONDS: Final = REPORT_LIFETIME_SECONDS + 0.3
# Lifetime of the reports while most peers are silent: they may have been lost,
# or this router may be cut off from them.
_ISOLATED_LIFETIME_SECONDS: Final = 5.0
# Time in which the load of silent peers is then given up step by step.
_RELEASE_SECONDS: Final = 3.0
# A request that begins later than predicted by this much waits for others.
_BUSY_DELAY_SECONDS: Final = 0.5


class TargetLoad(msgspec.Struct, frozen=True):
    """Requests in progress at a target.

    :param unread_tokens: prompt tokens that the target has not read yet.
    :param memory_tokens: largest number of tokens that the requests may
        occupy in the memory of the target.
    """

    requests_count: Count = 0
    unread_tokens: Count = 0
    memory_tokens: Count = 0

    def plus(self, other: 'TargetLoad') -> 'TargetLoad':
        """Return the sum of both."""
        return TargetLoad(
            self.requests_count + other.requests_count,
            self.unread_tokens + other.unread_tokens,
            self.memory_tokens + other.memory_tokens,
        )

    def minus(self, other: 'TargetLoad') -> 'TargetLoad':
        """Return the difference."""
        return TargetLoad(
            self.requests_count - other.requests_count,
            self.unread_tokens - other.unread_tokens,
            self.memory_tokens - other.memory_tokens,
        )

    def times(self, factor: float) -> 'TargetLoad':
        """Return a part of the load."""
        return TargetLoad(
            round(self.requests_count * factor),
            round(self.unread_tokens * factor),
            round(self.memory_tokens * factor),
        )


_ZERO = TargetLoad()


class InFlightRequest:
    """A request in progress at a target.

    Keeps the load of the target up to date until the response is complete.
    """

    def __init__(
        self,
        tracker: 'LoadTracker',
        target: TargetId,
        load: TargetLoad,
        started_seconds: float,
    ) -> None:
        """Create a request whose load :meth:`LoadTracker.start` counts."""
        self.target = target
        self.load = load
        self.started_seconds = started_seconds
        self._tracker = tracker
        self._is_prompt_read = False
        self._is_ended = False

    def on_first_event(self) -> None:
        """Deduct the prompt tokens, which the target has read by now."""
        if not self._is_prompt_read and not self._is_ended:
            self._is_prompt_read = True
            self._tracker.add(
                self.target, TargetLoad(0, -self.load.unread_tokens, 0)
            )

    def end(self) -> None:
        """Remove the request from the load of its target."""
        if self._is_ended:
            return
        self.on_first_event()
        self._is_ended = True
        self._tracker.add(
            self.target, TargetLoad(-1, 0, -self.load.memory_tokens)
        )


class LoadTracker:
    """Load of the targets, local and as reported by the peers.

    A report holds for two seconds after the last heartbeat of its peer. It
    answers two cases in which most peers are silent. If they are lost, their
    load is gone and the targets are idle. If this router is cut off, they go on
    and the targets are as busy as before. The reports then hold for longer, and
    the load is given up step by step. A target that rejects a request of this
    router, or begins it late, is in use by others: there it is assumed again.
    """

    def __init__(self) -> None:
        """Create a tracker without load."""
        self._local: dict[TargetId, TargetLoad] = {}
        self._reported = PeerSums[TargetId, TargetLoad](_ZERO, self._on_expired)
        self._reported.lifetime_seconds = _UNCHECKED_LIFETIME_SECONDS
        self._is_isolated = False
        # Last reported by silent peers, and the part that is not given up.
        self._silent: dict[TargetId, TargetLoad] = {}
        self._assumed: dict[TargetId, TargetLoad] = {}
        self._assumed_seconds: dict[TargetId, float] = {}

    @property
    def local_loads(self) -> Mapping[TargetId, TargetLoad]:
        """Return the load that this router caused; idle targets are omitted."""
        return self._local

    def start(
        self, target: TargetId, load: TargetLoad, now_seconds: float
    ) -> InFlightRequest:
        """Add a request that is being sent to the load of its target."""
        self.add(target, load)
        return InFlightRequest(self, target, load, now_seconds)

    def add(self, target: TargetId, change: TargetLoad) -> None:
        """Change the local load of a target."""
        load = self._local.get(target, _ZERO).plus(change)
        if load.requests_count or load.unread_tokens or load.memory_tokens:
            self._local[target] = load
        else:
            self._local.pop(target, None)

    def on_report(
        self,
        router: RouterId,
        loads: Mapping[TargetId, TargetLoad],
        now_seconds: float,
    ) -> None:
        """Replace the load that a peer reported before."""
        self._reported.on_report(router, loads, now_seconds)

    def expire(self, now_seconds: float, *, is_isolated: bool) -> None:
        """Apply the age of the reports; has to be called periodically.

        :param is_isolated: whether most peers are silent.
        """
        self._is_isolated = is_isolated
        if is_isolated:
            self._reported.lifetime_seconds = _ISOLATED_LIFETIME_SECONDS
            self._reported.expire(now_seconds)
        else:
            self._silent.clear()
            self._assumed_seconds.clear()
            self._reported.lifetime_seconds = _UNCHECKED_LIFETIME_SECONDS
            self._reported.expire(now_seconds, REPORT_LIFETIME_SECONDS)
        self._assumed = {
            target: load.times(self._assumed_part(target, now_seconds))
            for target, load in self._silent.items()
        }

    def on_begun(
        self, target: TargetId, late_seconds: float, now_seconds: float
    ) -> None:
        """Record that a target has begun a request of this router.

        :param late_seconds: how much later than predicted.
        """
        if late_seconds > _BUSY_DELAY_SECONDS:
            self.on_rejected(target, now_seconds)

    def on_rejected(self, target: TargetId, now_seconds: float) -> None:
        """Record that a target is busy with requests of others.

        What the requests of this router alone explain is no sign of it: one
        caller could keep the load assumed at the expense of the others.
        """
        silent = self._silent.get(target)
        if silent is not None:
            self._assumed_seconds[target] = now_seconds
            self._assumed[target] = silent

    def total(self, target: TargetId) -> TargetLoad:
        """Return the load of a target over all routers."""
        load = self._reported.get(target)
        for own in (self._assumed.get(target), self._local.get(target)):
            if own is not None:
                load = load.plus(own)
        return load

    def _on_expired(self, loads: Mapping[TargetId, TargetLoad]) -> None:
        if not self._is_isolated:
            return
        for target, load in loads.items():
            self._silent[target] = self._silent.get(target, _ZERO).plus(load)

    def _assumed_part(self, target: TargetId, now_seconds: float) -> float:
        since_seconds = self._assumed_seconds.setdefault(target, now_seconds)
        elapsed_seconds = now_seconds - since_seconds
        return max(0, 1 - elapsed_seconds / _RELEASE_SECONDS)
