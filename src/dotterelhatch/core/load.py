"""Load of each target: requests in progress, sent by any router."""

from collections.abc import Mapping

import msgspec

from dotterelhatch.core.peersums import PeerSums
from dotterelhatch.core.reported import Count
from dotterelhatch.ids import RouterId, TargetId

__all__ = ('InFlightRequest', 'LoadTracker', 'TargetLoad')


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
    """Load of the targets, local and as reported by the peers."""

    def __init__(self) -> None:
        """Create a tracker without load."""
        self._local: dict[TargetId, TargetLoad] = {}
        self._reported = PeerSums[TargetId, TargetLoad](_ZERO)

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
        """Replace the load that a peer reported before.

        Reports expire only when another one arrives: a router that receives
        no heartbeats at all can't determine which of its peers have stopped.
        """
        self._reported.on_report(router, loads, now_seconds)

    def total(self, target: TargetId) -> TargetLoad:
        """Return the load of a target over all routers."""
        reported = self._reported.get(target)
        local = self._local.get(target)
        return reported if local is None else local.plus(reported)
