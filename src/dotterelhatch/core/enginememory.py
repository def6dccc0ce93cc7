"""Memory that running requests need at model engines.

An engine keeps the prompts and the answers of its running requests in one
memory. When it runs out, the newest request is preempted in the middle of its
stream and read again. Where memory and not slots limits the running requests,
the balancer therefore places a request only on a target with room for it.

Callers declare the largest number of output tokens, which is far above what is
generated, so the expected length of an answer is learned by route. Prompt parts
that running requests have in common are in memory once.
"""

from collections import OrderedDict
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.prompts import (
    DEFAULT_PREFIXES_COUNT,
    PrefixKey,
    Prompt,
    SentPrompt,
    prefix_keys,
)
from dotterelhatch.core.registry import TargetEntry
from dotterelhatch.core.routes import EngineSpec
from dotterelhatch.ids import ServiceId, TargetId

__all__ = ('EngineMemory', 'FinishedStream', 'MemoryRoom')

# Finished streams after which what they show is used.
_MIN_STREAMS_COUNT: Final = 16
# Weight of the newest stream in means and mean deviations.
_NEWEST_WEIGHT: Final = 1 / 32
# Deviations above the mean. An engine runs dozens of requests, and their sum
# deviates far less than that of one.
_OUTPUT_DEVIATIONS_COUNT: Final = 1.0
# About one in twenty requests needs more than the mean and so many deviations.
_LARGE_DEVIATIONS_COUNT: Final = 2.5
# Memory counts as the limit if it allows fewer requests than there are slots,
# and then until it allows this many times the slots.
_SLOTS_HYSTERESIS_RATIO: Final = 1.25
_DECISION_LIFETIME_SECONDS: Final = 0.5
# Of a shared part whose requests are not known to have ended.
_MAX_HOLD_SECONDS: Final = 15.0
_MIN_SECONDS: Final = 0.001
# Below this squared coefficient of variation of the declared needs, no line can
# be fitted.
_MIN_SQUARED_VARIATION: Final = 0.0001


