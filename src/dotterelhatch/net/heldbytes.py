"""Limit of the bytes that the responses of a process hold in memory."""

from collections import Counter
from typing import Final, Protocol

__all__ = ('HeldBytes', 'Holder')

# A response that holds less is not dropped. As many fit into the memory as
# there are connections.
_MIN_DROPPED_BYTES: Final = 65_536


class Holder(Protocol):
    """A response that holds bytes."""

    @property
    def address(self) -> str:
        """Return the address of its target."""

    @property
    def may_be_dropped(self) -> bool:
        """Return whether its bytes are free as soon as it is dropped."""

    def drop(self, detail: str) -> None:
        """End the response and let go of its bytes."""


class HeldBytes:
    """The bytes that the responses of all targets hold together.

    Targets that send without end could fill the memory on many connections at
    once, each within its own limit. Above the limit the longest incomplete
    response of the target that holds the most is dropped, so that the others
    go on.

    :param max_bytes: limit of all responses together.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start with no responses."""
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.dropped_count = 0
        self._counts: dict[Holder, int] = {}

    def hold(self, holder: Holder, count: int) -> None:
        """Set how many bytes a response holds; drop some if need be."""
        self.total_bytes += count - self._counts.get(holder, 0)
        self._counts[holder] = count
        while self.total_bytes > self.max_bytes:
            dropped = self._choose()
            if dropped is None:
                return
            self.release(dropped)
            self.dropped_count += 1
            dropped.drop(
                f'all responses together exceed {self.max_bytes} bytes'
            )

    def release(self, holder: Holder) -> None:
        """Forget a response that holds nothing any more."""
        self.total_bytes -= self._counts.pop(holder, 0)

    def _choose(self) -> Holder | None:
        """Return the response to drop, None if there is none."""
        by_address: Counter[str] = Counter()
        for holder, held_bytes in self._counts.items():
            by_address[holder.address] += held_bytes
        return max(
            filter(self._may_be_dropped, self._counts),
            key=lambda one: (by_address[one.address], self._counts[one]),
            default=None,
        )

    def _may_be_dropped(self, holder: Holder) -> bool:
        is_long = self._counts[holder] >= _MIN_DROPPED_BYTES
        return is_long and holder.may_be_dropped
