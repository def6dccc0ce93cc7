"""Acceptance of configuration versions at one router.

A new version is held and spread to peers before it is applied. When it is in
force anywhere, other routers therefore hold it too, and a router that
restarts while the table service is down finds it again.

A router announces a version with ``ConfigAcknowledgement``. A peer that lacks
it answers with ``ConfigRequest`` and then gets the document. Announcements
cost a few bytes, and each router receives the document about once, whichever
peers announce it.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.messages import (
    ConfigAcknowledgement,
    ConfigOffer,
    ConfigRequest,
    Message,
)
from dotterelhatch.ids import ConfigVersion, RouterId

__all__ = (
    'ApplyConfig',
    'ConfigMessage',
    'Rollout',
    'RolloutAction',
    'RolloutLimits',
    'SendConfig',
)

ConfigMessage = ConfigOffer | ConfigRequest | ConfigAcknowledgement
_NONE: Final = ConfigVersion(0)


@dataclass(frozen=True, slots=True)
class SendConfig:
    """A message that is due to a peer."""

    receiver: RouterId
    message: ConfigMessage


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """A version that is in force at this router from now on."""

    version: ConfigVersion
    document: bytes


RolloutAction = SendConfig | ApplyConfig


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Counts and times of the spread.

    :param ack_count: acknowledgements that end the wait before applying.
    :param ack_timeout_seconds: the longest wait for them.
    :param fan_out_count: announcements or requests sent at a time. A version
        that reaches a router is announced at once, so a small number covers
        a large fleet in a few steps.
    :param retry_seconds: wait before a message is sent again.
    :param retry_cap_seconds: the wait between announcements to one peer
        doubles up to this, because a peer may refuse a version for good.
    :param pending_count: versions that wait at a time. Faster changes than
        this skip versions in between.
    """

    ack_count: int = 3
    ack_timeout_seconds: float = 2.0
    fan_out_count: int = 4
    retry_seconds: float = 1.0
    retry_cap_seconds: float = 30.0
    pending_count: int = 4


@dataclass(slots=True)
class _Pending:
    """A version that is held and not yet in force.

    :param stored: whether the table service has confirmed the version.
    """

    version: ConfigVersion
    document: bytes
    due_seconds: float
    stored: bool


@dataclass(slots=True)
class _Attempt:
    """Which version was announced to a peer and when to repeat it."""

    version: ConfigVersion
    next_seconds: float
    wait_seconds: float


@dataclass(slots=True)
class _Window:
    """Limits messages about one version to a batch per retry time."""

    version: ConfigVersion = _NONE
    next_seconds: float = -math.inf

    def is_open(self, version: ConfigVersion, now_seconds: float) -> bool:
        """Return whether a batch may be sent; a new version opens it."""
        return version != self.version or self.next_seconds <= now_seconds

    def close(
        self, version: ConfigVersion, now_seconds: float, wait_seconds: float
    ) -> None:
        """Note that a batch was sent."""
        self.version = version
        self.next_seconds = now_seconds + wait_seconds


