"""Tests of the estimate of the prefix caches of targets."""

from dotterelhatch.core.prompts import (
    PrefixCacheEstimate,
    Prompt,
    PromptPart,
    SentPrompt,
)
from dotterelhatch.ids import TargetId

TARGET = TargetId('m0')


def _prompt(*names: str) -> Prompt:
    parts = tuple(PromptPart(name, 100) for name in names)
    return Prompt(parts, 100 * len(parts), 10)


def _send(cache: PrefixCacheEstimate, spare_tokens: int, *names: str) -> None:
    cache.on_sent(SentPrompt(TARGET, _prompt(*names).parts, spare_tokens))


def test_part_is_cached_only_behind_the_same_parts() -> None:
    """Guards against a prediction that omits parts that must be read.

    An engine caches prefixes: it can use a cached part only if all parts
    before it are the same.
    """
    cache = PrefixCacheEstimate()
    _send(cache, 1000, 'a', 'b', 'c')
    assert cache.cached_tokens(TARGET, _prompt('a', 'b', 'x').prefixes()) == 200
    assert cache.cached_tokens(TARGET, _prompt('b', 'c').prefixes()) == 0


def test_least_recently_used_parts_are_evicted() -> None:
    """Guards against parts that stay in the estimate after their eviction.

    An engine with a full memory evicts the least recently used parts, so the
    estimate has to do the same.
    """
    cache = PrefixCacheEstimate()
    _send(cache, 300, 'a', 'b')
    _send(cache, 300, 'c', 'd')
    assert cache.cached_tokens(TARGET, _prompt('c', 'd').prefixes()) == 200
    assert cache.cached_tokens(TARGET, _prompt('a', 'b').prefixes()) == 0


def test_restarted_target_has_no_cached_parts() -> None:
    """Guards against affinity to a target whose cache is empty again.

    After a restart the target has to read all parts, as any other target has.
    """
    cache = PrefixCacheEstimate()
    _send(cache, 300, 'a')
    cache.reset(TARGET)
    assert cache.cached_tokens(TARGET, _prompt('a').prefixes()) == 0
