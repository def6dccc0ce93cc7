"""Causes of crashes that routers find together, and their rejection.

A cause is a request, or a part of prompts, that may crash the targets that run
it. A router sees few crashes, and sound requests run beside the crashing one.
So routers exchange what they have seen, wait until they all know it, and blame
first what no target has ever completed.
"""

import enum
import hashlib
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Hashable, Iterable
from dataclasses import dataclass, replace
from typing import Final

from dotterelhatch.core.crashblame import (
    Candidate,
    CauseSet,
    Crash,
    count_events,
    find_blamed,
)
from dotterelhatch.core.placement import coordinator_of
from dotterelhatch.core.prompts import Prompt, PromptPart
from dotterelhatch.core.reported import Age, Count
from dotterelhatch.core.suspectruns import SuspectRuns
from dotterelhatch.ids import (
    CauseId,
    Fingerprint,
    OrganisationId,
    RouterId,
    TargetId,
)

__all__ = (
    'CompletedCause',
    'SURVIVAL_SECONDS',
    'CrashCauses',
    'CrashEvidence',
    'CrashVerdict',
    'CrashView',
    'CrashedRun',
    'RejectedSet',
    'Suspicion',
    'format_cause',
    'request_causes',
)

# A target that crashes on a request does so soon after it begins to answer.
SURVIVAL_SECONDS: Final = 0.5
_DIGEST_BYTES: Final = 8
_MAX_PARTS_COUNT: Final = 64
# Crashes from which on requests with a cause share one target, and wait until
# it is known what happened.
_ISOLATED_CRASHES_COUNT: Final = 2
# Crashes from which on they run one at a time.
_SERIAL_CRASHES_COUNT: Final = 3
# Routers notice the crash of a target at slightly different times.
_SAME_CRASH_SECONDS: Final = 1.5
# A target needs longer than this to start again.
_MIN_RESTART_SECONDS: Final = 0.3
# A target that is not back by then may be lost for good.
_MAX_RESTART_SECONDS: Final = 5.0
_CRASH_LIFETIME_SECONDS: Final = 600.0
_MAX_CRASHES_COUNT: Final = 64
_MAX_CRASH_REQUESTS_COUNT: Final = 64
# Causes that are kept of a crash, for all requests together.
_MAX_CRASH_CAUSES_COUNT: Final = 1024
_MAX_SETS_COUNT: Final = 256
_MAX_COMPLETED_COUNT: Final = 8192
_MAX_CLEARED_COUNT: Final = 256
# Crashes count when the reports of all routers about them have arrived.
_MIN_SETTLING_SECONDS: Final = 0.4
_SETTLING_INTERVALS_COUNT: Final = 2
# Causes that have been completed before get time to be completed again.
_KNOWN_SETTLING_SECONDS: Final = 1.0
# A router that has served requests for this long knows what is completed.
_WARM_UP_SECONDS: Final = 5.0
_FIRST_TRIAL_SECONDS: Final = 30.0
_UNCERTAIN_FIRST_TRIAL_SECONDS: Final = 4.0
_TRIAL_BACKOFF_FACTOR: Final = 4
_MAX_TRIAL_SECONDS: Final = 480.0
# Requests with a rejected set that reach targets at most, trials and those
# before the rejection, until the set has been forgotten.
_MAX_TRIALS_COUNT: Final = 3
# A trial that has neither ended nor crashed its target by then is repeated.
_TRIAL_TIMEOUT_SECONDS: Final = 10.0
_SET_LIFETIME_SECONDS: Final = 1800.0
# What a heartbeat contains at most, and for how long it is repeated.
_REPORTED_CRASH_SECONDS: Final = 30.0
_REPORTED_CRASHES_COUNT: Final = 16
_REPORTED_CAUSES_COUNT: Final = 64
_REPORTED_SETS_COUNT: Final = 64
_REPORTED_SET_CAUSES_COUNT: Final = 512
_REPORTED_CLEARED_SECONDS: Final = 10.0
_REPORTED_COMPLETED_COUNT: Final = 64


