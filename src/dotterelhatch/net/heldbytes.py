"""Limit of the bytes that the responses of a process hold in memory."""

from collections import Counter
from typing import Final, Protocol

__all__ = ('HeldBytes', 'Holder')

# A response that holds less is not counted. As many fit into the memory as
# there are connections.
_MIN_COUNTED_BYTES: Final = 65_536


class Holder(Protocol):
    """A response that holds bytes."""

    @property
    def address(self) -> str:
        """Return the address of its target."""

    def drop(self, detail: str) -> None:
        """End the response and let go of its bytes."""


class HeldBytes:
    """The bytes that the long responses of all targets hold together.

    Targets that send without end, or callers that do not read, could fill the
    memory on many connections at once, each within its own limit. Above the
    limit the longest response of the target that holds the most is dropped, so
    that the others go on.

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
        self.release(holder)
        if count < _MIN_COUNTED_BYTES:
            return
        self._counts[holder] = count
        self.total_bytes += count
        while self.total_bytes > self.max_bytes:
            dropped = self._choose()
            self.release(dropped)
            self.dropped_count += 1
            dropped.drop(
                f'all responses together exceed {self.max_bytes} bytes'
            )

    def release(self, holder: Holder) -> None:
        """Forget a response that holds nothing any more."""
        self.total_bytes -= self._counts.pop(holder, 0)

    def _choose(self) -> Holder:
        """Return the response to drop."""
        by_address: Counter[str] = Counter()
        for holder, held_bytes in self._counts.items():
            by_address[holder.address] += held_bytes
        return max(
            self._counts,
            key=lambda one: (by_address[one.address], self._counts[one]),
        )
