"""Prompts, and an estimate of the prefixes that each target has cached."""

import itertools
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from dotterelhatch.ids import TargetId

__all__ = ('PrefixCacheEstimate', 'Prompt', 'PromptPart', 'SentPrompt')

# A generated token takes about twice the time of a prompt token.
_OUTPUT_TOKEN_WEIGHT: Final = 2


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A section of a prompt that other requests may have in common.

    :param id: equal for the same section of other prompts.
    """

    id: str
    tokens_count: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a request to a model engine.

    :param parts: all parts, in the order of the prompt; the last one is
        specific to the request or its session.
    :param max_output_tokens: limit of the tokens that are generated.
    """

    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have in common."""
        return self.parts[:-1]

    @property
    def usage_tokens(self) -> int:
        """Return the usage by which organisations are compared."""
        return self.input_tokens + _OUTPUT_TOKEN_WEIGHT * self.max_output_tokens

    @property
    def affinity_key(self) -> str:
        """Return a key that requests with the same shared parts have."""
        return '/'.join(part.id for part in self.shared_parts)

    def prefixes(self) -> list[tuple[str, int]]:
        """Return, for each prefix, its key and the tokens of its last part."""
        return _prefixes(self.parts)


def _prefixes(parts: tuple[PromptPart, ...]) -> list[tuple[str, int]]:
    """Key each part with all parts before it.

    A part is only usable from the cache behind the same preceding parts.
    """
    found = []
    prefix = ''
    for part in parts:
        prefix = f'{prefix}/{part.id}'
        found.append((prefix, part.tokens_count))
    return found


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """The prompt of a request that a router sent to a target.

    :param spare_tokens: memory of the target that running requests leave to
        its cache.
    """

    target: TargetId
    parts: tuple[PromptPart, ...]
    spare_tokens: int


class PrefixCacheEstimate:
    """Estimate of the prompt prefixes that each target has cached.

    A model engine evicts the least recently used parts when its memory is
    full. The estimate does the same with the prompts that all routers sent to
    the target. It includes parts that are specific to one request, because
    they also cause evictions.
    """

    def __init__(self) -> None:
        """Create an estimate of empty caches."""
        self._cached: dict[TargetId, OrderedDict[str, int]] = {}
        self._totals: dict[TargetId, int] = {}
        # Targets by prefix, the one that read it last at the end.
        self._holders: dict[str, dict[TargetId, None]] = {}

    def cached_tokens(
        self, target: TargetId, prefixes: list[tuple[str, int]]
    ) -> int:
        """Return the prompt tokens that the target has cached.

        :param prefixes: the result of :meth:`Prompt.prefixes`.
        """
        cached = self._cached.get(target)
        if not cached:
            return 0
        total = 0
        for prefix, tokens in prefixes:
            if prefix not in cached:
                break
            total += tokens
        return total

    def targets_caching(self, prompt: Prompt, max_count: int) -> list[TargetId]:
        """Return targets that have cached all shared parts of a prompt.

        The target that was last sent them comes first.

        :param max_count: limit on the number of returned targets.
        """
        shared = _prefixes(prompt.shared_parts)
        if not shared:
            return []
        holders = self._holders.get(shared[-1][0], {})
        return list(itertools.islice(reversed(holders), max_count))

    def on_sent(self, sent: SentPrompt) -> None:
        """Record a prompt that was sent, and evict parts beyond the memory."""
        target = sent.target
        cached = self._cached.setdefault(target, OrderedDict())
        total = self._totals.get(target, 0)
        for prefix, tokens in _prefixes(sent.parts):
            total += tokens - cached.pop(prefix, 0)
            cached[prefix] = tokens
            holders = self._holders.setdefault(prefix, {})
            holders.pop(target, None)
            holders[target] = None
        while cached and total > sent.spare_tokens:
            oldest, evicted_tokens = cached.popitem(last=False)
            total -= evicted_tokens
            self._remove_holder(oldest, target)
        self._totals[target] = total

    def reset(self, target: TargetId) -> None:
        """Clear the estimate for a target that restarted or was removed."""
        for prefix in self._cached.pop(target, {}):
            self._remove_holder(prefix, target)
        self._totals.pop(target, None)

    def _remove_holder(self, prefix: str, target: TargetId) -> None:
        holders = self._holders[prefix]
        holders.pop(target)
        if not holders:
            self._holders.pop(prefix)
