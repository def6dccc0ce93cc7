"""Tells crashed targets from broken connections."""

import logging
from typing import Any, Final

import curio

from dotterelhatch.core.messages import CrashReport
from dotterelhatch.core.registry import TargetEntry
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.ids import Fingerprint, TargetId
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = ('CrashProber',)

_LOGGER: Final = logging.getLogger(__name__)
# The connections of a crashed target break within milliseconds of each other.
_COLLECT_SECONDS: Final = 0.05
_CONNECT_TIMEOUT_SECONDS: Final = 0.5
# Reports of a crash are repeated in this many heartbeats, which may be lost.
_REPORT_REPEATS_COUNT: Final = 6


class CrashProber:
    """Connects to a target whose connections broke.

    A refused connection means that the process is gone, and the requests
    that it ran become crash suspects.

    :param state: of this gateway.
    """

    def __init__(self, state: GatewayState) -> None:
        """Start without suspects."""
        self._state = state
        self._broken: dict[TargetId, list[Fingerprint]] = {}
        self._reports: list[tuple[CrashReport, int]] = []

    async def on_connection_broken(
        self, entry: TargetEntry, fingerprint: Fingerprint
    ) -> None:
        """Note a request whose connection broke while it may have run."""
        waiting = self._broken.get(entry.id)
        if waiting is not None:
            waiting.append(fingerprint)
            return
        self._broken[entry.id] = [fingerprint]
        await curio.spawn(self._examine, entry, daemon=True)

    def take_reports(self) -> tuple[CrashReport, ...]:
        """Return the reports for the next heartbeat."""
        reports = tuple(report for report, _ in self._reports)
        self._reports = [
            (report, left - 1) for report, left in self._reports if left > 1
        ]
        return reports

    async def _examine(self, entry: TargetEntry) -> None:
        await curio.sleep(_COLLECT_SECONDS)
        is_alive = await _accepts_connection(entry.address)
        fingerprints = self._broken.pop(entry.id)
        log_decision(
            Decision.TARGET_SUSPECTED,
            target=entry.id,
            address=entry.address,
            accepts_connections=is_alive,
            broken_count=len(fingerprints),
        )
        if is_alive:
            return
        now_seconds = self._state.clock()
        self._state.health.on_timeout(entry.id, now_seconds)
        reports = self._state.suspects.on_crash(
            entry.id, fingerprints, now_seconds
        )
        self._reports += [(report, _REPORT_REPEATS_COUNT) for report in reports]


async def _accepts_connection(address: str) -> bool:
    try:
        stream: Any = await SocketStream.connect(
            address, _CONNECT_TIMEOUT_SECONDS
        )
    except (OSError, WaitTimeoutError) as error:
        _LOGGER.debug('target %s is away: %s', address, error)
        return False
    stream.close()
    return True