class CrashVerdict(enum.Enum):
    """Whether a request may be sent to a target.

    TRIAL is a request that shows whether a rejection is still needed.
    """

    CLEAR = 'clear'
    TRIAL = 'trial'
    REJECT = 'reject'


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A request that was in progress as its target crashed.

    :param causes: what may have crashed the target.
    :param run_seconds: from the start of the run to the crash.
    """

    causes: tuple[CauseId, ...]
    run_seconds: float


@dataclass(frozen=True, slots=True)
class CrashView:
    """What one router has seen of the crash of a target.

    :param requests: the causes of each request that the router had there.
    :param runs_seconds: time that each of them had run, in the same order.
    """

    target: TargetId
    age_seconds: Age
    requests: tuple[tuple[CauseId, ...], ...]
    runs_seconds: tuple[Age, ...] = ()

    def began_seconds(self, at_seconds: float) -> dict[CauseSet, float]:
        """Return the start of each request.

        A router of an earlier version does not report it.

        :param at_seconds: time of the crash.
        """
        runs_seconds = self.runs_seconds
        if len(runs_seconds) != len(self.requests):
            runs_seconds = (math.inf,) * len(self.requests)
        began: dict[CauseSet, float] = {}
        for causes, run_seconds in zip(self.requests, runs_seconds):
            _add_first(began, frozenset(causes), at_seconds - run_seconds)
        return began


@dataclass(frozen=True, slots=True)
class RejectedSet:
    """Causes that are together in each of several crashes.

    :param age_seconds: since the last of these crashes.
    :param trials_count: trials that have crashed their targets.
    :param is_uncertain: whether they are tried again soon, because targets
        completed them earlier.
    """

    causes: tuple[CauseId, ...]
    age_seconds: Age
    trials_count: Count
    is_uncertain: bool


@dataclass(frozen=True, slots=True)
class Suspicion:
    """What is known of the most suspected cause of a request.

    :param crashes_count: crashes of targets that had it in progress, since
        it was last completed.
    :param events_count: the events that they make up.
    """

    cause: CauseId
    crashes_count: int
    events_count: int


@dataclass(frozen=True, slots=True)
class CompletedCause:
    """A cause of which a target has sent a complete answer."""

    cause: CauseId
    age_seconds: Age


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """What a router knows of crashes, for its heartbeat.

    :param claim_age_seconds: since the router claimed to run a suspected
        request, None if it does not.
    """

    crashes: tuple[CrashView, ...] = ()
    rejected: tuple[RejectedSet, ...] = ()
    completed: tuple[CompletedCause, ...] = ()
    claim_age_seconds: Age | None = None


def request_causes(
    organisation: OrganisationId | None,
    prompt: Prompt | None,
    fingerprint: Fingerprint,
) -> tuple[CauseId, ...]:
    """Return what may be the cause if a request crashes its target.

    Callers choose the names of parts. Each cause includes the organisation, so
    that no name is judged by what others send under it. Without an organisation
    only the whole request is a cause.
    """
    parts: tuple[PromptPart, ...] = ()
    if prompt is not None and organisation is not None:
        parts = prompt.shared_parts[:_MAX_PARTS_COUNT]
    names = [f'part/{part.id}' for part in parts]
    names.append(f'request/{fingerprint}')
    causes = (_digest(f'{organisation}\0{name}') for name in names)
    return tuple(dict.fromkeys(causes))


def format_cause(cause: CauseId) -> str:
    """Return a cause as it is written in log lines."""
    return f'{cause:0{2 * _DIGEST_BYTES}x}'


def _digest(name: str) -> CauseId:
    # Callers must not find a name that collides with another one.
    digest = hashlib.blake2b(
        name.encode('utf-8', 'surrogatepass'), digest_size=_DIGEST_BYTES
    ).digest()
    return CauseId(int.from_bytes(digest, 'big'))


def _limit_causes(
    causes: tuple[CauseId, ...], max_count: int
) -> tuple[CauseId, ...]:
    """Return the causes of the first parts, and that of the whole request."""
    if len(causes) <= max_count:
        return causes
    return (*causes[: max_count - 1], causes[-1])


def _add_first(
    began: dict[CauseSet, float], causes: CauseSet, seconds: float
) -> None:
    began[causes] = min(seconds, began.get(causes, math.inf))


@dataclass(slots=True)
class _Rejection:
    """State of a rejected set.

    :param crashed_seconds: time of the last crash with these causes.
    :param trials_count: trials that have crashed their targets, and requests
        that did so before the rejection although three crashes were known.
    :param trial_seconds: start of the latest trial at this router.
    """

    crashed_seconds: float
    trials_count: int
    is_uncertain: bool
    trial_seconds: float | None = None

    @property
    def first_trial_seconds(self) -> float:
        """Return the time from the last crash to the first trial."""
        if self.is_uncertain:
            return _UNCERTAIN_FIRST_TRIAL_SECONDS
        return _FIRST_TRIAL_SECONDS

    def on_crash(self, crashed_seconds: float) -> None:
        """Start the wait for the next trial anew."""
        wait_seconds = crashed_seconds - self.crashed_seconds
        self.trials_count += wait_seconds >= self.first_trial_seconds
        self.crashed_seconds = crashed_seconds
        self.trial_seconds = None

    def is_due(self, now_seconds: float) -> bool:
        """Return whether another request should be tried."""
        if self.trials_count >= _MAX_TRIALS_COUNT:
            return False
        wait_seconds = self.first_trial_seconds * math.pow(
            _TRIAL_BACKOFF_FACTOR, self.trials_count
        )
        due_seconds = self.crashed_seconds + min(
            wait_seconds, _MAX_TRIAL_SECONDS
        )
        if self.trial_seconds is not None:
            due_seconds = max(
                due_seconds, self.trial_seconds + _TRIAL_TIMEOUT_SECONDS
            )
        return now_seconds >= due_seconds


class CrashCauses:
    """Crashes, the causes that are blamed for them, and the exchange of both.

    :param router: this router.
    :param live_routers: returns all live routers, which agree by their names
        on the one that tries a rejected set again.
    """

    def __init__(
        self,
        router: RouterId,
        live_routers: Callable[[], Iterable[RouterId]],
    ) -> None:
        """Start without any crash."""
        self._router = router
        self._live_routers = live_routers
        self._crashes: list[Crash] = []
        self._suspects: Counter[CauseId] = Counter()
        self._rejected: dict[CauseSet, _Rejection] = {}
        # Last complete answer of each cause at this router, and at its peers if
        # they reported it.
        self._completed: OrderedDict[CauseId, float] = OrderedDict()
        self._cleared: OrderedDict[CauseId, None] = OrderedDict()
        self._warm_from_seconds = math.inf
        self._settling_seconds = _MIN_SETTLING_SECONDS
        self._runs = SuspectRuns(router)
        self._has_news = False

    @property
    def has_news(self) -> bool:
        """Return whether peers should get a report at once."""
        return self._has_news

    @property
    def rejected_sets(self) -> Collection[CauseSet]:
        """Return the sets of causes that are rejected."""
        return self._rejected.keys()

    def verdict(
        self, causes: Collection[CauseId], now_seconds: float
    ) -> CrashVerdict:
        """Return whether a request with these causes may be sent now."""
        if not self.is_suspect(causes):
            return CrashVerdict.CLEAR
        for rejected, rejection in self._rejected.items():
            if not rejected.issubset(causes):
                continue
            if not (
                rejection.is_due(now_seconds) and self._is_own_trial(rejected)
            ):
                return CrashVerdict.REJECT
            rejection.trial_seconds = now_seconds
            return CrashVerdict.TRIAL
        return CrashVerdict.CLEAR

    def is_suspect(self, causes: Iterable[CauseId]) -> bool:
        """Return whether a complete answer would change what is known."""
        return any(cause in self._suspects for cause in causes)

    def suspicion(self, causes: Iterable[CauseId]) -> Suspicion | None:
        """Return the most suspected cause, None if there is no crash."""
        involved: dict[CauseId, list[Crash]] = {}
        for cause in causes:
            if cause in self._suspects:
                involved[cause] = [
                    crash for crash in self._crashes if cause in crash.causes
                ]
        if not involved:
            return None
        suspect = max(involved, key=lambda one: len(involved[one]))
        crashes = involved[suspect]
        return Suspicion(
            suspect, len(crashes), count_events(crashes, frozenset((suspect,)))
        )

    def isolated_cause(self, causes: Collection[CauseId]) -> CauseId | None:
        """Return a cause whose requests should all run on the same target.

        Until it is known what crashes the targets, the requests that may be it
        crash one target after the other instead of many at once.
        """
        return max(
            self._unproven(causes),
            key=lambda cause: (self._suspects[cause], cause),
            default=None,
        )

    def down_targets(self, now_seconds: float) -> frozenset[TargetId]:
        """Return targets that have crashed and may not be back yet."""
        oldest_seconds = now_seconds - _MAX_RESTART_SECONDS
        return frozenset(
            crash.target
            for crash in self._crashes
            if crash.is_down and crash.at_seconds >= oldest_seconds
        )

    def wait_seconds(
        self,
        request: Hashable,
        causes: Collection[CauseId],
        now_seconds: float,
    ) -> float:
        """Return how long a request has to wait until this is asked again.

        One that may have crashed two targets waits until all routers know of
        the crashes, and is not on a third one if that loses power as well. From
        three crashes on, such requests run one at a time in the whole fleet.

        :param request: identifies the request until :meth:`release`.
        :returns: 0 when the request may be sent.
        """
        suspects = self._unproven(causes)
        if not suspects or any(
            rejected.issubset(causes) for rejected in self._rejected
        ):
            return 0
        crashed_seconds = max(
            (
                crash.at_seconds
                for crash in self._crashes
                if not crash.causes.isdisjoint(suspects)
            ),
            default=-math.inf,
        )
        settled_seconds = crashed_seconds + self._settling_at(now_seconds)
        if now_seconds < settled_seconds:
            return settled_seconds - now_seconds
        crashes_count = max(self._suspects[cause] for cause in suspects)
        if crashes_count < _SERIAL_CRASHES_COUNT:
            return 0
        was_claimed = self._runs.has_claim(request)
        wait_seconds = self._runs.claim(request, now_seconds)
        # The start is announced again in case the first report is lost.
        if not wait_seconds or was_claimed != self._runs.has_claim(request):
            self._has_news = True
        return wait_seconds

    def release(self, request: Hashable) -> None:
        """End the wait or the run of a request."""
        self._runs.release(request)

    def on_crash(
        self,
        target: TargetId,
        runs: Iterable[CrashedRun],
        at_seconds: float,
    ) -> None:
        """Record a crash that this router has seen.

        :param runs: its requests that were in progress at the target.
        """
        seen = tuple(runs)[-_MAX_CRASH_REQUESTS_COUNT:]
        max_causes_count = _MAX_CRASH_CAUSES_COUNT // max(1, len(seen))
        view = CrashView(
            target,
            0,
            tuple(_limit_causes(run.causes, max_causes_count) for run in seen),
            tuple(run.run_seconds for run in seen),
        )
        crash = self._merge_crash(view, at_seconds)
        for causes, began_seconds in view.began_seconds(at_seconds).items():
            _add_first(crash.own_requests, causes, began_seconds)
        self._has_news = True

    def on_started(self, target: TargetId) -> None:
        """Record that a target has started again."""
        for crash in self._crashes:
            if crash.target == target:
                crash.is_down = False

    def on_completed(
        self, causes: Iterable[CauseId], now_seconds: float
    ) -> bool:
        """Clear the causes of a request that a target has completed.

        :returns: whether that changes a rejected set.
        """
        self._warm_from_seconds = min(
            self._warm_from_seconds, now_seconds + _WARM_UP_SECONDS
        )
        return self._complete_own(causes, now_seconds)

    def on_survived(
        self, causes: Iterable[CauseId], began_seconds: float
    ) -> bool:
        """Clear the causes of a request up to the start of its answer.

        :param began_seconds: when its target began to answer. It has been
            answering for ``SURVIVAL_SECONDS`` since.
        :returns: whether that changes a rejected set.
        """
        return self._complete_own(causes, began_seconds)

    def decide(
        self, now_seconds: float, report_interval_seconds: float
    ) -> list[CauseSet]:
        """Reject the causes that explain crashes which nothing else explains.

        :param report_interval_seconds: time in which news reach the peers.
        :returns: the sets that are rejected from now on.
        """
        self._expire(now_seconds)
        self._settling_seconds = max(
            _MIN_SETTLING_SECONDS,
            report_interval_seconds * _SETTLING_INTERVALS_COUNT,
        )
        settling_seconds = self._settling_at(now_seconds)
        known = set(self._rejected)
        # Each turn explains one crash or more.
        for _ in tuple(self._crashes):
            blamed = self._find_blamed(now_seconds - settling_seconds)
            if not blamed:
                break
            for candidate in blamed:
                self._reject(
                    candidate.causes,
                    _Rejection(
                        candidate.crashed_seconds,
                        0
                        if candidate.was_completed
                        else candidate.late_crashes_count,
                        is_uncertain=candidate.was_completed,
                    ),
                )
        return self._rejected_beyond(known)

    def on_report(
        self,
        router: RouterId,
        evidence: CrashEvidence | None,
        now_seconds: float,
    ) -> list[CauseSet]:
        """Apply what a peer knows; reports may be lost, late or repeated.

        :returns: the sets that are rejected from now on.
        """
        self._runs.on_report(
            router,
            evidence.claim_age_seconds if evidence else None,
            now_seconds,
        )
        if evidence is None:
            return []
        known = set(self._rejected)
        for completed in evidence.completed:
            completed_seconds = now_seconds - completed.age_seconds
            self._complete(completed.cause, completed_seconds)
        for view in evidence.crashes:
            self._merge_crash(view, now_seconds)
        for reported in evidence.rejected:
            self._merge_rejection(reported, now_seconds)
        return self._rejected_beyond(known)

    def report(self, now_seconds: float) -> CrashEvidence | None:
        """Return what peers should know, None if that is nothing."""
        self._expire(now_seconds)
        evidence = CrashEvidence(
            self._reported_crashes(now_seconds),
            tuple(
                RejectedSet(
                    tuple(sorted(causes)),
                    round(now_seconds - rejection.crashed_seconds, 3),
                    rejection.trials_count,
                    rejection.is_uncertain,
                )
                for causes, rejection in self._newest_rejections()
            ),
            self._reported_completed(now_seconds),
            self._runs.claim_age_seconds(now_seconds),
        )
        self._has_news = False
        return None if evidence == CrashEvidence() else evidence

    def _unproven(self, causes: Collection[CauseId]) -> list[CauseId]:
        """Return the causes that may have crashed several targets.

        Of a part of prompts a complete answer shows that it does not crash all
        targets. A request as a whole, the last cause, may do so from some time
        on.
        """
        request = tuple(causes)[-1]
        return [
            cause
            for cause in causes
            if self._suspects.get(cause, 0) >= _ISOLATED_CRASHES_COUNT
            and (cause == request or cause not in self._completed)
        ]

    def _settling_at(self, now_seconds: float) -> float:
        """Return the age from which on all routers know of a crash."""
        if now_seconds < self._warm_from_seconds:
            return self._settling_seconds + _KNOWN_SETTLING_SECONDS
        return self._settling_seconds

    def _is_own_trial(self, rejected: CauseSet) -> bool:
        name = TargetId('/'.join(str(cause) for cause in sorted(rejected)))
        routers = {self._router, *self._live_routers()}
        return coordinator_of(name, routers) == self._router

    def _reported_crashes(self, now_seconds: float) -> tuple[CrashView, ...]:
        oldest_seconds = now_seconds - _REPORTED_CRASH_SECONDS
        views = [
            self._crash_view(crash, now_seconds)
            for crash in reversed(self._crashes)
            if crash.at_seconds >= oldest_seconds
            and crash.own_requests
            and not self._is_explained(crash)
        ]
        return tuple(views[:_REPORTED_CRASHES_COUNT])

    def _crash_view(self, crash: Crash, now_seconds: float) -> CrashView:
        """Return the requests to report, those in most crashes first.

        A request that was sent to a target that had crashed already has not
        run there at all.
        """
        began: dict[CauseSet, float] = {}
        for requested, began_seconds in crash.own_requests.items():
            _add_first(began, requested & crash.causes, began_seconds)
        ordered = sorted(
            (tuple(sorted(one)) for one in began),
            key=lambda causes: (
                -max((self._suspects[cause] for cause in causes), default=0),
                causes,
            ),
        )
        reported = []
        remaining_count = _REPORTED_CAUSES_COUNT
        for causes in ordered:
            remaining_count -= len(causes)
            if causes and remaining_count >= 0:
                reported.append(causes)
        return CrashView(
            crash.target,
            round(now_seconds - crash.at_seconds, 3),
            tuple(reported),
            tuple(
                round(max(0, crash.at_seconds - began[frozenset(one)]), 3)
                for one in reported
            ),
        )

    def _reported_completed(
        self, now_seconds: float
    ) -> tuple[CompletedCause, ...]:
        """Return the causes that are known to have been completed.

        These are the ones that were cleared lately, and suspects that were
        completed before the crash.
        """
        suspects = sorted(
            (cause for cause in self._suspects if cause in self._completed),
            key=lambda cause: (-self._suspects[cause], cause),
        )
        reported = []
        for cause in (*reversed(self._cleared), *suspects):
            age_seconds = now_seconds - self._completed[cause]
            if cause in self._suspects or (
                age_seconds <= _REPORTED_CLEARED_SECONDS
            ):
                reported.append(CompletedCause(cause, round(age_seconds, 3)))
        return tuple(reported[:_REPORTED_COMPLETED_COUNT])

    def _newest_rejections(self) -> list[tuple[CauseSet, _Rejection]]:
        newest = sorted(
            self._rejected.items(), key=lambda item: -item[1].crashed_seconds
        )
        reported = []
        remaining_count = _REPORTED_SET_CAUSES_COUNT
        for causes, rejection in newest[:_REPORTED_SETS_COUNT]:
            remaining_count -= len(causes)
            if remaining_count >= 0:
                reported.append((causes, rejection))
        return reported

    def _merge_crash(self, view: CrashView, now_seconds: float) -> Crash:
        at_seconds = now_seconds - view.age_seconds
        requests = view.began_seconds(at_seconds)
        requests.pop(frozenset(), None)
        crash = self._find_crash(view.target, at_seconds, requests)
        if crash is None:
            crash = Crash(view.target, at_seconds)
            self._crashes.append(crash)
        elif at_seconds < crash.at_seconds:
            # Late reports make a crash look later than it was.
            crash.at_seconds = at_seconds
            self._drop_cleared(crash)
        self._crashes.sort(key=lambda one: one.at_seconds)
        added = requests.keys() - crash.requests.keys()
        for causes, began_seconds in requests.items():
            _add_first(crash.requests, causes, began_seconds)
        if added:
            self._suspects.update(self._add_causes(crash, added))
            self._renew_rejections(crash)
        return crash

    def _find_crash(
        self,
        target: TargetId,
        at_seconds: float,
        requests: dict[CauseSet, float],
    ) -> Crash | None:
        """Return the known crash that is the same as a reported one.

        A target has started again in between if one of the two broke only runs
        that began after the other.
        """
        first_seconds = min(requests.values(), default=-math.inf)
        for known in reversed(self._crashes):
            known_first_seconds = min(
                known.requests.values(), default=-math.inf
            )
            if (
                known.target == target
                and abs(known.at_seconds - at_seconds) < _SAME_CRASH_SECONDS
                and first_seconds < known.at_seconds + _MIN_RESTART_SECONDS
                and known_first_seconds < at_seconds + _MIN_RESTART_SECONDS
            ):
                return known
        return None

    def _drop_cleared(self, crash: Crash) -> None:
        for cause in tuple(crash.causes):
            if self._is_cleared(cause, crash.at_seconds):
                crash.causes.discard(cause)
                self._forget_suspects((cause,))

    def _add_causes(
        self, crash: Crash, requests: Iterable[CauseSet]
    ) -> set[CauseId]:
        """Add the causes that have not been cleared since; return new ones."""
        added = {
            cause
            for cause in frozenset().union(*requests)
            if cause not in crash.causes
            and not self._is_cleared(cause, crash.at_seconds)
        }
        crash.causes |= added
        return added

    def _is_cleared(self, cause: CauseId, crashed_seconds: float) -> bool:
        completed_seconds = self._completed.get(cause)
        return completed_seconds is not None and (
            completed_seconds >= crashed_seconds
        )

    def _merge_rejection(
        self, reported: RejectedSet, now_seconds: float
    ) -> None:
        crashed_seconds = now_seconds - reported.age_seconds
        if reported.age_seconds > _SET_LIFETIME_SECONDS:
            return
        causes = frozenset(
            cause
            for cause in reported.causes
            if not self._is_cleared(cause, crashed_seconds)
        )
        if causes:
            rejection = _Rejection(
                crashed_seconds, reported.trials_count, reported.is_uncertain
            )
            self._reject(causes, rejection)

    def _reject(self, causes: CauseSet, added: '_Rejection') -> None:
        """Add a rejected set unless a part of it is rejected already."""
        known = self._rejected.get(causes)
        if known is not None:
            if added.crashed_seconds > known.crashed_seconds:
                known.crashed_seconds = added.crashed_seconds
                known.trial_seconds = None
            known.trials_count = max(known.trials_count, added.trials_count)
            return
        if any(other < causes for other in self._rejected):
            return
        for other in tuple(self._rejected):
            if causes < other:
                self._forget_set(other)
        self._rejected[causes] = added
        self._suspects.update(causes)
        if len(self._rejected) > _MAX_SETS_COUNT:
            self._forget_set(
                min(
                    self._rejected,
                    key=lambda one: self._rejected[one].crashed_seconds,
                )
            )

    def _forget_set(self, causes: CauseSet) -> None:
        self._rejected.pop(causes)
        self._forget_suspects(causes)

    def _forget_suspects(self, causes: Iterable[CauseId]) -> None:
        for cause in causes:
            self._suspects[cause] -= 1
            if self._suspects[cause] <= 0:
                self._suspects.pop(cause)

    def _complete_own(
        self, causes: Iterable[CauseId], at_seconds: float
    ) -> bool:
        former = set(self._rejected)
        for cause in causes:
            if self._suspects.get(cause, 0) >= _ISOLATED_CRASHES_COUNT:
                self._has_news = True
            self._complete(cause, at_seconds)
        return former != self._rejected.keys()

    def _complete(self, cause: CauseId, at_seconds: float) -> None:
        """Record a complete answer; it clears the cause up to that time."""
        if self._is_cleared(cause, at_seconds):
            return
        self._completed[cause] = at_seconds
        self._completed.move_to_end(cause)
        if cause in self._suspects:
            self._clear(cause, at_seconds)
        if len(self._completed) > _MAX_COMPLETED_COUNT:
            oldest, _ = self._completed.popitem(last=False)
            self._cleared.pop(oldest, None)

    def _clear(self, cause: CauseId, at_seconds: float) -> None:
        """Take a cause out of the crashes and sets up to the given time."""
        self._cleared[cause] = None
        self._cleared.move_to_end(cause)
        if len(self._cleared) > _MAX_CLEARED_COUNT:
            self._cleared.popitem(last=False)
        for crash in self._crashes:
            if crash.at_seconds <= at_seconds and cause in crash.causes:
                crash.causes.discard(cause)
                self._forget_suspects((cause,))
        for causes, rejection in tuple(self._rejected.items()):
            if cause in causes and rejection.crashed_seconds <= at_seconds:
                self._forget_set(causes)
                if len(causes) > 1:
                    self._reject(causes - {cause}, rejection)

    def _expire(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - _CRASH_LIFETIME_SECONDS
        kept = [
            crash
            for crash in self._crashes[-_MAX_CRASHES_COUNT:]
            if crash.at_seconds >= oldest_seconds
        ]
        for crash in self._crashes[: len(self._crashes) - len(kept)]:
            self._forget_suspects(crash.causes)
        self._crashes = kept
        for causes, rejection in tuple(self._rejected.items()):
            age_seconds = now_seconds - rejection.crashed_seconds
            if age_seconds > _SET_LIFETIME_SECONDS:
                self._forget_set(causes)

    def _is_explained(self, crash: Crash) -> bool:
        return any(map(crash.has_request_with, self._rejected))

    def _without_explained(self, crash: Crash) -> Crash:
        """Return a crash with the causes that may still be blamed for it."""
        explaining = [
            causes
            for causes in self._rejected
            if crash.has_request_with(causes)
        ]
        if not explaining:
            return crash
        causes = set().union(*explaining)
        return replace(crash, causes=causes, is_explained=True)

    def _find_blamed(self, before_seconds: float) -> list[Candidate]:
        """Return the sets to reject next, judged by settled crashes."""
        crashes = [
            self._without_explained(crash)
            for crash in self._crashes
            if crash.at_seconds <= before_seconds
        ]
        blamed = find_blamed(crashes, self._completed.keys())
        known_before_seconds = before_seconds - _KNOWN_SETTLING_SECONDS
        return [
            candidate
            for candidate in blamed
            if not candidate.was_completed
            or candidate.crashed_seconds <= known_before_seconds
        ]

    def _renew_rejections(self, crash: Crash) -> None:
        """Start the wait anew for sets with which a target has crashed."""
        for causes, rejection in self._rejected.items():
            if (
                crash.at_seconds > rejection.crashed_seconds
                and crash.has_request_with(causes)
            ):
                rejection.on_crash(crash.at_seconds)

    def _rejected_beyond(self, known: Collection[CauseSet]) -> list[CauseSet]:
        return [causes for causes in self._rejected if causes not in known]
