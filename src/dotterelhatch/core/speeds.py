"""Speed of targets, learned from the requests of all routers.

Each router adds up, by target and by class of utilisation, the work of its
requests and the time that the target took for it. Work is the number of prompt
tokens that were predicted to be read until the first event, or the number of
requests of a plain service. About once a second the new figures are sent to
the peers, which add them to their own. Older figures decay, so that the ratio
of the sums follows a target that changes, and a target that gets no requests
returns to the rate of its service and is tried again.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

import msgspec

from dotterelhatch.core.registry import TargetEntry
from dotterelhatch.core.reported import Count
from dotterelhatch.ids import OrganisationId, RouterId, ServiceId, TargetId

__all__ = (
    'CLASSES_COUNT',
    'FIRST_EVENT_SECONDS',
    'SpeedChange',
    'SpeedReport',
    'TargetSpeeds',
)

# Time to the first event of an empty prompt on an idle engine.
FIRST_EVENT_SECONDS: Final = 0.04
# Quarters of the slots of a target that are in use.
CLASSES_COUNT: Final = 4
# Figures of one target arrive some ten times a second from all routers; their
# mean over this time varies little, and follows a change within seconds.
_DECAY_SECONDS: Final = 4.0
_REPORT_INTERVAL_SECONDS: Final = 1.0
# A refresh takes about 10 µs for each target.
_REFRESH_INTERVAL_SECONDS: Final = 0.5
# The time that the requests of a service took, before its figures are used.
_MIN_SERVICE_SECONDS: Final = 1.0
_MIN_TARGET_SECONDS: Final = 0.2
# Weight of the rate that is assumed without figures.
_PRIOR_SECONDS: Final = 0.5
# The time of a prompt with fewer tokens is mostly that of an empty one.
_HALF_WEIGHT_TOKENS: Final = 2000
_WORK_PER_REQUEST: Final = 1000
_MILLISECONDS_PER_SECOND: Final = 1000
# Range of one observation around the present estimate. A target that turns
# slower by more is followed in several steps.
_MAX_OBSERVED_RATIO: Final = 2.5
# Wider without an estimate.
_MAX_FIRST_RATIO: Final = 8.0
_INITIAL_PROMPT_RATE: Final = 40_000.0
_INITIAL_PLAIN_RATE: Final = 20.0 * _WORK_PER_REQUEST
# Longest predicted time with which one observation counts. Callers state the
# lengths of prompts, and one that overstates them must not outweigh others.
_MAX_WEIGHT_SECONDS: Final = 0.2
# Range of the time of a prompt that does not depend on its tokens, and of the
# observations from which a router learns it.
_MAX_FIXED_SECONDS: Final = 0.3
_FIXED_DECAY_SECONDS: Final = 8.0
_MIN_FIXED_COUNT: Final = 15
_MAX_FIXED_TOKENS: Final = 15_000
_MAX_FIXED_OBSERVED_SECONDS: Final = 2.0
# Part of the wait behind unreported requests that is added to predicted waits.
# With all of it more requests are rejected than come late.
_UNSEEN_RATIO: Final = 0.5
# A deduction beyond that of an empty prompt leaves this part of the time.
_MIN_NET_RATIO: Final = 0.5
# Range of the rate of a service around the one that is assumed at first.
_MAX_SERVICE_RATIO: Final = 64.0
# Range of the rate of a target around that of its service.
_MAX_TARGET_RATIO: Final = 4.0
# An organisation counts with this part of the weight of all others, beyond a
# few observations.
_MAX_ORGANISATION_RATIO: Final = 1 / 3
_FREE_OBSERVATIONS_COUNT: Final = 2
_MAX_OBSERVATIONS_COUNT: Final = 64
# Weight of one router at one target, in multiples of the mean of all.
_MAX_REPORT_RATIO: Final = 4.0
_MIN_REPORT_CAP_SECONDS: Final = 0.25
_REPORT_SMOOTHING_FACTOR: Final = 0.1
_MIN_PEER_INTERVAL_SECONDS: Final = 0.5
_MAX_REPORTED_COUNT: Final = 128
_MAX_REPORTED_ID_CHARS: Final = 8192
# Higher throughput that justifies a higher concurrency.
_MIN_THROUGHPUT_GAIN: Final = 1.05
_LOGGED_RATIO: Final = 1.5


class SpeedReport(msgspec.Struct, frozen=True, array_like=True):
    """New figures of a router on one start of a target.

    :param is_plain: whether the work is requests and not prompt tokens.
    :param figures: class of utilisation, work and milliseconds of each class
        with new figures.
    """

    target: TargetId
    started_ms: Count
    is_plain: bool
    figures: tuple[tuple[Count, Count, Count], ...]


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """A learned rate that differs much from the one logged last.

    :param per_second: prompt tokens or requests a second.
    """

    target: TargetId
    service: ServiceId
    per_second: float
    former_per_second: float


def _zeros() -> list[float]:
    return [0.0 for _ in range(CLASSES_COUNT)]


@dataclass(slots=True)
class _Sums:
    """Work and time by class of utilisation."""

    work: list[float] = field(default_factory=_zeros)
    seconds: list[float] = field(default_factory=_zeros)

    def decay(self, factor: float) -> None:
        self.work = [one * factor for one in self.work]
        self.seconds = [one * factor for one in self.seconds]

    def add(self, one: int, work: float, seconds: float) -> None:
        self.work[one] += work
        self.seconds[one] += seconds


@dataclass(slots=True)
class _FixedTime:
    """Time to a first event that does not depend on the queued tokens.

    Besides the time of an empty prompt, these are requests that other routers
    have placed and not yet reported, and the delay of this router. It is the
    intercept of a least-squares line through recent observations.
    """

    updated_seconds: float
    count: float = 0
    tokens: float = 0
    seconds: float = 0
    tokens_squared: float = 0
    tokens_seconds: float = 0

    def add(
        self, tokens: float, seconds: float, weight: float, now_seconds: float
    ) -> None:
        """Add an observation."""
        elapsed_seconds = max(0, now_seconds - self.updated_seconds)
        self.updated_seconds = now_seconds
        factor = math.exp(-elapsed_seconds / _FIXED_DECAY_SECONDS)
        tokens = min(tokens, _MAX_FIXED_TOKENS)
        seconds = min(seconds, _MAX_FIXED_OBSERVED_SECONDS)
        weighted_tokens = weight * tokens
        self.count = self.count * factor + weight
        self.tokens = self.tokens * factor + weighted_tokens
        self.seconds = self.seconds * factor + weight * seconds
        self.tokens_squared = (
            self.tokens_squared * factor + weighted_tokens * tokens
        )
        self.tokens_seconds = (
            self.tokens_seconds * factor + weighted_tokens * seconds
        )

    def deduct(self, seconds: float) -> float:
        """Return the part of a time that depends on the tokens."""
        least_seconds = min(
            seconds - FIRST_EVENT_SECONDS, seconds * _MIN_NET_RATIO
        )
        return max(seconds - self.intercept_seconds(), least_seconds)

    def intercept_seconds(self) -> float:
        """Return the time of a prompt that finds no known queue."""
        spread = self.count * self.tokens_squared - self.tokens * self.tokens
        if self.count < _MIN_FIXED_COUNT or spread <= 0:
            return FIRST_EVENT_SECONDS
        slope = self.count * self.tokens_seconds - self.tokens * self.seconds
        slope = max(0, slope / spread)
        intercept = (self.seconds - slope * self.tokens) / self.count
        return min(_MAX_FIXED_SECONDS, max(FIRST_EVENT_SECONDS, intercept))


@dataclass(slots=True)
class _Record:
    """Figures of one start of a target.

    :param rates: work a second by class, empty if not known.
    :param observations: number of recent ones at this router, by organisation.
    :param mean_report_seconds: mean weight of the report of a router.
    """

    entry: TargetEntry
    is_plain: bool
    updated_seconds: float
    sums: _Sums = field(default_factory=_Sums)
    unreported: _Sums | None = None
    rates: Sequence[float] = ()
    has_figures: bool = False
    logged_rate: float = 0
    observations: dict[OrganisationId | None, int] = field(default_factory=dict)
    observations_count: int = 0
    mean_report_seconds: float = 0

    def decay(self, now_seconds: float) -> None:
        """Lower the sums by the time since the last call."""
        elapsed_seconds = now_seconds - self.updated_seconds
        if elapsed_seconds > 0:
            self.sums.decay(math.exp(-elapsed_seconds / _DECAY_SECONDS))
            self.updated_seconds = now_seconds

    def expected_seconds(self, one: int, work: float) -> float:
        """Return the time that some work should take."""
        if self.rates:
            return work / self.rates[one]
        if self.is_plain:
            return work / _INITIAL_PLAIN_RATE
        return work / _INITIAL_PROMPT_RATE

    def clip_seconds(self, one: int, work: float, seconds: float) -> float:
        """Return the time, in a range around what the work should take."""
        expected_seconds = self.expected_seconds(one, work)
        ratio = _MAX_OBSERVED_RATIO if self.rates else _MAX_FIRST_RATIO
        return min(
            max(seconds, expected_seconds / ratio), expected_seconds * ratio
        )

    def weight_of(self, organisation: OrganisationId | None) -> float:
        """Count an observation of an organisation; return its weight."""
        own_count = self.observations.get(organisation, 0) + 1
        self.observations[organisation] = own_count
        self.observations_count += 1
        others_count = self.observations_count - own_count
        if self.observations_count >= _MAX_OBSERVATIONS_COUNT:
            self.observations = {
                key: count // 2
                for key, count in self.observations.items()
                if count > 1
            }
            self.observations_count = sum(self.observations.values())
        allowed = others_count * _MAX_ORGANISATION_RATIO
        return min(1.0, (allowed + _FREE_OBSERVATIONS_COUNT) / own_count)


class TargetSpeeds:
    """Learns how fast targets read prompts or respond to plain requests.

    :param find: returns the current entry of a target, None for one that is
        not known.
    """

    def __init__(self, find: Callable[[TargetId], TargetEntry | None]) -> None:
        """Create estimates without figures."""
        self._find = find
        # The second part of a key is whether the requests are plain.
        self._records: dict[tuple[TargetId, bool], _Record] = {}
        # Rates of the services, for targets without figures.
        self._service_rates: dict[tuple[ServiceId, bool], Sequence[float]] = {}
        # Learned from the requests of this router alone.
        self._fixed_times: dict[ServiceId, _FixedTime] = {}
        self._unseen_seconds: dict[ServiceId, float] = {}
        self._changes: list[SpeedChange] = []
        self._refreshed_seconds = -math.inf
        self._reported_seconds = -math.inf
        self._peer_seconds: dict[RouterId, float] = {}

    @property
    def learned_count(self) -> int:
        """Return the number of targets with enough figures of their own."""
        return sum(record.has_figures for record in self._records.values())

    @property
    def service_rates(self) -> dict[ServiceId, Sequence[float]]:
        """Return tokens or requests a second of a target, by utilisation.

        Those of tokens, if a service has both kinds of requests.
        """
        return {
            service: [_per_second(rate, is_plain=is_plain) for rate in rates]
            for (service, is_plain), rates in sorted(
                self._service_rates.items(), key=_plain_first
            )
        }

    def on_first_event(
        self,
        entry: TargetEntry,
        organisation: OrganisationId | None,
        tokens: int,
        running_count: int,
        seconds: float,
        now_seconds: float,
    ) -> None:
        """Add the time to the first event of a prompt.

        :param tokens: unread tokens of the prompt and of those queued before.
        :param running_count: requests at the target, this one included.
        """
        if tokens <= 0:
            return
        record = self._record(entry, now_seconds, is_plain=False)
        weight = record.weight_of(organisation)
        fixed = self._fixed_times.setdefault(
            entry.service, _FixedTime(now_seconds)
        )
        fixed.add(tokens, seconds, weight, now_seconds)
        self._observe(
            record,
            _utilisation_class(entry, running_count),
            (tokens, fixed.deduct(seconds)),
            weight * tokens / (tokens + _HALF_WEIGHT_TOKENS),
        )

    def on_plain_response(
        self,
        entry: TargetEntry,
        organisation: OrganisationId | None,
        running_count: int,
        seconds: float,
        now_seconds: float,
    ) -> None:
        """Add the time of a request to a plain service.

        Of more requests than slots, only a part runs at a time.
        """
        slots_count = max(1, entry.slots_count)
        if running_count > slots_count:
            seconds *= slots_count / running_count
        record = self._record(entry, now_seconds, is_plain=True)
        self._observe(
            record,
            _utilisation_class(entry, running_count),
            (_WORK_PER_REQUEST, seconds),
            record.weight_of(organisation),
        )

    def prompt_tokens_per_second(
        self, entry: TargetEntry, running_count: int
    ) -> float | None:
        """Return the rate of reading prompts, None without enough figures."""
        rates = self._rates(entry, is_plain=False)
        return (
            rates[_utilisation_class(entry, running_count)] if rates else None
        )

    def unseen_seconds(self, entry: TargetEntry) -> float:
        """Return the wait that is added for requests not reported yet."""
        return self._unseen_seconds.get(entry.service, 0.0)

    def plain_seconds(
        self, entry: TargetEntry, running_count: int
    ) -> float | None:
        """Return the time of a request while it runs beside others.

        :param running_count: requests at the target, this one included.
        """
        rates = self._rates(entry, is_plain=True)
        if not rates:
            return None
        return (
            _WORK_PER_REQUEST / rates[_utilisation_class(entry, running_count)]
        )

    def good_concurrency(self, entry: TargetEntry) -> int:
        """Return the concurrency above which the throughput does not rise."""
        slots_count = max(1, entry.slots_count)
        good_count = slots_count
        best = 0.0
        for one, rate in enumerate(self._rates(entry, is_plain=True)):
            count = max(1, slots_count * (one + 1) // CLASSES_COUNT)
            if count * rate > best * _MIN_THROUGHPUT_GAIN:
                best = count * rate
                good_count = count
        return good_count

    def report(self, now_seconds: float) -> tuple[SpeedReport, ...]:
        """Update the estimates; return what is new for the peers, if due."""
        if now_seconds - self._refreshed_seconds >= _REFRESH_INTERVAL_SECONDS:
            self._refresh(now_seconds)
        if now_seconds - self._reported_seconds < _REPORT_INTERVAL_SECONDS:
            return ()
        reports = tuple(self._take_unreported())
        if reports:
            self._reported_seconds = now_seconds
        return reports

    def on_report(
        self,
        router: RouterId,
        reports: Iterable[SpeedReport],
        now_seconds: float,
    ) -> None:
        """Add the new figures of a peer."""
        reports = tuple(reports)[:_MAX_REPORTED_COUNT]
        if not reports:
            return
        former_seconds = self._peer_seconds.get(router, -math.inf)
        if now_seconds - former_seconds < _MIN_PEER_INTERVAL_SECONDS:
            return
        self._peer_seconds[router] = now_seconds
        for report in reports:
            entry = self._find(report.target)
            if entry is not None and entry.started_ms == report.started_ms:
                self._apply(entry, report, now_seconds)

    def take_changes(self) -> Sequence[SpeedChange]:
        """Return the changes since the last call that are worth a log line."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def forget(self, target: TargetId) -> None:
        """Drop the figures of a target that has restarted or is gone."""
        for is_plain in (False, True):
            self._records.pop((target, is_plain), None)

    def _rates(self, entry: TargetEntry, *, is_plain: bool) -> Sequence[float]:
        """Return the rates of a target, or else those of its service."""
        record = self._records.get((entry.id, is_plain))
        if (
            record is not None
            and record.rates
            and record.entry.started_ms == entry.started_ms
        ):
            return record.rates
        return self._service_rates.get((entry.service, is_plain), ())

    def _record(
        self, entry: TargetEntry, now_seconds: float, *, is_plain: bool
    ) -> _Record:
        key = (entry.id, is_plain)
        record = self._records.get(key)
        if record is None or record.entry.started_ms != entry.started_ms:
            record = _Record(entry, is_plain, now_seconds)
            record.rates = self._service_rates.get(
                (entry.service, is_plain), ()
            )
            self._records[key] = record
        return record

    def _observe(
        self,
        record: _Record,
        utilisation: int,
        observed: tuple[float, float],
        weight: float,
    ) -> None:
        """Add an observation of this router, also to its next report.

        :param observed: work and seconds.
        """
        work, seconds = observed
        seconds = record.clip_seconds(utilisation, work, seconds)
        expected_seconds = record.expected_seconds(utilisation, work)
        weight *= min(1, _MAX_WEIGHT_SECONDS / expected_seconds)
        work *= weight
        seconds *= weight
        record.sums.add(utilisation, work, seconds)
        if record.unreported is None:
            record.unreported = _Sums()
        record.unreported.add(utilisation, work, seconds)

    def _apply(
        self, entry: TargetEntry, report: SpeedReport, now_seconds: float
    ) -> None:
        """Add the figures of a peer on a target, clipped as its own are."""
        record = self._record(entry, now_seconds, is_plain=report.is_plain)
        figures = [
            (
                utilisation,
                work,
                record.clip_seconds(
                    utilisation, work, milliseconds / _MILLISECONDS_PER_SECOND
                ),
            )
            for utilisation, work, milliseconds in report.figures[
                :CLASSES_COUNT
            ]
            if 0 <= utilisation < CLASSES_COUNT and work > 0
        ]
        total_seconds = sum(seconds for _, _, seconds in figures)
        if not total_seconds:
            return
        counted_seconds = min(
            total_seconds,
            max(
                _MIN_REPORT_CAP_SECONDS,
                record.mean_report_seconds * _MAX_REPORT_RATIO,
            ),
        )
        record.mean_report_seconds += _REPORT_SMOOTHING_FACTOR * (
            counted_seconds - record.mean_report_seconds
        )
        weight = counted_seconds / total_seconds
        for utilisation, work, seconds in figures:
            record.sums.add(utilisation, work * weight, seconds * weight)

    def _take_unreported(self) -> Iterator[SpeedReport]:
        """Return new figures; those that do not fit stay for the next time."""
        left_chars = _MAX_REPORTED_ID_CHARS
        left_count = _MAX_REPORTED_COUNT
        for (target, is_plain), record in self._records.items():
            if record.unreported is None:
                continue
            left_chars -= len(target)
            left_count -= 1
            if left_count < 0 or left_chars < 0:
                return
            sums = record.unreported
            record.unreported = None
            figures = tuple(
                (
                    utilisation,
                    round(work),
                    round(seconds * _MILLISECONDS_PER_SECOND),
                )
                for utilisation, (work, seconds) in enumerate(
                    zip(sums.work, sums.seconds, strict=True)
                )
                if work
            )
            yield SpeedReport(
                target, record.entry.started_ms, is_plain, figures
            )

    def _refresh(self, now_seconds: float) -> None:
        """Derive the rates from the figures."""
        self._refreshed_seconds = now_seconds
        services: dict[tuple[ServiceId, bool], _Sums] = defaultdict(_Sums)
        for key, record in tuple(self._records.items()):
            entry = self._find(record.entry.id)
            if (
                entry is None
                or entry.started_ms != record.entry.started_ms
                or entry.service != record.entry.service
            ):
                self._records.pop(key)
                continue
            record.decay(now_seconds)
            total = services[entry.service, record.is_plain]
            for one in range(CLASSES_COUNT):
                total.add(one, record.sums.work[one], record.sums.seconds[one])
        # A service keeps its last rates while it gets no requests.
        for service, total in services.items():
            if sum(total.seconds) >= _MIN_SERVICE_SECONDS:
                mean = _service_rate(total, is_plain=service[1])
                self._service_rates[service] = [
                    _with_prior(work, seconds, mean)
                    for work, seconds in zip(
                        total.work, total.seconds, strict=True
                    )
                ]
        for record in self._records.values():
            self._refresh_record(record)
        self._unseen_seconds = {
            name: _UNSEEN_RATIO
            * (fixed.intercept_seconds() - FIRST_EVENT_SECONDS)
            for name, fixed in self._fixed_times.items()
            if (name, False) in self._service_rates
        }
        self._peer_seconds = {
            router: seconds
            for router, seconds in self._peer_seconds.items()
            if now_seconds - seconds < _MIN_PEER_INTERVAL_SECONDS
        }

    def _refresh_record(self, record: _Record) -> None:
        service_rates = self._service_rates.get(
            (record.entry.service, record.is_plain), ()
        )
        sums = record.sums
        record.rates = service_rates
        record.has_figures = bool(service_rates) and (
            sum(sums.seconds) >= _MIN_TARGET_SECONDS
        )
        if not record.has_figures:
            return
        # How long the service would take for the same work tells the speed of
        # the target, whatever its utilisation was.
        usual_seconds = sum(
            work / rate
            for work, rate in zip(sums.work, service_rates, strict=True)
        )
        speed = _with_prior(usual_seconds, sum(sums.seconds), 1.0)
        record.rates = [
            rate
            * min(
                _MAX_TARGET_RATIO,
                max(
                    1 / _MAX_TARGET_RATIO,
                    _with_prior(work / rate, seconds, speed),
                ),
            )
            for work, seconds, rate in zip(
                sums.work, sums.seconds, service_rates, strict=True
            )
        ]
        self._note_change(record)

    def _note_change(self, record: _Record) -> None:
        sums = record.sums
        rate = sum(sums.work) / sum(sums.seconds)
        former_rate = record.logged_rate
        if former_rate:
            ratio = rate / former_rate
            if 1 / _LOGGED_RATIO <= ratio <= _LOGGED_RATIO:
                return
            self._changes.append(
                SpeedChange(
                    record.entry.id,
                    record.entry.service,
                    _per_second(rate, is_plain=record.is_plain),
                    _per_second(former_rate, is_plain=record.is_plain),
                )
            )
        record.logged_rate = rate