class Rollout:
    """Holds, spreads and applies configuration versions.

    :param is_usable: whether a document is valid at this router. A version
        that is not usable is neither applied nor passed on.
    :param rng: chooses the peers, so that routers with the same view do not
        all announce a version to the same ones.
    """

    def __init__(
        self,
        is_usable: Callable[[bytes], bool],
        rng: random.Random,
        limits: RolloutLimits | None = None,
    ) -> None:
        """Start without a configuration."""
        self._is_usable = is_usable
        self._rng = rng
        self._limits = limits or RolloutLimits()
        self._in_force = _NONE
        self._document = b''
        self._pending: list[_Pending] = []
        self._refused: set[ConfigVersion] = set()
        self._listed: dict[RouterId, ConfigVersion] = {}
        self._told: dict[RouterId, ConfigVersion] = {}
        self._announced: dict[RouterId, _Attempt] = {}
        self._announcements = _Window()
        self._requests = _Window()

    @property
    def active_version(self) -> ConfigVersion:
        """Return the version in force, 0 when there is none."""
        return self._in_force

    @property
    def latest_version(self) -> ConfigVersion:
        """Return the highest version in memory, 0 when there is none.

        Frames and member records carry this version, since it decides
        whether a peer still needs the document.
        """
        return self._pending[-1].version if self._pending else self._in_force

    def on_store_read(
        self, version: ConfigVersion, document: bytes, now_seconds: float
    ) -> list[RolloutAction]:
        """Take the version that the table service holds."""
        self._hold(version, document, now_seconds, stored=True)
        return [*self._announce(now_seconds), *self._apply(now_seconds)]

    def on_message(
        self, sender: RouterId, message: Message, now_seconds: float
    ) -> list[RolloutAction]:
        """Handle a configuration message; others have no effect."""
        actions: list[RolloutAction] = []
        if isinstance(message, ConfigOffer):
            self._note(sender, message.version)
            self._hold(message.version, message.document, now_seconds)
            if message.version <= self.latest_version:
                actions.append(self._confirm(sender))
        elif isinstance(message, ConfigAcknowledgement):
            self._note(sender, message.version)
        elif isinstance(message, ConfigRequest):
            # A request states what its sender holds. It may have restarted,
            # so this replaces a higher version that it confirmed before.
            self._told[sender] = message.above_version
            actions.append(self._answer(sender, message))
        else:
            return actions
        actions.extend(self._announce(now_seconds))
        actions.extend(self._request(now_seconds))
        actions.extend(self._apply(now_seconds))
        return actions

    def on_tick(
        self, peers: Mapping[RouterId, ConfigVersion], now_seconds: float
    ) -> list[RolloutAction]:
        """Take the live peers with the version that each one holds.

        :param peers: without this router; 0 for a peer whose version is not
            known.
        """
        self._listed = dict(peers)
        for gone in self._told.keys() - peers.keys():
            self._told.pop(gone)
        for gone in self._announced.keys() - peers.keys():
            self._announced.pop(gone)
        return [
            *self._announce(now_seconds),
            *self._request(now_seconds),
            *self._apply(now_seconds),
        ]

    def _hold(
        self,
        version: ConfigVersion,
        document: bytes,
        now_seconds: float,
        *,
        stored: bool = False,
    ) -> None:
        if stored:
            for held in self._pending:
                held.stored = held.stored or held.version == version
        if version <= self.latest_version or version in self._refused:
            return
        if not self._is_usable(document):
            self._refused.add(version)
            return
        self._refused = {one for one in self._refused if one > version}
        due_seconds = now_seconds + self._limits.ack_timeout_seconds
        if self._in_force == _NONE and self._pending:
            # The first wait gives peers time to answer. It has begun with
            # the first version, and further versions do not extend it.
            due_seconds = self._pending[0].due_seconds
        if len(self._pending) == self._limits.pending_count:
            self._pending.pop()
        self._pending.append(_Pending(version, document, due_seconds, stored))

    def _note(self, peer: RouterId, version: ConfigVersion) -> None:
        self._told[peer] = max(version, self._told.get(peer, _NONE))

    def _known(self) -> dict[RouterId, ConfigVersion]:
        """Return the peers with the highest version known of each."""
        return {
            peer: max(
                self._listed.get(peer, _NONE), self._told.get(peer, _NONE)
            )
            for peer in sorted(self._listed.keys() | self._told.keys())
        }

    def _confirm(self, receiver: RouterId) -> SendConfig:
        return SendConfig(receiver, ConfigAcknowledgement(self.latest_version))

    def _answer(self, sender: RouterId, request: ConfigRequest) -> SendConfig:
        held = self.latest_version
        if held <= request.above_version:
            return self._confirm(sender)
        document = self._document
        if self._pending:
            document = self._pending[-1].document
        return SendConfig(sender, ConfigOffer(held, document))

    def _announce(self, now_seconds: float) -> list[RolloutAction]:
        """Announce the highest version to some peers that need it."""
        held = self.latest_version
        if not self._announcements.is_open(held, now_seconds):
            return []
        lower = [
            peer
            for peer, version in self._known().items()
            if version < held and self._is_due(peer, now_seconds)
        ]
        chosen = self._choose(lower)
        if chosen:
            self._announcements.close(
                held, now_seconds, self._limits.retry_seconds
            )
        return [self._announce_to(peer, now_seconds) for peer in chosen]

    def _announce_to(self, peer: RouterId, now_seconds: float) -> SendConfig:
        held = self.latest_version
        last = self._announced.get(peer)
        wait_seconds = self._limits.retry_seconds
        if last is not None and last.version == held:
            wait_seconds = min(
                2 * last.wait_seconds, self._limits.retry_cap_seconds
            )
        self._announced[peer] = _Attempt(
            held, now_seconds + wait_seconds, wait_seconds
        )
        return self._confirm(peer)

    def _is_due(self, peer: RouterId, now_seconds: float) -> bool:
        last = self._announced.get(peer)
        if last is None or last.version < self.latest_version:
            return True
        return last.next_seconds <= now_seconds

    def _request(self, now_seconds: float) -> list[RolloutAction]:
        """Ask for a higher version, or for any when none is in force."""
        known = self._known()
        higher = self._find_higher(known)
        wanted = known[higher[0]] if higher else _NONE
        if not self._requests.is_open(wanted, now_seconds):
            return []
        chosen = [self._rng.choice(higher)] if higher else []
        if self._in_force == _NONE:
            chosen.extend(self._choose(known.keys() - set(chosen)))
        if chosen:
            self._requests.close(
                wanted, now_seconds, self._limits.retry_seconds
            )
        request = ConfigRequest(self.latest_version)
        return [SendConfig(peer, request) for peer in chosen]

    def _find_higher(
        self, known: Mapping[RouterId, ConfigVersion]
    ) -> list[RouterId]:
        """Return the peers with the highest version above the held one."""
        highest = max(set(known.values()) - self._refused, default=_NONE)
        if highest <= self.latest_version:
            return []
        return [peer for peer in known if known[peer] == highest]

    def _choose(self, peers: Iterable[RouterId]) -> list[RouterId]:
        candidates = sorted(peers)
        count = min(self._limits.fan_out_count, len(candidates))
        return self._rng.sample(candidates, count)

    def _apply(self, now_seconds: float) -> list[RolloutAction]:
        """Apply the highest version whose wait is over."""
        ready = [
            held for held in self._pending if self._is_ready(held, now_seconds)
        ]
        if not ready:
            return []
        chosen = ready[-1]
        self._in_force = chosen.version
        self._document = chosen.document
        self._pending = [
            held for held in self._pending if held.version > chosen.version
        ]
        return [ApplyConfig(chosen.version, chosen.document)]

    def _is_ready(self, held: _Pending, now_seconds: float) -> bool:
        known = self._known()
        if self._in_force == _NONE and self._is_early(held, known, now_seconds):
            return False
        if held.due_seconds <= now_seconds:
            return True
        needed = min(self._limits.ack_count, len(known))
        confirmed = [
            version for version in known.values() if version >= held.version
        ]
        return len(confirmed) >= needed

    def _is_early(
        self,
        held: _Pending,
        known: Mapping[RouterId, ConfigVersion],
        now_seconds: float,
    ) -> bool:
        """Return whether the first version may be a step back.

        Before a restart this router may have had a higher version in force.
        It waits for any higher version that a live peer holds, and gives
        peers time to answer unless the table service confirmed this one.
        """
        if held is not self._pending[-1] or self._find_higher(known):
            return True
        return not held.stored and now_seconds < held.due_seconds
