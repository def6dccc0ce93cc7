"""What the gateway knows of a request before it is read."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from dotterelhatch.core.arrivals import flooded_routers, routers_with_room
from dotterelhatch.core.intake import Flow
from dotterelhatch.core.peers import Heartbeat, longest_interval_seconds
from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.request_records import time_limit_seconds
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import WireFormat
from dotterelhatch.ids import OrganisationId, RequestId, RouterId
from dotterelhatch.net.httptypes import RequestHead, Response

__all__ = ('GatewayIntake',)

_CHOICE_LIFETIME_SECONDS: Final = 0.1
# Of its fair share, an organisation above this has its requests rejected by all
# routers. The only one that wants more than it gets has just its share.
_MAX_PASSED_SHARE: Final = 1.2
# A peer that is silent for this many intervals may be frozen or cut off.
_MAX_SILENT_INTERVALS: Final = 3


@dataclass(frozen=True, slots=True)
class _PeerChoice:
    """Peers that can serve requests of this router, for a short time.

    :param hosts: of all live peers.
    :param addresses: of the peers that have room.
    """

    seconds: float = -math.inf
    hosts: frozenset[str] = frozenset()
    addresses: tuple[str, ...] = ()


class GatewayIntake:
    """Identifies the organisation of a request by its first bytes.

    The processor of a router is shared by organisation from the first byte on.
    Until it is known, the requests of all organisations compete as those of a
    single one, which a flood then has nearly to itself.

    The share of an organisation is that of the fleet, so a router that gets far
    more requests than its peers has them serve what it can't.

    :param state: of this gateway.
    :param wire: finds the API key.
    :param is_current: returns whether a peer has the routing table of this
        router or a newer one.
    """

    def __init__(
        self,
        state: GatewayState,
        wire: WireFormat,
        is_current: Callable[[Heartbeat], bool],
    ) -> None:
        """Start without requests."""
        self._state = state
        self._wire = wire
        self._is_current = is_current
        self._peer_choice = _PeerChoice()
        self._demands: dict[OrganisationId, Callable[[], None]] = {}

    def identify(self, received: bytes) -> Flow:
        """Return the organisation of a request, None if it is not known."""
        table = self._state.table
        if table is None:
            return None
        api_key = self._wire.find_api_key(received)
        return None if api_key is None else table.find_organisation(api_key)

    def on_read(
        self, organisation: OrganisationId, demand: Callable[[], None]
    ) -> None:
        """Remember the last request of an organisation that was read.

        :param demand: counts a request like it as rejected.
        """
        self._demands[organisation] = demand

    def on_rejected(self, flow: Flow) -> None:
        """Count a request that is rejected unread.

        It probably resembles the last one of its organisation.
        """
        demand = None if flow is None else self._demands.get(flow)
        if demand is not None:
            demand()

    def choose_peer(self, flow: Flow, source: str) -> str | None:
        """Return the caller address of a peer that has room for a request.

        Requests of an organisation well above its share stay here: a peer
        would reject most of them.

        :param source: host of the caller. What a peer has passed on is served
            here.
        """
        now_seconds = self._state.clock()
        if flow is None or self._exceeds_share(flow, now_seconds):
            return None
        if now_seconds - self._peer_choice.seconds > _CHOICE_LIFETIME_SECONDS:
            self._peer_choice = self._choose_peers(now_seconds)
        choice = self._peer_choice
        if not choice.addresses or source in choice.hosts:
            return None
        self._state.arrivals.record(now_seconds)
        return self._state.rng.choice(choice.addresses)

    def time_limit_seconds(self, head: RequestHead) -> float | None:
        """Return how long a request may take, as if it were served here.

        :returns: None if its route is not known, or its head is malformed.
        """
        table = self._state.table
        if table is None:
            return None
        try:
            metadata = self._wire.decode_request(head)
        except DotterelhatchError:
            return None
        route = table.find_route(metadata.host, metadata.path)
        return None if route is None else time_limit_seconds(route, metadata)

    def on_pass_failed(
        self, head: RequestHead, error: DotterelhatchError
    ) -> Response:
        """Log and count a request that was passed on in vain.

        :returns: the response for its caller.
        """
        request_id = head.header(self._wire.request_id_header)
        reason = error.kind.value
        log_decision(
            Decision.FAILED,
            request_id=request_id,
            reason=reason,
            detail=error.detail,
            executed=error.executed.value,
            status=error.spec.status,
        )
        metrics = self._state.metrics
        metrics.requests.labels(Decision.FAILED.value, reason).inc()
        return self._wire.render_error(
            error, None if request_id is None else RequestId(request_id)
        )

    def on_passed(self, address: str, sent_bytes: int) -> None:
        """Count what was sent to a peer with a request that was passed on."""
        peers = self._state.peers.live(self._state.clock())
        domain = next(
            (
                peer.failure_domain
                for peer in peers
                if peer.caller_address == address
            ),
            None,
        )
        self._state.count_sent_bytes('passed_request', domain, sent_bytes)

    def _exceeds_share(
        self, organisation: OrganisationId, now_seconds: float
    ) -> bool:
        shares = self._state.fair_shares
        ratio = shares.fair_share_ratio(organisation, now_seconds)
        return ratio > _MAX_PASSED_SHARE

    def _choose_peers(self, now_seconds: float) -> _PeerChoice:
        state = self._state
        live = state.peers.live(now_seconds)
        rates = state.request_rates(now_seconds)
        suitable: list[Heartbeat] = []
        if state.settings.router_id in flooded_routers(rates):
            suitable = self._suitable_peers(
                routers_with_room(rates), now_seconds
            )
        near = [
            peer
            for peer in suitable
            if peer.failure_domain == state.settings.failure_domain
        ]
        return _PeerChoice(
            now_seconds,
            frozenset(_host(peer) for peer in live),
            tuple(peer.caller_address for peer in near or suitable),
        )

    def _suitable_peers(
        self, with_room: frozenset[RouterId], now_seconds: float
    ) -> list[Heartbeat]:
        """Return the peers with room that know what this router knows."""
        peers = self._state.peers
        interval_seconds = longest_interval_seconds(
            len(peers.live(now_seconds))
        )
        oldest_seconds = now_seconds - _MAX_SILENT_INTERVALS * interval_seconds
        is_source_seen = self._state.has_source_responded(now_seconds)
        return [
            peer
            for peer in peers.heard_since(oldest_seconds)
            if peer.is_ready
            and peer.is_source_seen >= is_source_seen
            and peer.router in with_room
            and self._is_current(peer)
        ]


def _host(peer: Heartbeat) -> str:
    return peer.caller_address.partition(':')[0]