@dataclass(slots=True)
class _Mean:
    """Mean and mean deviation that follow the newest values."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def add(self, number: float) -> None:
        self.count += 1
        weight = max(1 / self.count, _NEWEST_WEIGHT)
        difference = number - self.mean
        self.mean += weight * difference
        self.deviation += weight * (abs(difference) - self.deviation)

    def above(self, deviations_count: float) -> float:
        return self.mean + deviations_count * self.deviation


@dataclass(frozen=True, slots=True)
class FinishedStream:
    """A stream that a target has answered to its end.

    :param generated_tokens: events of the stream.
    :param seconds: time from sending the request to the end of the stream.
    """

    service: ServiceId
    route_name: str
    prompt: Prompt
    generated_tokens: int
    seconds: float


@dataclass(frozen=True, slots=True)
class MemoryRoom:
    """Memory of a target as seen by one request.

    :param need_tokens: expected need of the request, without parts that
        running requests of the target already use.
    :param used_tokens: expected need of the running requests.
    :param reserved_tokens: need that has to fit, which is that of a large
        request also for small ones. Otherwise small requests would take all
        memory that becomes free.
    :param capacity_tokens: memory of the target.
    """

    need_tokens: int
    used_tokens: int
    reserved_tokens: int
    capacity_tokens: int

    @property
    def is_unusual(self) -> bool:
        """Return whether the request needs more than what is kept for one."""
        return self.need_tokens > self.reserved_tokens

    def fits(self, share: float) -> bool:
        """Return whether the request may be placed.

        :param share: of the memory that the request may use. A target without
            requests takes any.
        """
        needed_tokens = max(self.need_tokens, self.reserved_tokens)
        return not self.used_tokens or (
            self.used_tokens + needed_tokens <= share * self.capacity_tokens
        )

    def missing_tokens(self, share: float) -> float:
        """Return the tokens that have to become free first."""
        needed_tokens = max(self.need_tokens, self.reserved_tokens)
        limit_tokens = share * self.capacity_tokens
        return max(0.0, self.used_tokens + needed_tokens - limit_tokens)


class _ServiceNeeds:
    """What the finished streams of a service needed.

    The need of the requests that run at a target is estimated from their number
    and their declared need, which all routers report. Of these a line is fitted
    by least squares, in which streams count by their time, because requests
    that run longer are a larger part of those that run.
    """

    def __init__(self) -> None:
        self.own_tokens = _Mean()
        self.seconds = _Mean()
        self.is_limiting = False
        self.decided_seconds = -_DECISION_LIFETIME_SECONDS
        # Means over the streams of time, and of its products with what was
        # declared, what was needed, the square of the former and the product
        # of both.
        self._moments = (0.0, 0.0, 0.0, 0.0, 0.0)
        self._line: tuple[float, float] | None = None

    def add(self, declared: int, needed: int, seconds: float) -> None:
        """Add a stream with the tokens that it declared and needed."""
        self.own_tokens.add(needed)
        self.seconds.add(seconds)
        new = max(1 / self.seconds.count, _NEWEST_WEIGHT)
        old = 1 - new
        weight = new * max(seconds, _MIN_SECONDS)
        time, declareds, neededs, squares, products = self._moments
        self._moments = (
            old * time + weight,
            old * declareds + weight * declared,
            old * neededs + weight * needed,
            old * squares + weight * declared * declared,
            old * products + weight * declared * needed,
        )
        self._line = None

    def running_tokens(self) -> float:
        """Return the mean need of a running request without shared parts."""
        return self._moments[2] / max(self._moments[0], _MIN_SECONDS)

    def sum_tokens(self, load: TargetLoad) -> int:
        """Return the need of all requests of a load without shared parts."""
        if self._line is None:
            self._line = self._fit()
        offset, slope = self._line
        return round(offset * load.requests_count + slope * load.memory_tokens)

    def _fit(self) -> tuple[float, float]:
        """Return offset and slope of the need over the declared need."""
        time, *sums = self._moments
        declared, needed, squares, products = (one / time for one in sums)
        variance = squares - declared * declared
        covariance = products - declared * needed
        proportional = needed / max(declared, 1)
        if variance <= declared * declared * _MIN_SQUARED_VARIATION:
            return 0.0, proportional
        slope = min(max(0.0, covariance / variance), proportional)
        return needed - slope * declared, slope


class EngineMemory:
    """Expected need of memory of the requests that run at each target.

    The needs of requests without shared parts are estimated from the
    :class:`TargetLoad` of all routers. Shared parts in use are known from the
    prompts that all routers report.

    :param max_parts_count: shared parts in use, for all targets together.
    """

    def __init__(self, max_parts_count: int = DEFAULT_PREFIXES_COUNT) -> None:
        """Start without any finished stream."""
        self._max_parts_count = max_parts_count
        self._output_ratios: dict[str, _Mean] = {}
        self._needs: dict[ServiceId, _ServiceNeeds] = {}
        self._stream_seconds = _Mean()
        # Tokens and time of the last use, the latest used part at the end.
        self._shared: OrderedDict[
            tuple[TargetId, PrefixKey], tuple[int, float]
        ] = OrderedDict()
        self._shared_tokens: dict[TargetId, int] = {}

    @property
    def limiting_count(self) -> int:
        """Return the services whose requests are limited by memory."""
        return sum(needs.is_limiting for needs in self._needs.values())

    def on_sent(self, sent: SentPrompt, now_seconds: float) -> None:
        """Record a prompt that this router or a peer sent to a target."""
        target = sent.target
        for key, tokens in prefix_keys(sent.parts[:-1]):
            known = self._shared.pop((target, key), None)
            change = tokens if known is None else tokens - known[0]
            self._shared[target, key] = (tokens, now_seconds)
            if change:
                total = self._shared_tokens.get(target, 0) + change
                self._shared_tokens[target] = total
        self._expire(now_seconds)

    def on_finished(self, stream: FinishedStream) -> None:
        """Learn from a stream that was answered to its end."""
        prompt = stream.prompt
        ratio = stream.generated_tokens / max(1, prompt.max_output_tokens)
        ratios = self._output_ratios.setdefault(stream.route_name, _Mean())
        ratios.add(min(1.0, ratio))
        needs = self._needs.setdefault(stream.service, _ServiceNeeds())
        needs.add(
            prompt.input_tokens + prompt.max_output_tokens,
            _specific_tokens(prompt) + stream.generated_tokens,
            stream.seconds,
        )
        self._stream_seconds.add(stream.seconds)

    def is_limiting(
        self,
        service: ServiceId,
        engine: EngineSpec,
        entries: Collection[TargetEntry],
        now_seconds: float,
    ) -> bool:
        """Return whether memory allows fewer requests than there are slots.

        :param entries: the targets of the service.
        """
        needs = self._needs.get(service)
        if needs is None or needs.own_tokens.count < _MIN_STREAMS_COUNT:
            return False
        age_seconds = now_seconds - needs.decided_seconds
        if age_seconds >= _DECISION_LIFETIME_SECONDS:
            needs.decided_seconds = now_seconds
            slots_count = float(engine.slots_count)
            if needs.is_limiting:
                slots_count *= _SLOTS_HYSTERESIS_RATIO
            tokens = engine.memory_tokens - self._mean_shared(
                entries, now_seconds
            )
            needs.is_limiting = tokens < slots_count * needs.running_tokens()
        return needs.is_limiting

    def own_tokens(self, route_name: str, prompt: Prompt) -> int:
        """Return the expected need of a request without its shared parts."""
        ratios = self._output_ratios.get(route_name)
        ratio = 1.0
        if ratios is not None and ratios.count >= _MIN_STREAMS_COUNT:
            ratio = min(1.0, ratios.above(_OUTPUT_DEVIATIONS_COUNT))
        return _specific_tokens(prompt) + round(
            ratio * prompt.max_output_tokens
        )

    def room(
        self,
        service: ServiceId,
        engine: EngineSpec,
        target: TargetId,
        load: TargetLoad,
        prefixes: Sequence[tuple[PrefixKey, int]],
        own_tokens: int,
    ) -> MemoryRoom:
        """Return the memory of a target as seen by a request.

        :param service: one that memory limits.
        :param load: of the target, of all routers.
        :param prefixes: the result of :meth:`Prompt.prefixes`.
        :param own_tokens: the result of :meth:`own_tokens`.
        """
        shared_tokens = self._shared_tokens.get(target, 0)
        if not load.requests_count:
            shared_tokens = 0
        new_tokens = sum(
            tokens
            for key, tokens in prefixes[:-1]
            if not shared_tokens or (target, key) not in self._shared
        )
        needs = self._needs[service]
        reserved_tokens = round(needs.own_tokens.above(_LARGE_DEVIATIONS_COUNT))
        return MemoryRoom(
            own_tokens + new_tokens,
            needs.sum_tokens(load) + shared_tokens,
            min(reserved_tokens, engine.memory_tokens // 8) + new_tokens,
            engine.memory_tokens,
        )

    def seconds_until_free(
        self, service: ServiceId, room: MemoryRoom, share: float
    ) -> float:
        """Return when the memory that a request lacks becomes free.

        Running requests are at a random point of their time, so that memory
        becomes free at a constant rate.
        """
        needs = self._needs.get(service)
        if needs is None or not room.used_tokens:
            return 0.0
        ratio = min(1.0, room.missing_tokens(share) / room.used_tokens)
        return ratio * needs.seconds.mean

    def retain(
        self, services: Collection[ServiceId], route_names: Collection[str]
    ) -> None:
        """Forget the services and routes that are not in force any more."""
        for service in self._needs.keys() - set(services):
            self._needs.pop(service)
        for name in self._output_ratios.keys() - set(route_names):
            self._output_ratios.pop(name)

    def _mean_shared(
        self, entries: Collection[TargetEntry], now_seconds: float
    ) -> float:
        self._expire(now_seconds)
        total = sum(self._shared_tokens.get(entry.id, 0) for entry in entries)
        return total / max(1, len(entries))

    def _expire(self, now_seconds: float) -> None:
        """Forget parts whose requests have probably ended."""
        hold_seconds = min(
            _MAX_HOLD_SECONDS,
            self._stream_seconds.above(_OUTPUT_DEVIATIONS_COUNT),
        )
        oldest_seconds = now_seconds - hold_seconds
        while self._shared:
            (target, key), (tokens, seconds) = next(iter(self._shared.items()))
            is_few = len(self._shared) <= self._max_parts_count
            if seconds >= oldest_seconds and is_few:
                return
            self._shared.pop((target, key))
            remaining = self._shared_tokens.get(target, 0) - tokens
            if remaining > 0:
                self._shared_tokens[target] = remaining
            else:
                self._shared_tokens.pop(target, None)


def _specific_tokens(prompt: Prompt) -> int:
    """Return the tokens of a prompt that no other request shares."""
    shared_tokens = sum(part.tokens_count for part in prompt.shared_parts)
    return max(0, prompt.input_tokens - shared_tokens)
