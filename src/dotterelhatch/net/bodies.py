"""Bodies of requests while they arrive, and what all of them may take."""

from collections.abc import Callable
from types import TracebackType
from typing import Final, Self

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.net.heldbytes import HeldBytes, HoldRules

__all__ = ('BodyBuffer', 'HeldBody', 'request_bodies')

# Fits into the memory that each connection is counted with.
_MIN_COUNTED_BYTES: Final = 4_096
# Leaves room for the bodies of other organisations.
_MAX_OWNER_RATIO: Final = 2 / 3


class BodyBuffer:
    """The parts of a body that have arrived."""

    def __init__(self) -> None:
        """Start without any part."""
        self._parts: list[bytes] = []
        self.total_bytes = 0

    def expect(self, length_bytes: int) -> None:
        """Prepare for a body whose length is known."""

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self.total_bytes += len(part)
        self._parts.append(part)

    def join(self) -> bytes:
        """Return the body, which has arrived to its end."""
        body = b''.join(self._parts)
        self._parts.clear()
        return body


class HeldBody(BodyBuffer):
    """A body that counts for the memory of all bodies until its request ends.

    :param held: the bytes of all bodies.
    :param owner: the organisation of the request.
    :param choose_retry_after_seconds: returns when a caller whose body has no
        room may return.
    """

    def __init__(
        self,
        held: HeldBytes,
        owner: str,
        choose_retry_after_seconds: Callable[[], float],
    ) -> None:
        """Start without any part."""
        super().__init__()
        self.owner = owner
        self.is_droppable = True
        self._held = held
        self._choose_retry_after_seconds = choose_retry_after_seconds
        self._expected_bytes = 0
        self._drop_detail: str | None = None

    def __enter__(self) -> Self:
        """Return the body."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Let go of the body, as its request has ended."""
        self._held.release(self)

    def expect(self, length_bytes: int) -> None:
        """Take the room for the body before any of it is read.

        :raises DotterelhatchError: ROUTER_OVERLOADED if there is none.
        """
        self._expected_bytes = length_bytes
        self._hold()

    def add(self, part: bytes) -> None:
        """Add the next part.

        :raises DotterelhatchError: ROUTER_OVERLOADED if there is no room, or
            another body took it.
        """
        self._raise_if_dropped()
        super().add(part)
        if self.total_bytes > self._expected_bytes:
            self._hold()

    def join(self) -> bytes:
        """Return the body; from now on no other one takes its room.

        :raises DotterelhatchError: ROUTER_OVERLOADED if one has taken it.
        """
        self._raise_if_dropped()
        self.is_droppable = False
        return super().join()

    def drop(self, detail: str) -> None:
        """Let go of what has arrived; the next part is rejected."""
        self._drop_detail = detail
        self._parts.clear()

    def _hold(self) -> None:
        self._held.hold(self, max(self._expected_bytes, self.total_bytes))
        self._raise_if_dropped()

    def _raise_if_dropped(self) -> None:
        if self._drop_detail is not None:
            raise DotterelhatchError(
                ErrorKind.ROUTER_OVERLOADED,
                f'no room for the body: {self._drop_detail}',
                retry_after_seconds=self._choose_retry_after_seconds(),
            )


def request_bodies(max_bytes: int) -> HeldBytes:
    """Return the count of the bytes of all request bodies.

    :param max_bytes: limit of all bodies together.
    """
    return HeldBytes(
        max_bytes,
        HoldRules(_MIN_COUNTED_BYTES, _MAX_OWNER_RATIO, drops_newest=True),
    )
