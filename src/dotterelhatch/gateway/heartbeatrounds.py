"""Decides which peers get the next heartbeat of a gateway."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from dotterelhatch.core.deferredreports import DeferredReports
from dotterelhatch.core.peers import (
    Heartbeat,
    HeartbeatPlan,
    PeerDirectory,
    heartbeat_interval_seconds,
    heartbeat_plan,
)
from dotterelhatch.gateway.settings import GatewaySettings

__all__ = ('HeartbeatRecipients', 'HeartbeatRounds')

# News of crashes are repeated to all peers for this long, as the first report
# may be lost.
_NEWS_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class HeartbeatRecipients:
    """Heartbeat addresses by failure domain.

    :param near: in the failure domain of this router, or not heard yet.
    """

    near: tuple[str, ...]
    elsewhere: tuple[str, ...]


class HeartbeatRounds:
    """Peers of the own failure domain get all heartbeats, others only some.

    :param settings: of this gateway.
    :param peers: all known peers.
    """

    def __init__(self, settings: GatewaySettings, peers: PeerDirectory) -> None:
        """Start with a heartbeat to all peers."""
        self.settings = settings
        self._peers = peers
        self._deferred = DeferredReports()
        self._plan = HeartbeatPlan(heartbeat_interval_seconds(0))
        self._rounds_until_all = 0
        self._news_until_seconds = 0.0

    @property
    def is_reduced(self) -> bool:
        """Return whether peers elsewhere get only some of the heartbeats."""
        return self._plan.elsewhere_period > 1

    def on_news(self, now_seconds: float) -> None:
        """Send the heartbeats of the next seconds to all peers."""
        self._news_until_seconds = now_seconds + _NEWS_SECONDS

    def next_interval_seconds(self, now_seconds: float) -> float:
        """Update the plan; return the time until the next heartbeat."""
        live = self._peers.live(now_seconds)
        if self.settings.has_fewer_heartbeats_elsewhere:
            own_domain = self.settings.failure_domain
            near_count = sum(peer.failure_domain == own_domain for peer in live)
            self._plan = heartbeat_plan(near_count, len(live) - near_count)
        else:
            self._plan = HeartbeatPlan(heartbeat_interval_seconds(len(live)))
        return self._plan.interval_seconds

    def is_due_elsewhere(self, now_seconds: float) -> bool:
        """Return whether the next regular heartbeat goes to all peers."""
        return (
            self._rounds_until_all <= 0
            or self._plan.elsewhere_period == 1
            or now_seconds < self._news_until_seconds
        )

    def recipients(
        self, now_seconds: float, *, is_to_all: bool
    ) -> HeartbeatRecipients:
        """Return the addresses that a heartbeat is sent to now."""
        addresses = self._peers.addresses(now_seconds)
        domains = self._peers.failure_domains()
        own_domain = self.settings.failure_domain
        near = tuple(
            address
            for address in addresses
            if domains.get(address, own_domain) == own_domain
        )
        if not is_to_all:
            return HeartbeatRecipients(near, ())
        return HeartbeatRecipients(near, _without(addresses, frozenset(near)))

    def on_sent(
        self, heartbeat: Heartbeat, now_seconds: float, *, is_to_all: bool
    ) -> Heartbeat:
        """Keep the reports of a heartbeat for the peers that don't get it.

        :returns: the heartbeat for the peers elsewhere.
        """
        if is_to_all:
            self._rounds_until_all = self._plan.elsewhere_period
        self._rounds_until_all -= 1
        if is_to_all and self._deferred.is_empty:
            return heartbeat
        self._deferred.add(
            heartbeat.sent_prompts, heartbeat.refused, now_seconds
        )
        if not is_to_all:
            return heartbeat
        return replace(
            heartbeat,
            sent_prompts=self._deferred.take_prompts(),
            refused=self._deferred.take_rejected(now_seconds),
        )


def _without(
    addresses: Iterable[str], omitted: frozenset[str]
) -> tuple[str, ...]:
    return tuple(one for one in addresses if one not in omitted)
