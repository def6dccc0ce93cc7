"""Prompts, and an estimate of the prefixes that each target has cached."""

import hashlib
import itertools
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.reported import Count
from dotterelhatch.ids import TargetId

__all__ = (
    'CACHED_PREFIX_BYTES',
    'DEFAULT_PREFIXES_COUNT',
    'PrefixCacheEstimate',
    'PrefixKey',
    'Prompt',
    'PromptPart',
    'PromptReports',
    'SentPrompt',
    'limit_parts',
    'prefix_keys',
)

# A generated token takes about twice the time of a prompt token.
_OUTPUT_TOKEN_WEIGHT: Final = 2
# Callers choose the number of parts and the length of their ids. Parts beyond
# the exact ones are joined to groups, of which each doubling of the number of
# parts adds the same number.
_EXACT_PARTS_COUNT: Final = 64
_GROUPS_PER_DOUBLING_COUNT: Final = 8
_MAX_ID_CHARS: Final = 32
_MAX_KEY_CHARS: Final = 64
_DIGEST_BYTES: Final = 8
# Memory that an estimate takes at most for a prefix that a target has cached.
CACHED_PREFIX_BYTES: Final = 640
DEFAULT_PREFIXES_COUNT: Final = 32_768
# In a report they take a quarter of the longest datagram. A prompt counts as a
# part more than it has.
_MAX_REPORTED_PARTS_COUNT: Final = 1_000

PrefixKey = int


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A section of a prompt that other requests may have in common.

    :param id: equal for the same section of other prompts.
    """

    id: str
    tokens_count: Count


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
        """Return a key that requests with the same shared parts have.

        It is the same at all routers, and short: many keys are kept.
        """
        key = '/'.join(part.id for part in self.shared_parts)
        return key if len(key) <= _MAX_KEY_CHARS else _digest(key)

    def prefixes(self) -> list[tuple[PrefixKey, int]]:
        """Return, for each prefix, its key and the tokens of its last part."""
        return prefix_keys(self.parts)


def limit_parts(parts: Sequence[PromptPart]) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt in a number and length that can be kept.

    Parts far behind are joined to groups. Where a group begins and ends depends
    on the position only, so prompts with the same first parts have the same
    first groups. The last part stays by itself.
    """
    shared = parts[:-1]
    limited = [_shorten(part) for part in shared[:_EXACT_PARTS_COUNT]]
    start = _EXACT_PARTS_COUNT
    while start < len(shared):
        doubling_start = 1 << (start.bit_length() - 1)
        end = start + doubling_start // _GROUPS_PER_DOUBLING_COUNT
        limited.append(_join(shared[start:end]))
        start = end
    limited.extend(_shorten(part) for part in parts[-1:])
    return tuple(limited)


def _shorten(part: PromptPart) -> PromptPart:
    return part if len(part.id) <= _MAX_ID_CHARS else _join((part,))


def _join(parts: Sequence[PromptPart]) -> PromptPart:
    names = ','.join(part.id for part in parts)
    tokens_count = sum(part.tokens_count for part in parts)
    return PromptPart(_digest(names), tokens_count)


def _digest(names: str) -> str:
    digest = hashlib.blake2b(
        names.encode('utf-8', 'surrogatepass'), digest_size=_DIGEST_BYTES
    )
    return digest.hexdigest()


def prefix_keys(parts: Sequence[PromptPart]) -> list[tuple[PrefixKey, int]]:
    """Key each part with all parts before it.

    A part is only usable from the cache behind the same preceding parts. The
    keys have one length, and hold in this process only.
    """
    found = []
    key = 0
    for part in parts:
        key = hash((key, part.id))
        found.append((key, part.tokens_count))
    return found


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """The prompt of a request that a router sent to a target.

    :param spare_tokens: memory of the target that running requests leave to
        its cache.
    """

    target: TargetId
    parts: tuple[PromptPart, ...]
    spare_tokens: Count


def _parts_count(sent: SentPrompt) -> int:
    return len(sent.parts) + 1


