"""Prompts made of shared parts, and which parts each target keeps."""

import itertools
from collections import OrderedDict
from dataclasses import dataclass

from dotterelhatch.ids import TargetId

__all__ = ('PrefixCacheEstimate', 'Prompt', 'PromptPart', 'SentPrompt')


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A run of prompt tokens that other requests may begin with too."""

    id: str
    tokens_count: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a request to a model engine.

    :param parts: in the order of the prompt; the last belongs to the request
        or its session.
    :param max_output_tokens: bound of the tokens generated.
    """

    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests begin with as well."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Return the key that places requests with the same shared parts."""
        return '/'.join(part.id for part in self.shared_parts)

    def prefixes(self) -> list[tuple[str, int]]:
        """Return a key and the tokens of the last part for each prefix."""
        return _prefixes(self.parts)


def _prefixes(parts: tuple[PromptPart, ...]) -> list[tuple[str, int]]:
    """Key each part by all parts before it, without which it isn't kept."""
    found = []
    prefix = ''
    for part in parts:
        prefix = f'{prefix}/{part.id}'
        found.append((prefix, part.tokens_count))
    return found


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt that a router sent to a target.

    :param spare_tokens: memory of the target beside running requests.
    """

    target: TargetId
    parts: tuple[PromptPart, ...]
    spare_tokens: int


class PrefixCacheEstimate:
    """Estimate of the prompt parts that each target still keeps.

    An engine drops the least recently used parts when its memory is full. The
    estimate does the same with what all routers sent there; the parts that
    belong to one request count too, as they push out the shared ones.
    """

    def __init__(self) -> None:
        """Start with nothing kept."""
        self._kept: dict[TargetId, OrderedDict[str, int]] = {}
        self._totals: dict[TargetId, int] = {}
        # The targets of each prefix, the latest last.
        self._holders: dict[str, dict[TargetId, None]] = {}

    def cached_tokens(
        self, target: TargetId, prefixes: list[tuple[str, int]]
    ) -> int:
        """Return the tokens of a prompt that the target need not read."""
        kept = self._kept.get(target)
        if not kept:
            return 0
        total = 0
        for prefix, tokens in prefixes:
            if prefix not in kept:
                break
            total += tokens
        return total

    def targets_caching(
        self, prompt: Prompt, most_count: int
    ) -> list[TargetId]:
        """Return the targets that read all shared parts last.

        :param most_count: bounds their number.
        """
        shared = _prefixes(prompt.shared_parts)
        if not shared:
            return []
        holders = self._holders.get(shared[-1][0], {})
        return list(itertools.islice(reversed(holders), most_count))

    def on_sent(self, sent: SentPrompt) -> None:
        """Note that a target reads a prompt."""
        target = sent.target
        kept = self._kept.setdefault(target, OrderedDict())
        total = self._totals.get(target, 0)
        for prefix, tokens in _prefixes(sent.parts):
            total += tokens - kept.pop(prefix, 0)
            kept[prefix] = tokens
            holders = self._holders.setdefault(prefix, {})
            holders.pop(target, None)
            holders[target] = None
        while kept and total > sent.spare_tokens:
            oldest, dropped_tokens = kept.popitem(last=False)
            total -= dropped_tokens
            self._drop_holder(oldest, target)
        self._totals[target] = total

    def reset(self, target: TargetId) -> None:
        """Drop the estimate of a target that started anew or left."""
        for prefix in self._kept.pop(target, {}):
            self._drop_holder(prefix, target)
        self._totals.pop(target, None)

    def _drop_holder(self, prefix: str, target: TargetId) -> None:
        holders = self._holders[prefix]
        holders.pop(target)
        if not holders:
            self._holders.pop(prefix)
