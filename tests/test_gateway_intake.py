"""What a gateway knows of requests that it has not read."""

import random
from collections.abc import Mapping
from typing import Any

import pytest

from dotterelhatch.core.fairshare import Usage
from dotterelhatch.core.peers import Heartbeat, WindowTotals
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.gateway.intake import GatewayIntake
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.ids import (
    FailureDomain,
    Incarnation,
    OrganisationId,
    RouterId,
)
from dotterelhatch.net.httptypes import RequestHead
from dotterelhatch.platform.wire import PlatformWireFormat
from standins.server import ServerStandIn
from tests.gateway_helpers import (
    DOMAIN,
    HOST,
    KEY,
    MODEL,
    gateway_settings,
    open_gateway,
    run_async,
)

ORGANISATION = OrganisationId('usta-kazim')
HEAD = b'POST /draft/1 HTTP/1.1\r\nHost: h\r\n'


@pytest.mark.parametrize(
    ('received', 'api_key'),
    [
        (HEAD + b'Authorization: Bearer k\r\n\r\n', 'k'),
        (HEAD + b'AUTHORIZATION:bearer\tk \r\nA: b\r\n\r\nbody', 'k'),
        (HEAD + b'X-Authorization: Bearer k\r\n\r\n', None),
        (HEAD + b'Authorization: Basic k\r\n\r\n', None),
        (HEAD + b'\r\n\r\nAuthorization: Bearer k\r\n\r\n', None),
        (HEAD + b'Authorization: Bearer k\r\n', None),
        (b'', None),
    ],
)
def test_the_first_bytes_have_the_api_key(
    received: bytes, api_key: str | None
) -> None:
    """Guards against a key that is taken from elsewhere than the head."""
    assert PlatformWireFormat().find_api_key(received) == api_key


@run_async
async def test_requests_rejected_unread_are_demand() -> None:
    """Guards against fair shares that omit what a flooded router rejects.

    An organisation that opens a connection for each request would seem to
    have all that it asked for. It is no overload: engines may have room.
    """
    async with open_gateway((MODEL, ServerStandIn('m-1'))) as fixture:
        state = fixture.gateway.state
        intake = fixture.gateway._handler.intake
        received = HEAD + b'Authorization: Bearer %s\r\n\r\n' % KEY.encode()
        flow = intake.identify(received)
        assert flow == ORGANISATION
        await fixture.stream('/draft/1')
        asked_tokens = state.fair_shares.total_usage(flow).asked_tokens
        for _ in range(3):
            intake.on_rejected(flow)
        intake.on_rejected(None)
        usage = state.fair_shares.total_usage(flow)
        assert usage.asked_tokens == 4 * asked_tokens > 0
        window = state.admission_window(MODEL)
        assert not window.rejection_rate(state.clock())


@run_async
async def test_a_request_that_is_passed_on_has_no_time_limit() -> None:
    """Guards against a peer that is waited for longer than a target."""
    async with open_gateway((MODEL, ServerStandIn('m-1'))) as fixture:
        intake = fixture.gateway._handler.intake
        head = request_head('/short/1', '4000')
        assert intake.time_limit_seconds(head) == 0.2
        assert intake.time_limit_seconds(request_head('/lookup/1')) == 0.1
        assert intake.time_limit_seconds(request_head('/unknown/')) is None
        malformed = request_head('/short/1', 'soon')
        assert intake.time_limit_seconds(malformed) is None
        error = DotterelhatchError(ErrorKind.DEADLINE_EXCEEDED, 'silent')
        response = intake.on_pass_failed(head, error)
        assert response.status == 504
        assert ('Dotterelhatch-Request-Id', 'r1') in response.headers


def request_head(path: str, deadline_ms: str = '100') -> RequestHead:
    """Return the head of a request."""
    headers = (
        ('Host', HOST),
        ('Dotterelhatch-Request-Id', 'r1'),
        ('Dotterelhatch-Deadline-Ms', deadline_ms),
    )
    return RequestHead('POST', path, headers)


CALLER = '10.9.9.9'
NOW_SECONDS = 100.0
OUTDATED = RouterId('outdated')
SILENT = RouterId('silent')