class PromptReports:
    """Prompts that were sent and are not reported to the peers yet.

    What does not fit into a report is left out, the prompts with the most
    parts first.
    """

    def __init__(self) -> None:
        """Start without prompts."""
        self._sent: list[SentPrompt] = []
        self._parts_count = 0

    def add(self, sent: SentPrompt) -> None:
        """Add a prompt."""
        self._sent.append(sent)
        self._parts_count += _parts_count(sent)
        while self._parts_count > _MAX_REPORTED_PARTS_COUNT:
            longest = max(self._sent, key=_parts_count)
            self._sent.remove(longest)
            self._parts_count -= _parts_count(longest)

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to report."""
        return not self._sent

    def take(self) -> tuple[SentPrompt, ...]:
        """Return and clear the prompts to report."""
        sent = tuple(self._sent)
        self._sent.clear()
        self._parts_count = 0
        return sent


class PrefixCacheEstimate:
    """Estimate of the prompt prefixes that each target has cached.

    A model engine evicts the least recently used parts when its memory is
    full. The estimate does the same with the prompts that all routers sent to
    the target. It includes parts that are specific to one request, because
    they also cause evictions.

    :param max_prefixes_count: limit for all targets together. Parts may have
        any number of tokens, so the memory of the targets bounds the memory of
        the estimate too little. Above it the target with the most prefixes
        loses the one that it used least recently.
    """

    def __init__(
        self, max_prefixes_count: int = DEFAULT_PREFIXES_COUNT
    ) -> None:
        """Create an estimate of empty caches."""
        self._max_prefixes_count = max_prefixes_count
        self._prefixes_count = 0
        self._cached: dict[TargetId, OrderedDict[PrefixKey, int]] = {}
        self._totals: dict[TargetId, int] = {}
        # Targets by prefix, the one that read it last at the end.
        self._holders: dict[PrefixKey, dict[TargetId, None]] = {}

    @property
    def prefixes_count(self) -> int:
        """Return the number of prefixes of all targets."""
        return self._prefixes_count

    def cached_tokens(
        self, target: TargetId, prefixes: list[tuple[PrefixKey, int]]
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
        shared = prefix_keys(prompt.shared_parts)
        if not shared:
            return []
        holders = self._holders.get(shared[-1][0], {})
        return list(itertools.islice(reversed(holders), max_count))

    def on_sent(self, sent: SentPrompt) -> None:
        """Record a prompt that was sent, and evict parts beyond the memory."""
        target = sent.target
        cached = self._cached.setdefault(target, OrderedDict())
        self._totals.setdefault(target, 0)
        former_count = len(cached)
        for prefix, tokens in prefix_keys(sent.parts):
            self._totals[target] += tokens - cached.pop(prefix, 0)
            cached[prefix] = tokens
            holders = self._holders.setdefault(prefix, {})
            holders.pop(target, None)
            holders[target] = None
        self._prefixes_count += len(cached) - former_count
        while cached and self._totals[target] > sent.spare_tokens:
            self._evict_oldest(target)
        while self._prefixes_count > self._max_prefixes_count:
            self._evict_oldest(self._fullest())

    def reset(self, target: TargetId) -> None:
        """Clear the estimate for a target that restarted or was removed."""
        forgotten = self._cached.pop(target, OrderedDict())
        for prefix in forgotten:
            self._remove_holder(prefix, target)
        self._prefixes_count -= len(forgotten)
        self._totals.pop(target, None)

    def _fullest(self) -> TargetId:
        """Return the target with the most prefixes."""
        return max(self._cached, key=lambda one: len(self._cached[one]))

    def _evict_oldest(self, target: TargetId) -> None:
        prefix, tokens = self._cached[target].popitem(last=False)
        self._totals[target] -= tokens
        self._prefixes_count -= 1
        self._remove_holder(prefix, target)

    def _remove_holder(self, prefix: PrefixKey, target: TargetId) -> None:
        holders = self._holders[prefix]
        holders.pop(target)
        if not holders:
            self._holders.pop(prefix)