def _with_prior(work: float, seconds: float, rate: float) -> float:
    """Return work a second, close to a rate that is assumed without figures."""
    return (work + _PRIOR_SECONDS * rate) / (seconds + _PRIOR_SECONDS)


def _service_rate(total: _Sums, *, is_plain: bool) -> float:
    """Return the mean rate of a service, in a range that any may have."""
    initial = _INITIAL_PLAIN_RATE if is_plain else _INITIAL_PROMPT_RATE
    return min(
        initial * _MAX_SERVICE_RATIO,
        max(initial / _MAX_SERVICE_RATIO, sum(total.work) / sum(total.seconds)),
    )


def _utilisation_class(entry: TargetEntry, running_count: int) -> int:
    """Return the quarter of the slots that a number of requests reaches."""
    share = running_count / max(1, entry.slots_count)
    return max(0, min(CLASSES_COUNT, math.ceil(share * CLASSES_COUNT)) - 1)


def _per_second(rate: float, *, is_plain: bool) -> float:
    """Return prompt tokens or requests a second."""
    return rate / _WORK_PER_REQUEST if is_plain else rate


def _plain_first(
    item: tuple[tuple[ServiceId, bool], Sequence[float]],
) -> bool:
    (_, is_plain), _ = item
    return not is_plain
