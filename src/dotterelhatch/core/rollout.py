"""Distribution and activation of configuration versions at one router.

A new version is kept in memory and distributed to peers before it is applied.
A version that is active at one router is therefore in the memory of others, and
a router that restarts while the table service is down gets it from them.

``ConfigAnnouncement`` announces the latest version of its sender; in reply to
an offer it acknowledges the version. A peer that lacks an announced version
replies with ``ConfigRequest`` and then gets the document in a ``ConfigOffer``.
Announcements take a few bytes, and each router receives the document about
once, however many peers announce it.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.messages import (
    ConfigAnnouncement,
    ConfigOffer,
    ConfigRequest,
    Message,
)
from dotterelhatch.ids import ConfigVersion, RouterId

__all__ = (
    'ActivateVersion',
    'ConfigMessage',
    'Rollout',
    'RolloutAction',
    'RolloutLimits',
    'SendConfig',
)

ConfigMessage = ConfigOffer | ConfigRequest | ConfigAnnouncement
_NO_VERSION: Final = ConfigVersion(0)


@dataclass(frozen=True, slots=True)
class SendConfig:
    """Action: send a message to a peer."""

    receiver: RouterId
    message: ConfigMessage


@dataclass(frozen=True, slots=True)
class ActivateVersion:
    """Action: make a version the active one at this router."""

    version: ConfigVersion
    document: bytes


RolloutAction = SendConfig | ActivateVersion


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Limits and delays of the distribution.

    :param ack_count: number of peers that must hold a version before it is
        applied, unless the timeout passes first.
    :param ack_timeout_seconds: longest wait for these acknowledgements.
    :param fan_out_count: announcements or requests per batch. A router
        announces each version as soon as it receives it, so a small number
        reaches a large fleet in a few steps.
    :param retry_seconds: delay before a message is sent again.
    :param retry_cap_seconds: limit of the delay between announcements to one
        peer, which doubles each time because a peer may reject a version for
        good.
    :param pending_count: most versions that wait to be applied. When changes
        arrive faster, versions in between are skipped.
    """

    ack_count: int = 3
    ack_timeout_seconds: float = 2.0
    fan_out_count: int = 4
    retry_seconds: float = 1.0
    retry_cap_seconds: float = 30.0
    pending_count: int = 4


@dataclass(slots=True)
class _PendingVersion:
    """A version that waits to be applied.

    :param due_seconds: time at which it is applied without acknowledgements.
    :param stored: whether it was read from the table service.
    """

    version: ConfigVersion
    document: bytes
    due_seconds: float
    stored: bool


@dataclass(slots=True)
class _SentAnnouncement:
    """The last announcement to a peer and the time of its repetition."""

    version: ConfigVersion
    next_send_seconds: float
    wait_seconds: float


@dataclass(slots=True)
class _Throttle:
    """Limits messages about one version to one batch per retry delay."""

    version: ConfigVersion = _NO_VERSION
    next_send_seconds: float = -math.inf

    def allows(self, version: ConfigVersion, now_seconds: float) -> bool:
        """Return whether a batch may be sent, always so for a new version."""
        return version != self.version or self.next_send_seconds <= now_seconds

    def on_batch_sent(
        self, version: ConfigVersion, now_seconds: float, wait_seconds: float
    ) -> None:
        """Start the delay before the next batch."""
        self.version = version
        self.next_send_seconds = now_seconds + wait_seconds


