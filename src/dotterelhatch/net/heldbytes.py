"""Limit of the bytes that the messages of a process hold in memory."""

import math
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

__all__ = ('HeldBytes', 'HoldRules', 'Holder')

# A response that holds less is not counted. As many fit into the memory as
# there are connections.
_MIN_RESPONSE_BYTES: Final = 65_536
# A caller that takes nothing for this long does not read. One that reads takes
# more within milliseconds.
_STALL_SECONDS: Final = 0.1
# Looks that are further apart show that the process itself did not run.
_MAX_LOOK_GAP_SECONDS: Final = 0.05


@dataclass(frozen=True, slots=True)
class HoldRules:
    """Which messages count, and which are dropped.

    :param min_counted_bytes: one that holds less is not counted.
    :param max_owner_ratio: part of the limit that the messages of one owner may
        take, infinite for no such limit. A new one beyond it is dropped.
    :param drops_newest: whether of several equal ones the newest is dropped,
        otherwise the oldest.
    """

    min_counted_bytes: int = _MIN_RESPONSE_BYTES
    max_owner_ratio: float = math.inf
    drops_newest: bool = False


class Holder(Protocol):
    """A response or a request body that holds bytes."""

    @property
    def owner(self) -> str:
        """Return what its bytes count for, a target or an organisation."""

    @property
    def is_droppable(self) -> bool:
        """Return whether its bytes may be dropped."""

    def drop(self, detail: str) -> None:
        """End the message and let go of its bytes."""


@dataclass(slots=True)
class _Offer:
    """A message that is being sent to its caller.

    :param sent: returns the bytes that the caller has taken so far.
    :param end_bytes: what that returns when the message has been taken.
    :param taken_seconds: when a look last showed that the caller took some.
    """

    sent: Callable[[], int]
    end_bytes: int
    taken_bytes: int
    taken_seconds: float
    is_stalled: bool = False


class HeldBytes:
    """The bytes that the long messages of all owners hold together.

    Targets that send without end, callers that do not read, or callers that
    send long bodies could fill the memory on many connections at once, each
    within its own limit. Above the limit the message is dropped of which a
    caller that does not read has left the most; without one, the longest
    message of the owner that holds the most. The others go on.

    :param max_bytes: limit of all messages together.
    :param rules: which messages count, and which are dropped.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        max_bytes: int,
        rules: HoldRules | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with no messages."""
        self.max_bytes = max_bytes
        self._rules = rules or HoldRules()
        self._clock = clock
        self._looked_seconds = -math.inf
        self._offers: dict[Holder, _Offer] = {}
        self._reserved: dict[Holder, int] = {}
        self.total_bytes = 0
        self.dropped_count = 0
        self._counts: dict[Holder, int] = {}
        self._by_owner: Counter[str] = Counter()

    def hold(
        self,
        holder: Holder,
        count: int,
        sent: Callable[[], int] | None = None,
    ) -> None:
        """Set how many bytes a message holds; drop some if need be.

        :param sent: returns the bytes that the caller has taken so far, None
            while the message is not sent to its caller.
        """
        self.release(holder)
        if count < self._rules.min_counted_bytes:
            return
        self._counts[holder] = count
        if sent is not None:
            taken_bytes = sent()
            self._offers[holder] = _Offer(
                sent, taken_bytes + count, taken_bytes, self._clock()
            )
        self._by_owner[holder.owner] += count
        self.total_bytes += count
        max_owner_bytes = self.max_bytes * self._rules.max_owner_ratio
        if self._by_owner[holder.owner] > max_owner_bytes:
            self._drop(
                holder, f'those of one owner exceed {max_owner_bytes:g} bytes'
            )
        while self.total_bytes > self.max_bytes:
            self._drop(
                self._choose(), f'all together exceed {self.max_bytes} bytes'
            )

    def try_reserve(self, holder: Holder, count: int) -> bool:
        """Reserve room for a message; return whether there is enough.

        Messages of one owner that would not fit together are collected one
        after the other. Only a message that is sent to its caller shows
        whether the caller reads; one that is left unread is dropped for the
        next one.
        """
        reserved_bytes = sum(
            other_count
            for other, other_count in self._reserved.items()
            if other.owner == holder.owner
        )
        if not reserved_bytes or reserved_bytes + count <= self.max_bytes:
            self._reserved[holder] = count
            return True
        self._look()
        stalled = [
            one
            for one, offer in self._offers.items()
            if offer.is_stalled and one.owner == holder.owner
        ]
        if stalled:
            self._drop(
                max(stalled, key=self._left_bytes),
                f'all together would exceed {self.max_bytes} bytes',
            )
        return False

    def end_reservation(self, holder: Holder) -> None:
        """Make the room of a message free for others."""
        self._reserved.pop(holder, None)

    def is_undecided(self, holder: Holder, count: int) -> bool:
        """Return whether it is about to show which message to drop.

        So it is while there is no room for a message, no caller has left one
        unread, and some caller may still do so or make room. Has to be called
        several times, so that callers can be seen to take nothing.

        :param count: bytes that the message is going to hold.
        """
        other_bytes = self.total_bytes - self._counts.get(holder, 0)
        if other_bytes + count <= self.max_bytes or not self._offers:
            return False
        self._look()
        return not any(offer.is_stalled for offer in self._offers.values())

    def release(self, holder: Holder) -> None:
        """Forget a message that holds nothing any more."""
        self._offers.pop(holder, None)
        count = self._counts.pop(holder, 0)
        if count:
            self.total_bytes -= count
            self._by_owner[holder.owner] -= count
            if not self._by_owner[holder.owner]:
                self._by_owner.pop(holder.owner)

    def _choose(self) -> Holder:
        """Return the message to drop."""
        counted = list(self._counts)
        if self._rules.drops_newest:
            counted.reverse()
        return max(
            (one for one in counted if one.is_droppable),
            key=lambda one: (
                self._left_bytes(one),
                self._by_owner[one.owner],
                self._counts[one],
            ),
        )

    def _left_bytes(self, holder: Holder) -> int:
        """Return what a caller that does not read has left of a message."""
        offer = self._offers.get(holder)
        if offer is None or not offer.is_stalled:
            return 0
        return offer.end_bytes - offer.taken_bytes

    def _look(self) -> None:
        """Note which callers have taken some of their messages."""
        now_seconds = self._clock()
        did_not_run = now_seconds - self._looked_seconds > _MAX_LOOK_GAP_SECONDS
        self._looked_seconds = now_seconds
        for offer in self._offers.values():
            taken_bytes = offer.sent()
            if did_not_run or taken_bytes > offer.taken_bytes:
                offer.taken_seconds = now_seconds
            offer.taken_bytes = taken_bytes
            offer.is_stalled = (
                now_seconds - offer.taken_seconds >= _STALL_SECONDS
            )

    def _drop(self, holder: Holder, detail: str) -> None:
        self.release(holder)
        self.end_reservation(holder)
        self.dropped_count += 1
        holder.drop(detail)
