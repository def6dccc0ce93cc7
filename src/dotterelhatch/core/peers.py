"""Peers of a gateway, known by their heartbeats."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from dotterelhatch.core.admission import AdmissionCounts
from dotterelhatch.core.fairshare import Usage
from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.messages import CrashReport
from dotterelhatch.core.prompts import SentPrompt
from dotterelhatch.ids import (
    FailureDomain,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)

__all__ = (
    'Heartbeat',
    'Peer',
    'PeerDirectory',
    'WindowTotals',
    'heartbeat_interval_seconds',
)

# A router that was silent for this long is not named to callers any more.
# Several heartbeats have to be lost before.
_LIVE_SECONDS: Final = 2.0
# A cut of one host lasts for seconds; after this time its peers may be others.
_ISOLATED_SECONDS: Final = 30.0
# Addresses of silent peers are kept and tried, because a cut ends.
_FORGOTTEN_SECONDS: Final = 60.0
# A queue at an engine drains within a few tenths of a second, and routers that
# know less of each other's work than that place requests blindly.
_SHORTEST_INTERVAL_SECONDS: Final = 0.1
# Keeps the datagrams that a router receives below 200 per second. Each takes
# 0.13 ms with 33 routers, and control may take 2.8 % of a core.
_INTERVAL_PER_PEER_SECONDS: Final = 0.005


@dataclass(frozen=True, slots=True)
class WindowTotals:
    """What a router counted within its sliding windows.

    :param usages: what organisations asked and got there.
    :param admissions: requests admitted and refused, by service and kind.
    :param known_addresses: heartbeat addresses of live peers.
    """

    usages: Mapping[OrganisationId, Usage] = field(default_factory=dict)
    admissions: Mapping[ServiceId, Mapping[str, AdmissionCounts]] = field(
        default_factory=dict
    )
    known_addresses: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a router tells the others several times a second.

    :param incarnation: start time in ms; a restarted router replaces what
        its former incarnation told.
    :param sequence: orders the heartbeats of one incarnation.
    :param is_ready: whether callers should be sent there.
    :param is_accepting: whether connections are accepted, which goes on for a
        while after the router began to leave.
    :param snapshot_versions: version of each document it has.
    :param loads: what it has sent to each target.
    :param totals: left out of most heartbeats, as they change slowly.
    :param is_source_seen: whether the source of the documents answered lately.
    :param requests_per_second: that arrive there.
    :param crashes: requests that ran on a target while it crashed.
    :param sent_prompts: prompts sent since the last heartbeat.
    :param refused: fingerprints of requests refused since the last heartbeat,
        with the seconds since each was sent first.
    """

    router: RouterId
    incarnation: Incarnation
    sequence: int
    failure_domain: FailureDomain
    caller_address: str
    control_address: str
    heartbeat_address: str
    is_ready: bool
    is_accepting: bool
    snapshot_versions: Mapping[str, int]
    loads: Mapping[TargetId, TargetLoad]
    totals: WindowTotals | None = None
    is_source_seen: bool = False
    requests_per_second: float = 0
    crashes: tuple[CrashReport, ...] = ()
    sent_prompts: tuple[SentPrompt, ...] = ()
    refused: tuple[tuple[str, float], ...] = ()


@dataclass(slots=True)
class Peer:
    """The newest heartbeat of a peer and when it arrived."""

    heartbeat: Heartbeat
    heard_seconds: float


class PeerDirectory:
    """Peers that were heard lately, and addresses at which to find more.

    :param router: this router, whose own heartbeats are ignored.
    :param heartbeat_address: of this router.
    """

    def __init__(self, router: RouterId, heartbeat_address: str) -> None:
        """Start without peers."""
        self._router = router
        self._own_address = heartbeat_address
        self._peers: dict[RouterId, Peer] = {}
        self._addresses: dict[str, float] = {}
        self._most_seen_count = 1

    @property
    def max_live_count(self) -> int:
        """Return the largest number of live routers so far, this included."""
        return self._most_seen_count

    def add_addresses(
        self, addresses: Iterable[str], now_seconds: float
    ) -> None:
        """Take over addresses at which peers may listen."""
        for address in addresses:
            if address != self._own_address:
                self._addresses[address] = now_seconds

    def on_heartbeat(self, heartbeat: Heartbeat, now_seconds: float) -> bool:
        """Take over a heartbeat; return whether it is news."""
        if heartbeat.router == self._router:
            return False
        known = self._peers.get(heartbeat.router)
        if known is not None and not _is_newer(heartbeat, known.heartbeat):
            return False
        self._peers[heartbeat.router] = Peer(heartbeat, now_seconds)
        self._addresses[heartbeat.heartbeat_address] = now_seconds
        if heartbeat.totals is not None:
            for address in heartbeat.totals.known_addresses:
                if address != self._own_address:
                    self._addresses.setdefault(address, now_seconds)
        live_count = len(self.live(now_seconds)) + 1
        self._most_seen_count = max(self._most_seen_count, live_count)
        return True

    def live(self, now_seconds: float) -> list[Heartbeat]:
        """Return the newest heartbeat of each peer heard lately."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if now_seconds - peer.heard_seconds <= _LIVE_SECONDS
        ]

    def advertised(self, now_seconds: float) -> list[Heartbeat]:
        """Return the peers that callers may be sent to.

        A router that suddenly hears nobody is more likely cut off than the
        only one left. It goes on to name those it heard last, as its own
        address alone would draw all callers that ask it.
        """
        live = self.live(now_seconds)
        if live:
            return live
        oldest_seconds = now_seconds - _ISOLATED_SECONDS
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heard_seconds >= oldest_seconds
        ]

    def addresses(self, now_seconds: float) -> list[str]:
        """Return the addresses to send heartbeats to."""
        oldest_seconds = now_seconds - _FORGOTTEN_SECONDS
        self._addresses = {
            address: since
            for address, since in self._addresses.items()
            if since >= oldest_seconds
        }
        return list(self._addresses)


def heartbeat_interval_seconds(peers_count: int) -> float:
    """Return the pause between two heartbeats."""
    return max(
        _SHORTEST_INTERVAL_SECONDS, _INTERVAL_PER_PEER_SECONDS * peers_count
    )


def _is_newer(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    return (heartbeat.incarnation, heartbeat.sequence) > (
        known.incarnation,
        known.sequence,
    )
