"""Tells a crash of a target from a connection that broke."""

from typing import Final

import curio

from dotterelhatch.net.targets import (
    FailureReason,
    FailureStage,
    TargetClient,
    TargetFailure,
)

__all__ = ('CrashDetector',)

_BROKEN: Final = frozenset((FailureReason.RESET, FailureReason.TRUNCATED))


class CrashDetector:
    """Remembers the instance behind each address and probes after a break.

    Routers, load and middleboxes break connections too, so a break counts as
    a crash only when a fresh connection finds nothing or a new instance.
    """

    def __init__(self, targets: TargetClient) -> None:
        """Start with no instance known."""
        self._targets = targets
        self._instances: dict[str, str] = {}
        self._learning: set[str] = set()

    async def remember_instance(self, address: str) -> None:
        """Probe a target in the background unless its instance is known."""
        if address in self._instances or address in self._learning:
            return
        self._learning.add(address)
        await curio.spawn(self._probe, address, daemon=True)

    async def has_crashed(self, address: str, failure: TargetFailure) -> bool:
        """Return whether the target crashed while it ran a request."""
        sent = failure.stage is not FailureStage.NOT_SENT
        if not sent or failure.reason not in _BROKEN:
            return False
        known = self._instances.get(address)
        found = await self._probe(address)
        # A service that names no instance is not taken for a new one.
        return found is None or found not in {known, ''}

    async def _probe(self, address: str) -> str | None:
        found = await self._targets.probe(address)
        self._learning.discard(address)
        if found is None:
            self._instances.pop(address, None)
        else:
            self._instances[address] = found
        return found
