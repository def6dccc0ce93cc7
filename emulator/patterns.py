"""Load patterns as data, in a registry."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

__all__ = ('PATTERNS', 'REQUEST_KINDS', 'Pattern', 'RequestKind')


@dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    :param shared_tokens: of the part that requests about one thing share.
    :param own_tokens: mean of the part that each request has alone.
    :param worth: of an answer in time; a late one has 0.3 of it.
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


# The sheet of the Workshops.
REQUEST_KINDS: Final = (
    RequestKind('quote-draft', 0.38, 6300, 2890, 54, 104, 0.5, 4.0, 3.2),
    RequestKind('pattern-advice', 0.41, 568, 1800, 24, 252, 0.4, 3.0, 2.0),
    RequestKind('quick-chat', 0.21, 172, 543, 282, 55, 0.3, 12.0, 0.83),
)


@dataclass(frozen=True)
class Pattern:
    """What happens in a run; each trouble lasts from 10 to 20 s.

    :param requests_per_second: of all callers.
    :param burst_factor: traffic of ``burst_kind``, or of all kinds.
    :param hot_factor: traffic of the largest organisation.
    :param hot_prefix_share: share of the requests about one thing.
    :param slow_factor: slowness of the first engine.
    :param lost_engines_count: engines that refuse connections.
    :param lost_routers_count: routers that callers do not use.
    """

    requests_per_second: float = 86.0
    burst_factor: float = 1.0
    burst_kind: str | None = None
    hot_factor: float = 1.0
    hot_prefix_share: float = 0.0
    slow_factor: float = 1.0
    lost_engines_count: int = 0
    lost_routers_count: int = 0


PATTERNS: Final[dict[str, Pattern]] = {}


def _pattern(make: Callable[[], Pattern]) -> Callable[[], Pattern]:
    """Register a pattern under the name of its function."""
    PATTERNS[make.__name__.replace('_', '-')] = make()
    return make


@_pattern
def calm() -> Pattern:
    """Return the load of the sheet."""
    return Pattern()


@_pattern
def burst() -> Pattern:
    """Return twice the load of all kinds."""
    return Pattern(burst_factor=2.0)


@_pattern
def long_prompts() -> Pattern:
    """Return three times the load of the longest kind."""
    return Pattern(burst_factor=3.0, burst_kind='quote-draft')


@_pattern
def hot_organisation() -> Pattern:
    """Return one organisation that sends eight times its usual."""
    return Pattern(hot_factor=8.0)


@_pattern
def hot_thing() -> Pattern:
    """Return a third of the requests about one thing."""
    return Pattern(requests_per_second=110, hot_prefix_share=0.33)


@_pattern
def slow_engine() -> Pattern:
    """Return one engine that runs five times slower."""
    return Pattern(slow_factor=5.0)


@_pattern
def lost_engine() -> Pattern:
    """Return one engine that refuses connections."""
    return Pattern(lost_engines_count=1)


@_pattern
def lost_router() -> Pattern:
    """Return three routers of four under a burst."""
    return Pattern(burst_factor=1.5, lost_routers_count=1)
