"""Distinguishes a crash of a target from a broken connection."""

from typing import Final

import curio

from dotterelhatch.net.targets import (
    FailureReason,
    FailureStage,
    TargetClient,
    TargetFailure,
)

__all__ = ('CrashDetector',)

_BROKEN_CONNECTION_REASONS: Final = frozenset(
    (FailureReason.RESET, FailureReason.TRUNCATED)
)


class CrashDetector:
    """Tracks the instance id at each address and probes after failures.

    Connections also break because of routers, load or middleboxes. A broken
    connection therefore counts as a crash only if a probe on a new connection
    fails or finds another instance.
    """

    def __init__(self, targets: TargetClient) -> None:
        """Start without known instances."""
        self._targets = targets
        self._instances: dict[str, str] = {}
        self._probing: set[str] = set()

    async def remember_instance(self, address: str) -> None:
        """Probe a target in the background if its instance is unknown."""
        if address in self._instances or address in self._probing:
            return
        self._probing.add(address)
        await curio.spawn(self._probe, address, daemon=True)

    async def has_crashed(self, address: str, failure: TargetFailure) -> bool:
        """Return whether the target crashed while executing the request."""
        was_sent = failure.stage is not FailureStage.NOT_SENT
        if not was_sent or failure.reason not in _BROKEN_CONNECTION_REASONS:
            return False
        known_instance = self._instances.get(address)
        instance = await self._probe(address)
        # An empty id means that the target reports no instance, not a new one.
        return instance is None or instance not in {known_instance, ''}

    async def _probe(self, address: str) -> str | None:
        instance = await self._targets.probe(address)
        self._probing.discard(address)
        if instance is None:
            self._instances.pop(address, None)
        else:
            self._instances[address] = instance
        return instance
