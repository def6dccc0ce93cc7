"""Directory of the peers of a gateway, built from their heartbeats."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from operator import attrgetter
from typing import Final

from dotterelhatch.core.admission import AdmissionCounts
from dotterelhatch.core.crashcauses import CrashEvidence
from dotterelhatch.core.documents import DocumentPoint
from dotterelhatch.core.fairshare import Usage
from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.prompts import SentPrompt
from dotterelhatch.core.reported import Age, Count, Rate
from dotterelhatch.core.speeds import SpeedReport
from dotterelhatch.core.targetlimits import LimitReport
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
    'HeartbeatPlan',
    'Peer',
    'PeerDirectory',
    'ReportBudget',
    'WindowTotals',
    'evidence_interval_seconds',
    'heartbeat_interval_seconds',
    'heartbeat_plan',
    'is_minority',
    'longest_interval_seconds',
    'receive_pause_seconds',
)

# A peer without a heartbeat for this long, that is after several lost ones, is
# no longer advertised to callers.
_LIVE_TIMEOUT_SECONDS: Final = 2.0
# A network partition of one host lasts for seconds; after this time the fleet
# may have changed.
_ISOLATION_TIMEOUT_SECONDS: Final = 30.0
# A router that reaches the source has rather lost its peers than its network.
# It must not name a router that ended more than 7 s ago; the rest is for a
# heartbeat that was delayed.
_SOURCE_REACHED_TIMEOUT_SECONDS: Final = 5.0
# Heartbeats are still sent to unreachable peers for this long, because a
# network partition ends.
_ADDRESS_LIFETIME_SECONDS: Final = 60.0
# What is known of a silent peer is then forgotten, its incarnation included: it
# may start again under a clock that went back.
_PEER_LIFETIME_SECONDS: Final = 60.0
# The queue of an engine drains within a few tenths of a second. Loads of peers
# that are older than that are useless for the placement of requests.
_MIN_INTERVAL_SECONDS: Final = 0.1
# Keeps the datagrams that a router receives below 200 per second. Each takes
# 0.13 ms with 33 routers, and heartbeats may take 2.8 % of a core.
_INTERVAL_PER_PEER_SECONDS: Final = 0.005
# Three intervals, that is two lost heartbeats, and the lag of both routers have
# to be shorter than the time after which a peer counts as lost and its reports
# expire.
_MAX_ELSEWHERE_INTERVAL_SECONDS: Final = 0.6
_MAX_ELSEWHERE_PERIOD: Final = 3
# A pause of 40 ms let requests crash a target that peers knew to be suspected.
_RECEIVE_PAUSE_SECONDS: Final = 0.01
_FEW_PEERS_COUNT: Final = 20
# New evidence of crashes is sent at once, but not much more often than this,
# and the first report of it may be lost.
_MIN_EVIDENCE_INTERVAL_SECONDS: Final = 0.2
_EVIDENCE_REPORTS_PER_INTERVAL: Final = 4
_URGENT_REPORTS_COUNT: Final = 4


@dataclass(frozen=True, slots=True)
class WindowTotals:
    """Local counts of a router within its sliding windows.

    :param usages: tokens requested and placed, by organisation.
    :param plain_usages: the same for plain services that reject requests.
    :param admissions: requests admitted and rejected, by service and route.
    :param known_addresses: heartbeat addresses of live peers.
    :param crash_evidence: what the router knows of crashes of targets, None
        if that is nothing.
    :param target_limits: limits that targets named in recent answers.
    :param target_speeds: new figures on the speed of targets.
    """

    usages: Mapping[OrganisationId, Usage] = field(default_factory=dict)
    admissions: Mapping[ServiceId, Mapping[str, AdmissionCounts]] = field(
        default_factory=dict
    )
    known_addresses: tuple[str, ...] = ()
    plain_usages: Mapping[ServiceId, Mapping[OrganisationId, Usage]] = field(
        default_factory=dict
    )
    crash_evidence: CrashEvidence | None = None
    target_limits: tuple[LimitReport, ...] = ()
    target_speeds: tuple[SpeedReport, ...] = ()


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that a router sends to its peers several times a second.

    :param incarnation: start time in ms; heartbeats of a restarted router
        supersede those of its previous incarnation.
    :param sequence: orders the heartbeats of one incarnation.
    :param is_ready: whether callers should connect to the router.
    :param is_accepting: whether connections are accepted, which continues for
        a while after the router has started to shut down.
    :param snapshot_versions: version of each document that the router has,
        for builds that know no points.
    :param snapshot_points: point of each document in its history.
    :param loads: local load of each target.
    :param totals: omitted from most heartbeats, because they change slowly.
    :param is_source_seen: whether the sources of the documents answered the
        router recently.
    :param requests_per_second: arrival rate of requests at the router.
    :param sent_prompts: prompts sent since the last heartbeat.
    :param refused: fingerprints of the requests rejected since the last
        heartbeat, with the seconds since each was first sent.
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
    snapshot_versions: Mapping[str, Count]
    loads: Mapping[TargetId, TargetLoad]
    totals: WindowTotals | None = None
    is_source_seen: bool = False
    requests_per_second: Rate = 0
    sent_prompts: tuple[SentPrompt, ...] = ()
    refused: tuple[tuple[str, Age], ...] = ()
    snapshot_points: Mapping[str, DocumentPoint] = field(default_factory=dict)

    @property
    def documents(self) -> Mapping[str, DocumentPoint]:
        """Return the point of each document, as far as its build tells."""
        return self.snapshot_points or {
            name: DocumentPoint(version=version)
            for name, version in self.snapshot_versions.items()
        }

    def without_reports(self) -> 'Heartbeat':
        """Return the identity and state of the router only."""
        return Heartbeat(loads={}, **dict(zip(_STATE_FIELDS, _state_of(self))))


_REPORT_FIELDS: Final = frozenset(
    ('loads', 'totals', 'sent_prompts', 'refused')
)
_STATE_FIELDS: Final = tuple(
    one.name for one in fields(Heartbeat) if one.name not in _REPORT_FIELDS
)
_state_of: Final = attrgetter(*_STATE_FIELDS)


@dataclass(slots=True)
class Peer:
    """The latest heartbeat of a peer and the time of its arrival.

    Its reports of loads and requests have been applied and are not kept.
    """

    heartbeat: Heartbeat
    received_seconds: float


class PeerDirectory:
    """Known peers, and the addresses that heartbeats are sent to.

    :param router: this router, whose own heartbeats are ignored.
    :param heartbeat_address: the address of this router.
    """

    def __init__(self, router: RouterId, heartbeat_address: str) -> None:
        """Create a directory without peers."""
        self._router = router
        self._own_address = heartbeat_address
        self._peers: dict[RouterId, Peer] = {}
        self._addresses: dict[str, float] = {}
        self._max_live_count = 1
        self._max_live_seconds = -math.inf
        # Live peers in the order of their latest heartbeats.
        self._heard_seconds: dict[RouterId, float] = {}

    def max_live_count(self, now_seconds: float) -> int:
        """Return the largest number of live routers in the last minute.

        This router is counted, too.
        """
        if now_seconds - self._max_live_seconds > _PEER_LIFETIME_SECONDS:
            self._max_live_count = len(self.live(now_seconds)) + 1
            self._max_live_seconds = now_seconds
        return self._max_live_count

    def add_addresses(
        self, addresses: Iterable[str], now_seconds: float
    ) -> None:
        """Add heartbeat addresses of possible peers."""
        for address in addresses:
            if address != self._own_address:
                self._addresses[address] = now_seconds

    def on_heartbeat(self, heartbeat: Heartbeat, now_seconds: float) -> bool:
        """Process a heartbeat of a peer.

        :returns: False for an outdated heartbeat or one of this router.
        """
        if heartbeat.router == self._router:
            return False
        if self._is_outdated(heartbeat, now_seconds):
            return False
        self._peers[heartbeat.router] = Peer(
            heartbeat.without_reports(), now_seconds
        )
        self._addresses[heartbeat.heartbeat_address] = now_seconds
        if heartbeat.totals is not None:
            for address in heartbeat.totals.known_addresses:
                if address != self._own_address:
                    self._addresses.setdefault(address, now_seconds)
        self._count_live(heartbeat.router, now_seconds)
        return True

    def live(self, now_seconds: float) -> list[Heartbeat]:
        """Return the latest heartbeat of each live peer."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if now_seconds - peer.received_seconds <= _LIVE_TIMEOUT_SECONDS
        ]

    def source_seen_seconds(self) -> float:
        """Return when a peer last said that the sources answer it."""
        return max(
            (
                peer.received_seconds
                for peer in self._peers.values()
                if peer.heartbeat.is_source_seen
            ),
            default=-math.inf,
        )

    def advertised(
        self, now_seconds: float, *, is_source_reached: bool = False
    ) -> list[Heartbeat]:
        """Return the peers whose addresses are given to callers.

        A router that reaches neither peers nor source is more likely
        partitioned than the only live router. It continues to return the
        peers that were live last: with its own address alone, it would
        attract all callers that request addresses from it. One that reaches
        the source soon stops to do so, as its peers may have ended.

        :param is_source_reached: whether the source of the documents answered
            this router itself recently.
        """
        live = self.live(now_seconds)
        if live:
            return live
        timeout_seconds = (
            _SOURCE_REACHED_TIMEOUT_SECONDS
            if is_source_reached
            else _ISOLATION_TIMEOUT_SECONDS
        )
        return self.heard_since(now_seconds - timeout_seconds)

    def sharing(self, now_seconds: float) -> list[Heartbeat]:
        """Return the peers that share what the fleet may use.

        If half of the routers or more are not live, this router may be on the
        smaller side of a network partition. Those that were live last are
        returned then, as they probably still use their share.
        """
        if self.is_isolated(now_seconds):
            return self.heard_since(now_seconds - _ISOLATION_TIMEOUT_SECONDS)
        return self.live(now_seconds)

    def is_isolated(self, now_seconds: float) -> bool:
        """Return whether half of the routers or more are silent.

        They may be lost, or this router is cut off from them. Those that have
        been silent for too long are not counted.
        """
        live_count = len(self.live(now_seconds))
        recent = self.heard_since(now_seconds - _ISOLATION_TIMEOUT_SECONDS)
        return is_minority(live_count, len(recent))

    def failure_domains(self) -> Mapping[str, FailureDomain]:
        """Return the failure domain of each heartbeat address heard so far."""
        return {
            peer.heartbeat.heartbeat_address: peer.heartbeat.failure_domain
            for peer in self._peers.values()
        }

    def addresses(self, now_seconds: float) -> list[str]:
        """Return the addresses that heartbeats are sent to."""
        self._forget(now_seconds)
        oldest_seconds = now_seconds - _ADDRESS_LIFETIME_SECONDS
        self._addresses = {
            address: seen_seconds
            for address, seen_seconds in self._addresses.items()
            if seen_seconds >= oldest_seconds
        }
        return list(self._addresses)

    def heard_since(self, oldest_seconds: float) -> list[Heartbeat]:
        """Return the latest heartbeat of each peer that sent one since."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.received_seconds >= oldest_seconds
        ]

    def _is_outdated(self, heartbeat: Heartbeat, now_seconds: float) -> bool:
        known = self._peers.get(heartbeat.router)
        if known is None:
            return False
        age_seconds = now_seconds - known.received_seconds
        if age_seconds > _PEER_LIFETIME_SECONDS:
            return False
        return not _is_newer(heartbeat, known.heartbeat)

    def _forget(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - _PEER_LIFETIME_SECONDS
        self._peers = {
            router: peer
            for router, peer in self._peers.items()
            if peer.received_seconds >= oldest_seconds
        }

    def _count_live(self, router: RouterId, now_seconds: float) -> None:
        """Update the largest number of live routers."""
        heard = self._heard_seconds
        heard.pop(router, None)
        heard[router] = now_seconds
        oldest_seconds = now_seconds - _LIVE_TIMEOUT_SECONDS
        while heard:
            first = next(iter(heard))
            if heard[first] >= oldest_seconds:
                break
            heard.pop(first)
        if len(heard) + 1 >= self._max_live_count:
            self._max_live_count = len(heard) + 1
            self._max_live_seconds = now_seconds


@dataclass(frozen=True, slots=True)
class HeartbeatPlan:
    """How often heartbeats are sent.

    :param interval_seconds: between two heartbeats to peers in the failure
        domain of the router.
    :param elsewhere_period: number of heartbeats of which one goes to the peers
        in other failure domains, too.
    """

    interval_seconds: float
    elsewhere_period: int = 1

    def sent_per_second(self, near_count: int, elsewhere_count: int) -> float:
        """Return the number of datagrams to so many peers."""
        return (
            near_count + elsewhere_count / self.elsewhere_period
        ) / self.interval_seconds


class ReportBudget:
    """Limits the reports that are sent beside the regular heartbeats.

    A few in a row are possible, so that a report that matters is not late.
    """

    def __init__(self) -> None:
        """Start with all of them left."""
        self._left_count = float(_URGENT_REPORTS_COUNT)
        self._updated_seconds = 0.0

    def try_spend(self, now_seconds: float, peers_count: int) -> bool:
        """Take one report; return whether one was left."""
        elapsed_seconds = now_seconds - self._updated_seconds
        self._updated_seconds = now_seconds
        self._left_count = min(
            _URGENT_REPORTS_COUNT,
            self._left_count
            + elapsed_seconds / evidence_interval_seconds(peers_count),
        )
        if self._left_count < 1:
            return False
        self._left_count -= 1
        return True


def is_minority(live_count: int, recent_count: int) -> bool:
    """Return whether a router hears too few peers to know the fleet.

    :param live_count: peers that are heard.
    :param recent_count: peers that were heard recently.
    """
    return 2 * (live_count + 1) <= recent_count + 1


def heartbeat_interval_seconds(peers_count: int) -> float:
    """Return the interval between two heartbeats."""
    return max(_MIN_INTERVAL_SECONDS, _INTERVAL_PER_PEER_SECONDS * peers_count)


def heartbeat_plan(near_count: int, elsewhere_count: int) -> HeartbeatPlan:
    """Return how often to send heartbeats to peers in each failure domain.

    It answers the cost of a full mesh of dozens of routers, most of whose
    datagrams go to other failure domains. Of the plans in which two heartbeats
    in a row may be lost, the one with the fewest datagrams is used. In fleets
    so large that none saves any, all peers get all heartbeats.

    :param near_count: live peers in the failure domain of this router.
    :param elsewhere_count: live peers in other failure domains.
    """
    peers_count = near_count + elsewhere_count
    plan = HeartbeatPlan(heartbeat_interval_seconds(peers_count))
    if peers_count < _FEW_PEERS_COUNT or not elsewhere_count:
        return plan
    plans = [plan]
    for period in range(2, _MAX_ELSEWHERE_PERIOD + 1):
        longest_seconds = _MAX_ELSEWHERE_INTERVAL_SECONDS / period
        interval_seconds = min(plan.interval_seconds, longest_seconds)
        plans.append(HeartbeatPlan(interval_seconds, period))
    return min(
        plans, key=lambda one: one.sent_per_second(near_count, elsewhere_count)
    )


def longest_interval_seconds(peers_count: int) -> float:
    """Return the longest interval between two heartbeats of a peer.

    A peer in another failure domain may send fewer of them than this router.
    """
    interval_seconds = heartbeat_interval_seconds(peers_count)
    if peers_count < _FEW_PEERS_COUNT:
        return interval_seconds
    elsewhere_seconds = min(
        _MAX_ELSEWHERE_INTERVAL_SECONDS,
        _MAX_ELSEWHERE_PERIOD * interval_seconds,
    )
    return max(interval_seconds, elsewhere_seconds)


def receive_pause_seconds(peers_count: int) -> float:
    """Return the time between two rounds of reading heartbeats.

    Few peers send hardly two datagrams within such a pause.
    """
    return _RECEIVE_PAUSE_SECONDS if peers_count >= _FEW_PEERS_COUNT else 0


def evidence_interval_seconds(peers_count: int) -> float:
    """Return the time in which evidence of a crash reaches the peers."""
    return max(
        _MIN_EVIDENCE_INTERVAL_SECONDS,
        heartbeat_interval_seconds(peers_count)
        / _EVIDENCE_REPORTS_PER_INTERVAL,
    )


def _is_newer(heartbeat: Heartbeat, known: Heartbeat) -> bool:
    return (heartbeat.incarnation, heartbeat.sequence) > (
        known.incarnation,
        known.sequence,
    )
