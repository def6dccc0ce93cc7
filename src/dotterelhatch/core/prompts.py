"""Prompts made of shared parts, and which parts each target keeps."""

from collections import OrderedDict
from dataclasses import dataclass

from dotterelhatch.ids import TargetId

__all__ = ('Prompt', 'PromptPart', 'PromptPartCache', 'SentPrompt')


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


@dataclass(frozen=True, slots=True)
class SentPrompt:
    """A prompt that a router sent to a target.

    :param spare_tokens: memory of the target beside running requests.
    """

    target: TargetId
    parts: tuple[PromptPart, ...]
    spare_tokens: int


class PromptPartCache:
    """Estimate of the prompt parts that each target still keeps.

    An engine drops the least recently used parts when its memory is full. The
    estimate does the same with what all routers sent there; the parts that
    belong to one request count too, as they push out the shared ones.
    """

    def __init__(self) -> None:
        """Start with nothing kept."""
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

    def on_sent(self, sent: SentPrompt) -> None:
        """Note that a target reads a prompt."""
        kept = self._kept.setdefault(sent.target, OrderedDict())
        total = self._totals.get(sent.target, 0)
        chain = ''
        for part in sent.parts:
            chain = f'{chain}/{part.id}'
            total += part.tokens_count - kept.pop(chain, 0)
            kept[chain] = part.tokens_count
        while kept and total > sent.spare_tokens:
            total -= kept.popitem(last=False)[1]
        self._totals[sent.target] = total

    def forget(self, target: TargetId) -> None:
        """Drop the estimate of a target that started anew or left."""
        self._kept.pop(target, None)
        self._totals.pop(target, None)