class Rollout:
    """Receives, distributes and applies configuration versions.

    :param is_usable: returns whether a document is valid at this router. A
        version with an invalid document is neither applied nor distributed.
    :param rng: random generator that selects peers, so that routers with the
        same view do not all send to the same ones.
    """

    def __init__(
        self,
        is_usable: Callable[[bytes], bool],
        rng: random.Random,
        limits: RolloutLimits | None = None,
    ) -> None:
        """Create a rollout without an active version."""
        self._is_usable = is_usable
        self._rng = rng
        self._limits = limits or RolloutLimits()
        self._active_version = _NO_VERSION
        self._active_document = b''
        self._pending: list[_PendingVersion] = []
        self._rejected: set[ConfigVersion] = set()
        self._member_versions: dict[RouterId, ConfigVersion] = {}
        self._reported_versions: dict[RouterId, ConfigVersion] = {}
        self._announcements: dict[RouterId, _SentAnnouncement] = {}
        self._announcement_throttle = _Throttle()
        self._request_throttle = _Throttle()

    @property
    def active_version(self) -> ConfigVersion:
        """Return the active version, 0 when there is none."""
        return self._active_version

    @property
    def latest_version(self) -> ConfigVersion:
        """Return the highest version in memory, 0 when there is none.

        It may not be active yet. Frames and member records carry this
        version, because it shows whether a peer still needs the document.
        """
        return (
            self._pending[-1].version if self._pending else self._active_version
        )

    def on_store_read(
        self, version: ConfigVersion, document: bytes, now_seconds: float
    ) -> list[RolloutAction]:
        """Process the version that was read from the table service."""
        self._add_pending(version, document, now_seconds, stored=True)
        return [
            *self._announce_latest(now_seconds),
            *self._apply_ready(now_seconds),
        ]

    def on_message(
        self, sender: RouterId, message: Message, now_seconds: float
    ) -> list[RolloutAction]:
        """Process a configuration message; other messages are ignored."""
        actions: list[RolloutAction] = []
        if isinstance(message, ConfigOffer):
            self._record_version(sender, message.version)
            self._add_pending(message.version, message.document, now_seconds)
            if message.version <= self.latest_version:
                actions.append(self._build_announcement(sender))
        elif isinstance(message, ConfigAnnouncement):
            self._record_version(sender, message.version)
        elif isinstance(message, ConfigRequest):
            # A request names the version its sender holds. The sender may
            # have restarted, so this replaces a higher version that it
            # acknowledged before.
            self._reported_versions[sender] = message.above_version
            actions.append(self._reply_to_request(sender, message))
        else:
            return actions
        actions.extend(self._announce_latest(now_seconds))
        actions.extend(self._request_newer(now_seconds))
        actions.extend(self._apply_ready(now_seconds))
        return actions

    def on_tick(
        self, peers: Mapping[RouterId, ConfigVersion], now_seconds: float
    ) -> list[RolloutAction]:
        """Update the peer versions, and send and apply what is due.

        :param peers: the live peers without this router, each with the
            version in its member record, 0 if not known.
        """
        self._member_versions = dict(peers)
        for departed in self._reported_versions.keys() - peers.keys():
            self._reported_versions.pop(departed)
        for departed in self._announcements.keys() - peers.keys():
            self._announcements.pop(departed)
        return [
            *self._announce_latest(now_seconds),
            *self._request_newer(now_seconds),
            *self._apply_ready(now_seconds),
        ]

    def _add_pending(
        self,
        version: ConfigVersion,
        document: bytes,
        now_seconds: float,
        *,
        stored: bool = False,
    ) -> None:
        if stored:
            for pending in self._pending:
                pending.stored = pending.stored or pending.version == version
        if version <= self.latest_version or version in self._rejected:
            return
        if not self._is_usable(document):
            self._rejected.add(version)
            return
        self._rejected = {one for one in self._rejected if one > version}
        due_seconds = now_seconds + self._limits.ack_timeout_seconds
        if self._active_version == _NO_VERSION and self._pending:
            # The wait before the first activation gives peers time to
            # reply. It begins with the first version received, and later
            # ones do not extend it.
            due_seconds = self._pending[0].due_seconds
        if len(self._pending) == self._limits.pending_count:
            self._pending.pop()
        self._pending.append(
            _PendingVersion(version, document, due_seconds, stored)
        )

    def _record_version(self, peer: RouterId, version: ConfigVersion) -> None:
        self._reported_versions[peer] = max(
            version, self._reported_versions.get(peer, _NO_VERSION)
        )

    def _known_versions(self) -> dict[RouterId, ConfigVersion]:
        """Return the highest known version of each peer."""
        return {
            peer: max(
                self._member_versions.get(peer, _NO_VERSION),
                self._reported_versions.get(peer, _NO_VERSION),
            )
            for peer in sorted(
                self._member_versions.keys() | self._reported_versions.keys()
            )
        }

    def _build_announcement(self, receiver: RouterId) -> SendConfig:
        return SendConfig(receiver, ConfigAnnouncement(self.latest_version))

    def _reply_to_request(
        self, sender: RouterId, request: ConfigRequest
    ) -> SendConfig:
        latest = self.latest_version
        if latest <= request.above_version:
            return self._build_announcement(sender)
        document = self._active_document
        if self._pending:
            document = self._pending[-1].document
        return SendConfig(sender, ConfigOffer(latest, document))

    def _announce_latest(self, now_seconds: float) -> list[RolloutAction]:
        """Announce the latest version to a batch of peers that lack it."""
        latest = self.latest_version
        if not self._announcement_throttle.allows(latest, now_seconds):
            return []
        outdated_peers = [
            peer
            for peer, version in self._known_versions().items()
            if version < latest and self._is_announcement_due(peer, now_seconds)
        ]
        chosen = self._sample_peers(outdated_peers)
        if chosen:
            self._announcement_throttle.on_batch_sent(
                latest, now_seconds, self._limits.retry_seconds
            )
        return [
            self._schedule_announcement(peer, now_seconds) for peer in chosen
        ]

    def _schedule_announcement(
        self, peer: RouterId, now_seconds: float
    ) -> SendConfig:
        latest = self.latest_version
        last = self._announcements.get(peer)
        wait_seconds = self._limits.retry_seconds
        if last is not None and last.version == latest:
            wait_seconds = min(
                2 * last.wait_seconds, self._limits.retry_cap_seconds
            )
        self._announcements[peer] = _SentAnnouncement(
            latest, now_seconds + wait_seconds, wait_seconds
        )
        return self._build_announcement(peer)

    def _is_announcement_due(self, peer: RouterId, now_seconds: float) -> bool:
        last = self._announcements.get(peer)
        if last is None or last.version < self.latest_version:
            return True
        return last.next_send_seconds <= now_seconds

    def _request_newer(self, now_seconds: float) -> list[RolloutAction]:
        """Request a higher version, or any version when none is active."""
        known = self._known_versions()
        newest_peers = self._peers_with_newest(known)
        newest_version = known[newest_peers[0]] if newest_peers else _NO_VERSION
        if not self._request_throttle.allows(newest_version, now_seconds):
            return []
        chosen = [self._rng.choice(newest_peers)] if newest_peers else []
        if self._active_version == _NO_VERSION:
            chosen.extend(self._sample_peers(known.keys() - set(chosen)))
        if chosen:
            self._request_throttle.on_batch_sent(
                newest_version, now_seconds, self._limits.retry_seconds
            )
        request = ConfigRequest(self.latest_version)
        return [SendConfig(peer, request) for peer in chosen]

    def _peers_with_newest(
        self, known: Mapping[RouterId, ConfigVersion]
    ) -> list[RouterId]:
        """Return the peers with the highest version, if above the own one."""
        highest = max(set(known.values()) - self._rejected, default=_NO_VERSION)
        if highest <= self.latest_version:
            return []
        return [peer for peer in known if known[peer] == highest]

    def _sample_peers(self, peers: Iterable[RouterId]) -> list[RouterId]:
        candidates = sorted(peers)
        count = min(self._limits.fan_out_count, len(candidates))
        return self._rng.sample(candidates, count)

    def _apply_ready(self, now_seconds: float) -> list[RolloutAction]:
        """Apply the highest version that is ready; drop the lower ones."""
        ready = [
            pending
            for pending in self._pending
            if self._is_ready(pending, now_seconds)
        ]
        if not ready:
            return []
        chosen = ready[-1]
        self._active_version = chosen.version
        self._active_document = chosen.document
        self._pending = [
            pending
            for pending in self._pending
            if pending.version > chosen.version
        ]
        return [ActivateVersion(chosen.version, chosen.document)]

    def _is_ready(self, pending: _PendingVersion, now_seconds: float) -> bool:
        known = self._known_versions()
        if self._active_version == _NO_VERSION and self._may_be_rollback(
            pending, known, now_seconds
        ):
            return False
        if pending.due_seconds <= now_seconds:
            return True
        needed = min(self._limits.ack_count, len(known))
        acknowledged = [
            version for version in known.values() if version >= pending.version
        ]
        return len(acknowledged) >= needed

    def _may_be_rollback(
        self,
        pending: _PendingVersion,
        known: Mapping[RouterId, ConfigVersion],
        now_seconds: float,
    ) -> bool:
        """Return whether the first activation might go back a version.

        A higher version may have been active here before a restart. The
        router therefore waits for any higher version that a live peer holds.
        It also gives peers time to reply, unless this version was read from
        the table service.
        """
        if pending is not self._pending[-1] or self._peers_with_newest(known):
            return True
        return not pending.stored and now_seconds < pending.due_seconds