def heartbeat(name: str, **changes: Any) -> Heartbeat:
    """Return the heartbeat of a peer with room, which is far away."""
    fields: dict[str, Any] = {
        'router': RouterId(name),
        'incarnation': Incarnation(1),
        'sequence': 1,
        'failure_domain': FailureDomain('far'),
        'caller_address': f'{name}:8783',
        'control_address': f'{name}:8785',
        'heartbeat_address': f'{name}:8786',
        'is_ready': True,
        'is_accepting': True,
        'is_source_seen': True,
        'snapshot_versions': {},
        'loads': {},
        'requests_per_second': 10.0,
    }
    return Heartbeat(**(fields | changes))


FAR_PEERS = (heartbeat('far-1'), heartbeat('far-2'))


def flooded_intake(
    *peers: Heartbeat, usages: Mapping[OrganisationId, Usage] | None = None
) -> GatewayIntake:
    """Return the intake of a router that gets most of the requests."""
    state = GatewayState(
        gateway_settings('router-1'), random.Random(1), lambda: NOW_SECONDS
    )
    state.arrivals.record(NOW_SECONDS, 500)
    state.source_response_seconds = {'op': NOW_SECONDS}
    state.on_totals(RouterId('far-1'), WindowTotals(usages=usages or {}))
    for peer in peers:
        age_seconds = 1.0 if peer.router == SILENT else 0.1
        state.peers.on_heartbeat(peer, NOW_SECONDS - age_seconds)
    return GatewayIntake(
        state, PlatformWireFormat(), lambda peer: peer.router != OUTDATED
    )


def chosen(intake: GatewayIntake, source: str = CALLER) -> set[str | None]:
    """Return what is chosen in many attempts."""
    return {intake.choose_peer(ORGANISATION, source) for _ in range(50)}


def test_requests_are_passed_to_peers_that_have_room() -> None:
    """Guards against callers that a peer rejects or misroutes."""
    intake = flooded_intake(
        heartbeat('far-1'),
        heartbeat('far-2'),
        heartbeat('leaving', is_ready=False),
        heartbeat('isolated', is_source_seen=False),
        heartbeat('busy', requests_per_second=300.0),
        heartbeat(OUTDATED),
        heartbeat(SILENT),
    )
    assert chosen(intake) == {'far-1:8783', 'far-2:8783'}


def test_peers_serve_while_no_router_sees_the_source() -> None:
    """Guards against a flooded router on its own during an outage."""
    peers = [heartbeat(f'far-{n}', is_source_seen=False) for n in (1, 2)]
    intake = flooded_intake(*peers)
    intake._state.source_response_seconds.clear()
    assert chosen(intake) == {'far-1:8783', 'far-2:8783'}


def test_requests_are_passed_to_peers_in_the_same_failure_domain() -> None:
    """Guards against traffic between failure domains without a need."""
    near = heartbeat('near', failure_domain=DOMAIN)
    assert chosen(flooded_intake(heartbeat('far'), near)) == {'near:8783'}


def test_a_request_is_passed_on_only_once() -> None:
    """Guards against requests that go round between busy routers."""
    intake = flooded_intake(*FAR_PEERS)
    assert chosen(intake) == {'far-1:8783', 'far-2:8783'}
    assert chosen(intake, source='far-2') == {None}


def test_requests_of_unknown_organisations_stay() -> None:
    """Guards against requests without a key that use up the peers."""
    assert flooded_intake(*FAR_PEERS).choose_peer(None, CALLER) is None


def test_a_router_that_is_no_busier_than_others_passes_nothing_on() -> None:
    """Guards against routers that all pass on while all are overloaded."""
    busy = [heartbeat(f'far-{n}', requests_per_second=600.0) for n in (1, 2)]
    assert chosen(flooded_intake(*busy)) == {None}


@pytest.mark.parametrize(
    ('used_tokens', 'others_asked_tokens', 'is_passed'),
    [
        pytest.param(10, 1000, True, id='below'),
        pytest.param(90, 1000, False, id='above'),
        pytest.param(90, 10, True, id='the only one that wants more'),
    ],
)
def test_requests_above_the_share_stay(
    used_tokens: int, others_asked_tokens: int, is_passed: bool
) -> None:
    """Guards against work at the peers that ends in a rejection.

    What one organisation gets is its share while the others want no more.
    """
    intake = flooded_intake(
        *FAR_PEERS,
        usages={
            ORGANISATION: Usage(1000, used_tokens),
            OrganisationId('other'): Usage(
                others_asked_tokens, 100 - used_tokens
            ),
        },
    )
    assert (chosen(intake) != {None}) is is_passed
