"""Work in progress at each target, as sent by this router and its peers."""

from collections.abc import Mapping
from dataclasses import dataclass

from dotterelhatch.core.peersums import PeerSums
from dotterelhatch.ids import RouterId, TargetId

__all__ = ('InFlightRequest', 'LoadTracker', 'TargetLoad')


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Requests that a target has and that are not answered completely.

    :param unread_tokens: prompt tokens that the target still has to read.
    :param memory_tokens: tokens that the requests may occupy at their end.
    """

    requests_count: int = 0
    unread_tokens: int = 0
    memory_tokens: int = 0

    def plus(self, other: 'TargetLoad') -> 'TargetLoad':
        """Return the sum of both."""
        return TargetLoad(
            self.requests_count + other.requests_count,
            self.unread_tokens + other.unread_tokens,
            self.memory_tokens + other.memory_tokens,
        )

    def minus(self, other: 'TargetLoad') -> 'TargetLoad':
        """Return what is left without the other."""
        return TargetLoad(
            self.requests_count - other.requests_count,
            self.unread_tokens - other.unread_tokens,
            self.memory_tokens - other.memory_tokens,
        )


_NOTHING = TargetLoad()


class InFlightRequest:
    """One request at one target, from sending to the end of its answer."""

    def __init__(
        self,
        board: 'LoadTracker',
        target: TargetId,
        load: TargetLoad,
        started_seconds: float,
    ) -> None:
        """Keep the parts; :meth:`LoadTracker.start` counts them."""
        self.target = target
        self.load = load
        self.started_seconds = started_seconds
        self._board = board
        self._has_begun = False
        self._has_ended = False

    def on_first_event(self) -> None:
        """Note that the target has read the prompt."""
        if not self._has_begun and not self._has_ended:
            self._has_begun = True
            self._board.add(
                self.target, TargetLoad(0, -self.load.unread_tokens, 0)
            )

    def end(self) -> None:
        """Remove the request from the load of its target."""
        if self._has_ended:
            return
        self.on_first_event()
        self._has_ended = True
        self._board.add(
            self.target, TargetLoad(-1, 0, -self.load.memory_tokens)
        )


class LoadTracker:
    """Load of the targets: exact for this router, reported for the others."""

    def __init__(self) -> None:
        """Start without load."""
        self._local: dict[TargetId, TargetLoad] = {}
        self._reported = PeerSums[TargetId, TargetLoad](_NOTHING)

    @property
    def local_loads(self) -> Mapping[TargetId, TargetLoad]:
        """Return what this router has sent, targets without load left out."""
        return self._local

    def start(
        self, target: TargetId, load: TargetLoad, now_seconds: float
    ) -> InFlightRequest:
        """Count a request that is sent now."""
        self.add(target, load)
        return InFlightRequest(self, target, load, now_seconds)

    def add(self, target: TargetId, change: TargetLoad) -> None:
        """Change the own load of a target."""
        load = self._local.get(target, _NOTHING).plus(change)
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
        """Replace what a peer reported before.

        Without any report the last ones stay, as a router that hears nobody
        can't tell who stopped.
        """
        self._reported.on_report(router, loads, now_seconds)

    def total(self, target: TargetId) -> TargetLoad:
        """Return the load that all routers have put on a target."""
        reported = self._reported.get(target)
        local = self._local.get(target)
        return reported if local is None else local.plus(reported)
