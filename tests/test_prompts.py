"""What engines are believed to keep of prompts."""

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


def _send(cache: PrefixCacheEstimate, spare: int, *names: str) -> None:
    cache.on_sent(SentPrompt(TARGET, _prompt(*names).parts, spare))


def test_a_part_is_kept_only_behind_the_same_parts() -> None:
    """Guards against a prediction that skips parts that must be read."""
    cache = PrefixCacheEstimate()
    _send(cache, 1000, 'a', 'b', 'c')
    assert cache.cached_tokens(TARGET, _prompt('a', 'b', 'x').prefixes()) == 200
    assert cache.cached_tokens(TARGET, _prompt('b', 'c').prefixes()) == 0


def test_the_least_recently_used_parts_yield() -> None:
    """Guards against parts believed to be kept that others pushed out."""
    cache = PrefixCacheEstimate()
    _send(cache, 300, 'a', 'b')
    _send(cache, 300, 'c', 'd')
    assert cache.cached_tokens(TARGET, _prompt('c', 'd').prefixes()) == 200
    assert cache.cached_tokens(TARGET, _prompt('a', 'b').prefixes()) == 0


def test_a_restarted_target_keeps_nothing() -> None:
    """Guards against affinity to a target that starts empty."""
    cache = PrefixCacheEstimate()
    _send(cache, 300, 'a')
    cache.reset(TARGET)
    assert cache.cached_tokens(TARGET, _prompt('a').prefixes()) == 0
