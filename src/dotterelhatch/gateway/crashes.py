"""Distinguishes crashed targets from targets with broken connections."""

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
# The connections of a crashed target break within milliseconds of each other;
# the delay collects all requests that were on them.
_COLLECTION_DELAY_SECONDS: Final = 0.05
_CONNECT_TIMEOUT_SECONDS: Final = 0.5
# Heartbeats that carry a crash report; single datagrams may be lost.
_REPORT_HEARTBEATS_COUNT: Final = 6


class CrashProber:
    """Probes a target after one of its connections broke.

    If the probe can't connect, the target process has crashed, and the
    requests that it was executing become crash suspects.

    :param state: of this gateway.
    """

    def __init__(self, state: GatewayState) -> None:
        """Start without broken connections."""
        self._state = state
        self._broken_requests: dict[TargetId, list[Fingerprint]] = {}
        self._reports: list[tuple[CrashReport, int]] = []

    async def on_connection_broken(
        self, entry: TargetEntry, fingerprint: Fingerprint
    ) -> None:
        """Record a request that may have been in progress; start a probe."""
        pending = self._broken_requests.get(entry.id)
        if pending is not None:
            pending.append(fingerprint)
            return
        self._broken_requests[entry.id] = [fingerprint]
        await curio.spawn(self._probe, entry, daemon=True)

    def take_reports(self) -> tuple[CrashReport, ...]:
        """Return the crash reports for the next heartbeat."""
        reports = tuple(report for report, _ in self._reports)
        self._reports = [
            (report, remaining_count - 1)
            for report, remaining_count in self._reports
            if remaining_count > 1
        ]
        return reports

    async def _probe(self, entry: TargetEntry) -> None:
        await curio.sleep(_COLLECTION_DELAY_SECONDS)
        is_alive = await _accepts_connection(entry.address)
        fingerprints = self._broken_requests.pop(entry.id)
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
        reports = self._state.crash_suspects.on_crash(
            entry.id, fingerprints, now_seconds
        )
        self._reports += [
            (report, _REPORT_HEARTBEATS_COUNT) for report in reports
        ]


async def _accepts_connection(address: str) -> bool:
    try:
        stream: Any = await SocketStream.connect(
            address, _CONNECT_TIMEOUT_SECONDS
        )
    except (OSError, WaitTimeoutError) as error:
        _LOGGER.debug(
            'probe could not connect to target %s: %s', address, error
        )
        return False
    stream.close()
    return True
