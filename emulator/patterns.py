"""Request kinds and load patterns of the emulator."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

__all__ = ('PATTERNS', 'REQUEST_KINDS', 'Pattern', 'RequestKind')


@dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    :param rate_share: part of all requests that are of this kind.
    :param shared_tokens: length of a prompt prefix that requests share.
    :param own_tokens: mean length of the part that is unique to a request.
    :param prefixes_count: number of different shared prefixes.
    :param worth: score of a response in time; a late one has 0.3 of it.
    """

    name: str
    rate_share: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    prefixes_count: int
    objective_seconds: float
    deadline_seconds: float
    worth: float


# From the load specification of the users (the Workshops).
REQUEST_KINDS: Final = (
    RequestKind('quote-draft', 0.38, 6300, 2890, 54, 104, 0.5, 4.0, 3.2),
    RequestKind('pattern-advice', 0.41, 568, 1800, 24, 252, 0.4, 3.0, 2.0),
    RequestKind('quick-chat', 0.21, 172, 543, 282, 55, 0.3, 12.0, 0.83),
)


@dataclass(frozen=True)
class Pattern:
    """Load and faults of a run; faults last from second 10 to second 20.

    :param requests_per_second: of all callers, without bursts.
    :param burst_factor: multiplies the rate of ``burst_kind``, or of all kinds.
    :param hot_factor: multiplies the rate of the largest organisation.
    :param hot_prefix_share: part of the requests that have the same prefix.
    :param slow_factor: multiplies the step time of the first engine.
    :param lost_engines_count: engines that make no progress.
    :param lost_routers_count: routers that callers do not use.
    :param paused_engines_count: engines that reject requests and ask for
        pauses.
    :param leaving_engines_count: engines that say that they leave; they start
        again at the end of the faults.
    :param speeds: of the engines in turn, relative to the usual one.
    """

    requests_per_second: float = 86.0
    burst_factor: float = 1.0
    burst_kind: str | None = None
    hot_factor: float = 1.0
    hot_prefix_share: float = 0.0
    slow_factor: float = 1.0
    lost_engines_count: int = 0
    lost_routers_count: int = 0
    paused_engines_count: int = 0
    leaving_engines_count: int = 0
    speeds: tuple[float, ...] = (1.0,)


PATTERNS: Final[dict[str, Pattern]] = {}


def _pattern(make: Callable[[], Pattern]) -> Callable[[], Pattern]:
    """Register a pattern under the name of its function, with hyphens."""
    PATTERNS[make.__name__.replace('_', '-')] = make()
    return make


@_pattern
def calm() -> Pattern:
    """Return a pattern with the specified load and no faults."""
    return Pattern()


@_pattern
def burst() -> Pattern:
    """Return a pattern with twice the load of all kinds."""
    return Pattern(burst_factor=2.0)


@_pattern
def long_prompts() -> Pattern:
    """Return a pattern with three times the load of the longest kind."""
    return Pattern(burst_factor=3.0, burst_kind='quote-draft')


@_pattern
def hot_organisation() -> Pattern:
    """Return a pattern with 8 times the load of the largest organisation."""
    return Pattern(hot_factor=8.0)


@_pattern
def hot_thing() -> Pattern:
    """Return a pattern with one prompt prefix in a third of the requests."""
    return Pattern(requests_per_second=110, hot_prefix_share=0.33)


@_pattern
def slow_engine() -> Pattern:
    """Return a pattern with an engine whose steps take 5 times as long."""
    return Pattern(slow_factor=5.0)


@_pattern
def lost_engine() -> Pattern:
    """Return a pattern with one engine that makes no progress."""
    return Pattern(lost_engines_count=1)


@_pattern
def lost_router() -> Pattern:
    """Return a pattern with a burst while one of four routers is unused."""
    return Pattern(burst_factor=1.5, lost_routers_count=1)


@_pattern
def paused_engines() -> Pattern:
    """Return a pattern with two engines that ask for pauses."""
    return Pattern(paused_engines_count=2)


@_pattern
def leaving_engine() -> Pattern:
    """Return a pattern with an engine that leaves and starts again."""
    return Pattern(leaving_engines_count=1)


@_pattern
def uneven_engines() -> Pattern:
    """Return a pattern with engines of three speeds and a burst."""
    return Pattern(burst_factor=1.5, speeds=(0.6, 1.0, 1.6))
