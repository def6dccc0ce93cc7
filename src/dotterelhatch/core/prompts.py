"""Prompts made of shared parts, and which parts each target keeps."""

from collections import OrderedDict
from dataclasses import dataclass

from dotterelhatch.ids import TargetId

__all__ = ('Prompt', 'PromptPart', 'PromptPartCache')


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


class PromptPartCache:
    """Estimate of the prompt parts that each target still keeps.

    An engine drops the least recently used parts when its memory is full, and
    the estimate does the same with what was sent there.

    :param capacity_share: part of the memory of an engine that kept parts
        have beside running requests.
    """

    def __init__(self, capacity_share: float = 0.6) -> None:
        """Start with nothing kept."""
        self._capacity_share = capacity_share
        self._kept: dict[TargetId, OrderedDict[str, int]] = {}
        self._totals: dict[TargetId, int] = {}

    def kept_tokens(self, target: TargetId, prompt: Prompt) -> int:
        """Return the tokens of the prompt that the target need not read."""
        kept = self._kept.get(target)
        if not kept:
            return 0
        total = 0
        chain = ''
        for part in prompt.parts:
            chain = f'{chain}/{part.id}'
            if chain not in kept:
                break
            total += part.tokens_count
        return total

    def on_sent(
        self, target: TargetId, prompt: Prompt, memory_tokens: int
    ) -> None:
        """Note that a target reads the shared parts of a prompt."""
        kept = self._kept.setdefault(target, OrderedDict())
        total = self._totals.get(target, 0)
        chain = ''
        for part in prompt.parts:
            chain = f'{chain}/{part.id}'
            total += part.tokens_count - kept.pop(chain, 0)
            kept[chain] = part.tokens_count
        while kept and total > memory_tokens * self._capacity_share:
            total -= kept.popitem(last=False)[1]
        self._totals[target] = total

    def forget(self, target: TargetId) -> None:
        """Drop the estimate of a target that started anew or left."""
        self._kept.pop(target, None)
        self._totals.pop(target, None)
