"""Request kinds and load patterns of the emulator."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

__all__ = (
    'PATTERNS',
    'REQUEST_KINDS',
    'SCARCE_MEMORY_KINDS',
    'Pattern',
    'RequestKind',
)


@dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    :param rate_share: part of all requests that are of this kind.
    :param shared_tokens: length of a prompt prefix that requests share.
    :param own_tokens: mean length of the part that is unique to a request.
    :param prefixes_count: number of different shared prefixes.
    :param worth: score of a response in time; a late one has a part of it.
    :param declared_factor: largest number of output tokens that callers
        declare, relative to those that are generated.
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
    declared_factor: int = 1


# From the load specification of the users (the Workshops).
REQUEST_KINDS: Final = (
    RequestKind('quote-draft', 0.38, 6300, 2890, 54, 104, 0.5, 4.0, 3.2),
    RequestKind('pattern-advice', 0.41, 568, 1800, 24, 252, 0.4, 3.0, 2.0),
    RequestKind('quick-chat', 0.21, 172, 543, 282, 55, 0.3, 12.0, 0.83),
)

# Long answers to prompts of which most are shared, so that the memory of an
# engine is full before its slots are used.
SCARCE_MEMORY_KINDS: Final = (
    RequestKind('long', 0.8, 6300, 2890, 400, 104, 0.8, 15.0, 3.0, 8),
    RequestKind('middle', 0.1, 568, 1800, 400, 252, 0.6, 12.0, 2.0, 8),
    RequestKind('chat', 0.1, 172, 543, 400, 55, 0.4, 15.0, 1.0, 8),
)
SCARCE_MEMORY_TOKENS: Final = 242_406


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
    :param kinds: of the requests.
    :param memory_tokens: of an engine whose requests start as soon as their
        prompt has room, None for one that starts them when all that they need
        has room.
    :param organisations_count: of equal size, 0 for the usual ones.
    :param hot_count: organisations that send ``hot_factor`` times their usual.
    :param late_worth_ratio: worth of a late response.
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
    kinds: tuple[RequestKind, ...] = REQUEST_KINDS
    memory_tokens: int | None = None
    organisations_count: int = 0
    hot_count: int = 1
    late_worth_ratio: float = 0.3


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


@_pattern
def scarce_memory() -> Pattern:
    """Return a pattern in which memory and not slots limits the engines."""
    return Pattern(
        requests_per_second=50,
        kinds=SCARCE_MEMORY_KINDS,
        memory_tokens=SCARCE_MEMORY_TOKENS,
        organisations_count=30,
        hot_factor=3.0,
        hot_count=30,
    )


@_pattern
def hot_organisations() -> Pattern:
    """Return a pattern with 12 of 30 organisations at ten times their usual.

    Memory limits the engines, and a late response is worth a tenth.
    """
    return Pattern(
        requests_per_second=30,
        kinds=SCARCE_MEMORY_KINDS,
        memory_tokens=SCARCE_MEMORY_TOKENS,
        organisations_count=30,
        hot_factor=10.0,
        hot_count=12,
        late_worth_ratio=0.1,
    )
