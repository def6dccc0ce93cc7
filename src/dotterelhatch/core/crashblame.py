"""Inference of what crashes targets from the requests that ran on them."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from dotterelhatch.ids import CauseId, TargetId

__all__ = ('Candidate', 'CauseSet', 'Crash', 'count_events', 'find_blamed')

_MIN_EVENTS_COUNT: Final = 3
# From this count on, causes that nothing tells apart are rejected one by one.
_MAX_AMBIGUOUS_COUNT: Final = 5
# Targets that crash within this time, such as those of a domain that loses
# power, may have one external cause.
_EVENT_SECONDS: Final = 0.25

CauseSet = frozenset[CauseId]


@dataclass(slots=True, eq=False)
class Crash:
    """A crash of a target, as seen by all routers together.

    :param requests: the causes of each request in progress, with the start of
        its run at the target.
    :param own_requests: those that this router has seen itself.
    :param is_down: whether the target is not known to have started again.
    :param causes: that have not been cleared since.
    :param is_explained: whether its cause is known. It counts only for the
        causes that explain it, which may be more than are needed.
    """

    target: TargetId
    at_seconds: float
    requests: dict[CauseSet, float] = field(default_factory=dict)
    own_requests: dict[CauseSet, float] = field(default_factory=dict)
    causes: set[CauseId] = field(default_factory=set)
    is_explained: bool = False
    is_down: bool = True

    def has_request_with(self, causes: CauseSet) -> bool:
        """Return whether one of the requests has all these causes."""
        if not causes <= self.causes:
            return False
        return any(causes <= request for request in self.requests)

    def began_seconds(self, causes: CauseSet) -> float:
        """Return the start of the first run with one of these causes."""
        return min(
            (
                began_seconds
                for request, began_seconds in self.requests.items()
                if not causes.isdisjoint(request)
            ),
            default=-math.inf,
        )


@dataclass(frozen=True, slots=True)
class Candidate:
    """Causes that are in exactly the same crashes.

    :param crashes: the crashes.
    :param count: the number of events that the crashes make up.
    :param was_completed: whether a target completed each of them earlier.
    """

    causes: CauseSet
    crashes: tuple[Crash, ...]
    count: int
    was_completed: bool

    @property
    def crashed_seconds(self) -> float:
        """Return the time of the last crash."""
        return max(crash.at_seconds for crash in self.crashes)

    @property
    def late_crashes_count(self) -> int:
        """Return the crashes after the event of the one that gave evidence."""
        seconds = sorted(crash.at_seconds for crash in self.crashes)
        evident_seconds = seconds[_MIN_EVENTS_COUNT - 1] + _EVENT_SECONDS
        return sum(one > evident_seconds for one in seconds)

    @property
    def is_in_one_request(self) -> bool:
        """Return whether a request with all causes was in each crash."""
        return all(
            crash.has_request_with(self.causes) for crash in self.crashes
        )

    @property
    def rank(self) -> tuple[bool, int]:
        """Return a key by which the best explanation comes first."""
        return self.was_completed, -self.count

    def rivals(self, other: 'Candidate') -> bool:
        """Return whether the other one explains the crashes as well."""
        return other.rank <= self.rank and any(
            crash in self.crashes for crash in other.crashes
        )


def count_events(crashes: Iterable[Crash], causes: CauseSet) -> int:
    """Return the number of crashes that share no external cause.

    A crash is an event of its own if the causes reached the target only after
    the one before had crashed, or if it is later than a loss of power lasts.
    Otherwise their requests ran on both as the first one crashed.
    """
    count = 0
    event_seconds = -math.inf
    for crash in sorted(crashes, key=lambda one: one.at_seconds):
        began_seconds = max(
            crash.began_seconds(causes), crash.at_seconds - _EVENT_SECONDS
        )
        if began_seconds > event_seconds:
            count += 1
            event_seconds = crash.at_seconds
    return count


def find_blamed(
    crashes: list[Crash], completed: Collection[CauseId]
) -> list[Candidate]:
    """Return the causes that explain most of the crashes.

    :param completed: causes that targets completed earlier; they are blamed
        only if no other cause explains the crashes.
    """
    candidates = _find_candidates(crashes, completed)
    for candidate in candidates:
        is_persistent = candidate.count >= _MAX_AMBIGUOUS_COUNT
        is_ambiguous = any(
            candidate.rivals(other)
            for other in candidates
            if other is not candidate
        )
        if is_ambiguous and not is_persistent:
            continue
        if candidate.is_in_one_request:
            return [candidate]
        if is_persistent:
            return _split_by_request(candidate)
    return []


def _find_candidates(
    crashes: list[Crash], completed: Collection[CauseId]
) -> list[Candidate]:
    """Return the candidates that explain enough crashes, the first one best."""
    candidates = []
    for numbers, causes in _group_causes(crashes).items():
        never_completed = causes.difference(completed)
        suspects = frozenset(never_completed or causes)
        involved = tuple(crashes[number] for number in sorted(numbers))
        count = count_events(involved, suspects)
        if count >= _MIN_EVENTS_COUNT:
            candidates.append(
                Candidate(
                    suspects,
                    involved,
                    count,
                    was_completed=not never_completed,
                )
            )
    return sorted(candidates, key=lambda one: one.rank)


def _group_causes(
    crashes: list[Crash],
) -> dict[frozenset[int], set[CauseId]]:
    """Return the causes by the numbers of the crashes that involve them.

    Those that only explained crashes involve are left out.
    """
    involved: dict[CauseId, set[int]] = {}
    for number, crash in enumerate(crashes):
        for crash_cause in crash.causes:
            involved.setdefault(crash_cause, set()).add(number)
    groups: dict[frozenset[int], set[CauseId]] = {}
    for cause, numbers in involved.items():
        is_open = any(not crashes[one].is_explained for one in numbers)
        if is_open:
            groups.setdefault(frozenset(numbers), set()).add(cause)
    return groups


def _split_by_request(candidate: Candidate) -> list[Candidate]:
    """Split causes that nothing tells apart by the requests that had them."""
    parts = {
        candidate.causes & request
        for crash in candidate.crashes
        for request in crash.requests
    }
    return [
        replace(candidate, causes=part)
        for part in sorted(parts, key=sorted)
        if part and not any(part < other for other in parts)
    ]
