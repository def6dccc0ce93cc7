"""Distinguishes crashed targets from targets with broken connections."""

import enum
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import curio

from dotterelhatch.core.crashcauses import CrashedRun, format_cause
from dotterelhatch.core.registry import TargetEntry
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.ids import CauseId, TargetId
from dotterelhatch.net.stream import SocketStream, WaitTimeoutError

__all__ = ('BrokenRun', 'CrashProber')

_LOGGER: Final = logging.getLogger(__name__)
# The connections of a crashed target break within milliseconds of each other;
# the delay collects all requests that were on them.
_COLLECTION_DELAY_SECONDS: Final = 0.05
_CONNECT_TIMEOUT_SECONDS: Final = 0.5
# The host of a crashed process refuses a connection within a millisecond.
_MAX_ANSWER_DELAY_SECONDS: Final = 0.05


class _ProbeResult(enum.Enum):
    """Result of an attempt to connect to a target.

    REFUSED: its host responds, but its process does not listen. UNREACHABLE:
    there is no response, for which the path to the host may be the reason.
    OMITTED: the target leaves or pauses and is not to be contacted. A leaving
    target ends its connections and its process without a crash.
    """

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    OMITTED = 'omitted'


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A request whose connection to its target broke.

    :param causes: what may have crashed the target.
    :param began_seconds: clock time at which it was sent.
    """

    causes: tuple[CauseId, ...]
    began_seconds: float


@dataclass(slots=True)
class _BrokenTarget:
    """The broken connections of a target until it is known why they broke.

    :param at_seconds: clock time at which the first one broke.
    :param runs: those that are not recorded as part of a crash yet.
    :param probed: is set after the first probe.
    """

    at_seconds: float
    runs: list[BrokenRun] = field(default_factory=list)
    broken_count: int = 0
    probed: Any = field(default_factory=curio.Event)


class CrashProber:
    """Probes a target after one of its connections broke.

    If the target refuses the probe, its process has crashed, and the requests
    that it was executing may be the cause.

    :param state: of this gateway.
    :param report_news: tells the peers at once what is known of crashes.
    """

    def __init__(
        self, state: GatewayState, report_news: Callable[[], Awaitable[None]]
    ) -> None:
        """Start without broken connections."""
        self._state = state
        self.report_news = report_news
        self._broken: dict[TargetId, _BrokenTarget] = {}

    async def on_connection_broken(
        self, entry: TargetEntry, run: BrokenRun
    ) -> None:
        """Record a request that may have been in progress; probe the target.

        Returns when the peers have been told of a crash, or after a moment. The
        request may be sent again after that, by this router or by its caller.
        """
        broken = self._broken.get(entry.id)
        if broken is None:
            broken = _BrokenTarget(self._state.clock())
            self._broken[entry.id] = broken
            await curio.spawn(self._probe, entry, broken, daemon=True)
        broken.runs.append(run)
        broken.broken_count += 1
        await curio.ignore_after(_MAX_ANSWER_DELAY_SECONDS, broken.probed.wait)

    async def on_connection_ended(
        self, entry: TargetEntry, run: BrokenRun
    ) -> None:
        """Clear the causes of a response that ended with its connection.

        If the target has crashed, the response may be incomplete.
        """
        if self._state.crash_causes.is_suspect(run.causes):
            await curio.spawn(self._confirm, entry, run, daemon=True)

    async def _confirm(self, entry: TargetEntry, run: BrokenRun) -> None:
        await curio.sleep(_COLLECTION_DELAY_SECONDS)
        outcome = await self._probe_connection(entry)
        if outcome is _ProbeResult.OMITTED:
            return
        if outcome is _ProbeResult.ACCEPTED:
            is_changed = self._state.crash_causes.on_completed(
                run.causes, self._state.clock()
            )
            if is_changed:
                log_decision(
                    Decision.CRASH_CAUSE_CLEARED,
                    target=entry.id,
                    reason='connection_ended',
                    crash_causes=[format_cause(cause) for cause in run.causes],
                )
            await self.report_news()
        else:
            await self.on_connection_broken(entry, run)

    async def _probe(self, entry: TargetEntry, broken: _BrokenTarget) -> None:
        """Probe at once, and again if connections break as the target ends."""
        try:
            outcome = await self._probe_twice(entry, broken)
        finally:
            self._broken.pop(entry.id)
        log_decision(
            Decision.TARGET_SUSPECTED,
            target=entry.id,
            address=entry.address,
            accepts_connections=outcome is _ProbeResult.ACCEPTED,
            probe=outcome.value,
            broken_count=broken.broken_count,
        )
        await self._record(entry, broken, outcome)
        if outcome not in {_ProbeResult.ACCEPTED, _ProbeResult.OMITTED}:
            self._state.health.on_timeout(entry.id, self._state.clock())

    async def _probe_twice(
        self, entry: TargetEntry, broken: _BrokenTarget
    ) -> _ProbeResult:
        try:
            outcome = await self._probe_connection(entry)
            await self._record(entry, broken, outcome)
        finally:
            await broken.probed.set()
        await curio.sleep(_COLLECTION_DELAY_SECONDS)
        if outcome is _ProbeResult.ACCEPTED:
            outcome = await self._probe_connection(entry)
        return outcome

    async def _record(
        self,
        entry: TargetEntry,
        broken: _BrokenTarget,
        outcome: _ProbeResult,
    ) -> None:
        """Record the requests of a crash and tell the peers."""
        if outcome is not _ProbeResult.REFUSED or not broken.runs:
            return
        runs = [
            CrashedRun(
                run.causes, max(0, broken.at_seconds - run.began_seconds)
            )
            for run in broken.runs
        ]
        broken.runs.clear()
        self._state.crash_causes.on_crash(entry.id, runs, broken.at_seconds)
        await self.report_news()

    async def _probe_connection(self, entry: TargetEntry) -> _ProbeResult:
        """Connect to a target unless it leaves or pauses."""
        state = self._state
        is_paused = state.balancer.pauses.is_paused(entry, state.clock())
        if is_paused or not state.registry.is_usable(entry):
            return _ProbeResult.OMITTED
        return await _probe_connection(entry.address)


async def _probe_connection(address: str) -> _ProbeResult:
    try:
        stream: Any = await SocketStream.connect(
            address, _CONNECT_TIMEOUT_SECONDS
        )
    except ConnectionRefusedError as error:
        _LOGGER.debug('target %s refused the probe: %s', address, error)
        return _ProbeResult.REFUSED
    except (OSError, WaitTimeoutError) as error:
        _LOGGER.debug('probe did not reach target %s: %s', address, error)
        return _ProbeResult.UNREACHABLE
    stream.close()
    return _ProbeResult.ACCEPTED
