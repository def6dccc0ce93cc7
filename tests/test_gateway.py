"""Requests through a gateway to stand-in servers on loopback."""

import contextlib
import logging
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import curio
import pytest

from dotterelhatch.core.registry import TargetState
from dotterelhatch.core.targethealth import AttemptOutcome
from dotterelhatch.gateway.lag import LoopLag
from dotterelhatch.ids import OrganisationId, TargetId
from dotterelhatch.net.http import ResponseLostError
from dotterelhatch.net.stream import SocketStream
from standins.server import ServerBehaviour, ServerStandIn
from tests.gateway_helpers import (
    HOST,
    KEY,
    MODEL,
    PLAIN,
    GatewayFixture,
    open_fleet,
    open_gateway,
    routing_table,
    run_async,
)

EVENTS = b''.join(
    b'id: %d\ndata: token %d\n\n' % (event_id, event_id)
    for event_id in range(1, 5)
)


@run_async
async def test_the_response_arrives_unchanged_with_its_stamp() -> None:
    """Guards against changed bodies and lost headers of the server.

    The stamp header tells callers which server has made the response.
    """
    async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
        response = await fixture.call('/lookup/7?x=1')
    assert response.status == 200
    assert response.body == b'answer of i-1'
    assert response.header('Dotterelhatch-Response-Stamp') == 'stamp-i-1'


@run_async
async def test_the_router_sets_its_own_headers() -> None:
    """Guards against forwarded API keys and against forged router headers.

    A caller could otherwise claim to be another organisation.
    """
    server = ServerStandIn('i-1')
    async with open_gateway((PLAIN, server)) as fixture:
        await fixture.call(
            '/lookup/7',
            Dotterelhatch_Tenant='someone-else',
            Dotterelhatch_Hold='h',
            Dotterelhatch_Pin_Ms='9',
            Dotterelhatch_Kv_Backup='1.2.3.4:5',
            Kv_From='1.2.3.4:5/x',
        )
    seen = server.received_headers[0]
    assert seen['dotterelhatch-tenant'] == 'usta-kazim'
    assert seen['dotterelhatch-expect-instance'] == 'i-1'
    assert 0 < int(seen['dotterelhatch-deadline-ms']) <= 4000
    assert not seen.keys() & {
        'authorization',
        'dotterelhatch-hold',
        'dotterelhatch-pin-ms',
        'dotterelhatch-kv-backup',
        'kv-from',
    }


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/nowhere/', KEY, 404),
        ('/lookup', KEY, 404),
        ('/lookup/1', 'unknown', 401),
        ('/public/1', 'unknown', 200),
    ],
)
def test_unknown_routes_and_keys_are_rejected(
    path: str, key: str, status: int
) -> None:
    """Guards against running requests without a route or a valid API key.

    A route needs a key unless it is public.
    """

    @run_async
    async def check() -> None:
        async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
            response = await fixture.call(path, Authorization=f'Bearer {key}')
            assert response.status == status
            assert len(fixture.runs) == (1 if status == 200 else 0)

    check()


@run_async
async def test_a_possibly_outdated_table_causes_503_instead_of_404() -> None:
    """Guards against 404 for a route that a newer table may contain.

    The router has not reached the source of the table for 60 s.
    """
    async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
        fixture.gateway.state.source_response_seconds['op'] -= 60
        response = await fixture.call('/nowhere/')
    assert response.status == 503


@run_async
async def test_a_shed_request_goes_to_another_server() -> None:
    """Guards against rejections while another server has capacity.

    One of three servers sheds every request that it receives.
    """
    servers = [ServerStandIn(f'i-{number}') for number in range(3)]
    servers[0].behaviour = ServerBehaviour.SHED
    async with open_gateway(
        *((PLAIN, server) for server in servers)
    ) as fixture:
        for number in range(12):
            response = await fixture.call('/booking/1', f'r{number}')
            assert response.status == 200
        assert sorted(fixture.runs) == sorted(
            f'r{index}' for index in range(12)
        )


@run_async
async def test_a_request_shed_by_all_servers_gets_a_retry_after() -> None:
    """Guards against rejections that don't tell the caller when to retry.

    The only server sheds every request.
    """
    server = ServerStandIn('i-1', ServerBehaviour.SHED)
    async with open_gateway((PLAIN, server)) as fixture:
        response = await fixture.call('/booking/1')
    assert response.status in {429, 503}
    assert float(response.header('Retry-After') or 0) > 0
    assert not server.executed_ids


@pytest.mark.parametrize('behaviour', [ServerBehaviour.BREAK_BEFORE_ANSWER])
def test_a_request_that_may_have_run_is_not_sent_again(
    behaviour: ServerBehaviour,
) -> None:
    """Guards against a booking that runs twice or is reported as not run.

    The servers close the connection before they respond.
    """

    @run_async
    async def check() -> None:
        servers = [ServerStandIn(f'i-{index}', behaviour) for index in range(3)]
        async with open_gateway(
            *((PLAIN, server) for server in servers)
        ) as fixture:
            response = await fixture.call('/booking/1')
            assert response.status == 502
            assert fixture.runs == ['r1']

    check()


@pytest.mark.parametrize(
    'behaviour', [ServerBehaviour.BREAK_BEFORE_ANSWER, ServerBehaviour.FAIL]
)
def test_an_idempotent_request_is_retried_once(
    behaviour: ServerBehaviour,
) -> None:
    """Guards against an idempotent request without retries or with too many.

    All servers fail, by closing the connection or with status 500, and the
    route allows two attempts.
    """

    @run_async
    async def check() -> None:
        servers = [ServerStandIn(f'i-{index}', behaviour) for index in range(3)]
        async with open_gateway(
            *((PLAIN, server) for server in servers)
        ) as fixture:
            response = await fixture.call('/lookup/1')
            assert response.status in {500, 502}
            assert fixture.runs == ['r1', 'r1']

    check()


@run_async
async def test_the_error_of_the_only_server_is_passed_on() -> None:
    """Guards against discarding a response for a retry that has no target.

    The server fails with status 500 and the route would allow a retry.
    """
    server = ServerStandIn('i-1', ServerBehaviour.FAIL)
    async with open_gateway((PLAIN, server)) as fixture:
        response = await fixture.call('/lookup/1')
    assert (response.status, response.body) == (500, b'failed')
    assert response.header('Dotterelhatch-Response-Stamp') == 'stamp-i-1'


@run_async
async def test_a_server_that_let_a_request_time_out_is_avoided() -> None:
    """Guards against further requests to a server that never responds.

    Each of its requests ends by the timeout of the route, without an error of
    the connection.
    """
    table = routing_table()
    slow = tuple(replace(route, timeout_seconds=1.1) for route in table.routes)
    server = ServerStandIn('i-0', ServerBehaviour.SILENT)
    async with open_gateway(
        (PLAIN, server), table=replace(table, routes=slow)
    ) as fixture:
        response = await fixture.call('/booking/1')
        assert response.status == 504
        state = fixture.gateway.state
        assert not state.health.is_usable(TargetId('i-0'), state.clock())


@run_async
async def test_an_unreachable_server_costs_no_retry() -> None:
    """Guards against failures while a dead server is still listed.

    A request that was not sent may go to another server, idempotent or not.
    """
    async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
        entries = list(fixture.gateway.state.registry.ready(PLAIN))
        dead = type(entries[0])(
            id=TargetId('i-0'),
            service=PLAIN,
            address='127.0.0.1:1',
            failure_domain=entries[0].failure_domain,
            state=TargetState.READY,
            slots_count=6,
        )
        fixture.gateway.state.apply_targets([*entries, dead], None)
        for number in range(6):
            response = await fixture.call('/booking/1', f'r{number}')
            assert response.status == 200


@run_async
async def test_another_instance_at_the_address_is_not_used_again() -> None:
    """Guards against requests to an address that another server has taken over.

    The new server may belong to another service, so it rejects the requests.
    """
    servers = [
        ServerStandIn('i-0', ServerBehaviour.OTHER_INSTANCE),
        ServerStandIn('i-1'),
    ]
    async with open_gateway(
        *((PLAIN, server) for server in servers)
    ) as fixture:
        for number in range(8):
            response = await fixture.call('/booking/1', f'r{number}')
            assert response.status == 200
    assert len(servers[0].received_headers) <= 1


@run_async
async def test_a_stream_arrives_event_by_event() -> None:
    """Guards against lost, repeated or reordered events.

    The relay forwards chunks, whose bounds need not be those of events.
    """
    async with open_gateway((MODEL, ServerStandIn('i-1'))) as fixture:
        response = await fixture.stream('/draft/1')
    assert response.body == EVENTS
    assert response.header('Dotterelhatch-Response-Stamp') == 'stamp-i-1'


@run_async
async def test_a_resumable_stream_continues_at_another_server() -> None:
    """Guards against missing and duplicate events after a server fails.

    The first server closes the connection in the middle of the stream.
    """
    servers = [
        ServerStandIn('i-0', ServerBehaviour.BREAK_AFTER_EVENTS),
        ServerStandIn('i-1', ServerBehaviour.BREAK_AFTER_EVENTS),
    ]
    async with open_gateway(
        *((MODEL, server) for server in servers)
    ) as fixture:
        # The first server breaks off; the second is marked as unresponsive,
        # so that it is chosen only for the second attempt.
        servers[0].events_count = 8
        servers[1].events_count = 4
        fixture.gateway.state.health.on_timeout(
            TargetId('i-1'), fixture.gateway.state.clock()
        )
        servers[1].behaviour = ServerBehaviour.SERVE
        servers[0].events_count = 4
        response = await fixture.stream('/advice/1')
    assert response.body == EVENTS
    assert servers[1].received_headers[0]['last-event-id'] == '2'


@run_async
async def test_a_stream_that_is_not_resumable_ends_with_an_error() -> None:
    """Guards against a truncated stream that looks complete to its caller.

    The server closes the connection in the middle of the stream.
    """
    server = ServerStandIn('i-0', ServerBehaviour.BREAK_AFTER_EVENTS)
    async with open_gateway((MODEL, server)) as fixture:
        with pytest.raises(ResponseLostError):
            await fixture.stream('/draft/1')
    assert server.executed_ids == ['r1']


@run_async
async def test_the_timeout_of_the_route_ends_a_request() -> None:
    """Guards against requests that wait beyond the timeout of their route.

    The server never responds. The request must be cancelled at the server as
    well.
    """
    server = ServerStandIn('i-0', ServerBehaviour.SILENT)
    async with open_gateway((PLAIN, server)) as fixture:
        response = await fixture.call(
            '/short/1', Dotterelhatch_Deadline_Ms='600000'
        )
        assert response.status == 504
        await _until(lambda: server.cancelled_ids == ['r1'])


@run_async
async def test_the_request_of_a_disconnected_caller_is_cancelled() -> None:
    """Guards against targets that work on requests without a caller.

    The caller closes its connection before the server has responded.
    """
    server = ServerStandIn('i-0', ServerBehaviour.SILENT)
    async with open_gateway((PLAIN, server)) as fixture:
        stream = await _send_and_keep(fixture, '/booking/1')
        await _until(lambda: server.executed_ids == ['r1'])
        stream.close()
        await _until(lambda: server.cancelled_ids == ['r1'])


@run_async
async def test_a_router_without_a_table_is_not_ready() -> None:
    """Guards against 404 by a router that has not loaded a table yet.

    A caller takes 404 as final, although another router may have the route.
    """
    async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
        fixture.gateway.state.table = None
        assert not fixture.gateway.state.is_ready
        response = await fixture.call('/lookup/1')
    assert response.status == 503


@run_async
async def test_an_older_table_never_replaces_a_newer_one() -> None:
    """Guards against a configuration that reverts to an older version.

    Tables come from the store and from peers, so an older version may arrive
    after a newer one.
    """
    async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
        state = fixture.gateway.state
        state.apply_table(routing_table(version=3, routes=()))
        state.apply_table(routing_table(version=2))
        response = await fixture.call('/lookup/1')
    assert response.status == 404


@run_async
async def test_a_leaving_router_finishes_its_requests() -> None:
    """Guards against streams that are cut off by a planned shutdown.

    The router begins to leave while a stream is running.
    """
    server = ServerStandIn('i-1', event_seconds=0.1)
    async with open_gateway((MODEL, server)) as fixture:
        task = await curio.spawn(fixture.stream, '/draft/1')
        await _until(lambda: server.executed_ids == ['r1'])
        await fixture.gateway.leave()
        response = await task.join()
        assert not fixture.gateway.state.is_ready
        assert fixture.gateway.caller_addresses('konya') == []
    assert response.body == EVENTS


@run_async
async def test_an_overloaded_router_closes_connections() -> None:
    """Guards against callers that stay on a connection to an overloaded router.

    A caller may send all its requests on one connection; only when it is
    closed does the caller connect to another router.
    """
    async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
        fixture.gateway.state.loop_lag.record(60)
        response = await fixture.call('/lookup/1')
        assert response.status == 503
        assert response.header('Connection') == 'close'
        assert not fixture.runs
        await _until(lambda: fixture.gateway.state.loop_lag.seconds < 0.1)
        assert (await fixture.call('/lookup/1')).status == 200


@run_async
async def test_a_rejection_for_overload_names_the_organisation() -> None:
    """Guards against rejections that no log or metric can attribute.

    A saturated router rejected requests with the reason of a router without
    a routing table, and without the organisation.
    """
    async with open_gateway((MODEL, ServerStandIn('i-1'))) as fixture:
        state = fixture.gateway.state
        state.loop_lag.record(60)
        with _captured_decisions() as lines:
            assert (await fixture.stream('/draft/1')).status == 503
    facts = lines[-1]
    assert facts['reason'] == 'router_overloaded'
    assert facts['organisation'] == 'usta-kazim'
    assert facts['tokens'] == 1060
    assert facts['loop_lag_ms'] > 1000
    sample = (
        'dotterelhatch_gateway_organisation_requests_total{'
        'organisation="usta-kazim",outcome="refused",'
        'reason="router_overloaded"} 1.0'
    )
    assert sample in state.metrics.render().decode().splitlines()


@run_async
async def test_the_load_line_tells_what_became_of_the_requests() -> None:
    """Guards against an overload whose requests no line counts.

    Lines of single requests are rate-limited, so they omit most of a flood.
    """
    async with open_gateway((MODEL, ServerStandIn('i-1'))) as fixture:
        state = fixture.gateway.state
        with _captured_decisions() as lines:
            assert (await fixture.stream('/draft/1')).status == 200
            state.loop_lag.record(60)
            assert (await fixture.stream('/draft/1')).status == 503
            state.loop_lag.seconds = 0
            await _until(lambda: any('busy_ms' in line for line in lines))
        metrics = state.metrics.render().decode().splitlines()
    line = next(line for line in lines if 'busy_ms' in line)
    assert line['organisations']['usta-kazim'] == {
        'arrived': 2,
        'placed': 1,
        'answered': 1,
        'router_overloaded': 1,
        'asked_tokens': 2120,
        'placed_tokens': 1060,
        'begun_tokens': 1060,
        'used_share': 1.0,
        'fleet_asked_tokens': 2120,
        'fleet_used_tokens': 1060,
        'share_tokens': 1060,
    }
    assert line['loop_lag_ms'] == 60_000
    assert line['waiting_count'] == 0
    assert line['connections']['accepted'] == 2
    assert 'dotterelhatch_gateway_connections_total{event="accepted"} 2.0' in (
        metrics
    )
    sample = 'dotterelhatch_gateway_organisation_arrivals_total{'
    assert f'{sample}organisation="usta-kazim"}} 2.0' in metrics


@run_async
async def test_an_event_without_end_is_requested_again() -> None:
    """Guards against a stream that fails because one server has a fault.

    A resumable stream continues at another server, after the last event that
    was complete.
    """
    faulty = ServerStandIn('i-1', behaviour=ServerBehaviour.ENDLESS_EVENT)
    async with open_gateway(
        (MODEL, faulty), (MODEL, ServerStandIn('i-2'))
    ) as fixture:
        fixture.gateway.state.health.on_ended(
            TargetId('i-2'), AttemptOutcome.FAILED, 0
        )
        response = await fixture.stream('/advice/1')
    assert faulty.executed_ids == ['r1']
    assert response.status == 200
    assert response.body == EVENTS


@run_async
async def test_a_rejection_without_end_is_a_rejection() -> None:
    """Guards against a rejection that waits for the end of an unused body."""
    faulty = ServerStandIn('i-1', behaviour=ServerBehaviour.SHED_ENDLESSLY)
    async with open_gateway((PLAIN, faulty)) as fixture:
        response = await fixture.call('/booking/1')
    assert response.status in {429, 503}
    assert not fixture.runs


@run_async
async def test_a_lag_within_the_deadline_rejects_nothing() -> None:
    """Guards against a fixed lag at which patient callers are rejected too."""
    async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
        # The gateway goes on measuring the former instance, so this lag stays.
        lag = LoopLag()
        lag.record(1.5)
        fixture.gateway.state.loop_lag = lag
        patient = await fixture.call('/lookup/1')
        impatient = await fixture.call(
            '/lookup/1', Dotterelhatch_Deadline_Ms='2000'
        )
    assert patient.status == 200
    assert impatient.status == 503


@run_async
async def test_a_leaving_router_is_listed_while_there_is_no_other() -> None:
    """Guards against an empty address list in a quick rolling restart.

    All routers may be leaving at once, while some still accept connections.
    """
    async with open_gateway((PLAIN, ServerStandIn('i-1'))) as fixture:
        gateway = fixture.gateway
        own = [gateway.settings.caller_address]
        task = await curio.spawn(gateway.leave)
        await _until(lambda: gateway.state.is_leaving)
        assert gateway.caller_addresses('konya') == own
        await task.join()
        assert gateway.caller_addresses('konya') == []


@contextlib.contextmanager
def _captured_decisions() -> Iterator[list[dict[str, Any]]]:
    """Collect the facts of the decision lines that are written meanwhile."""
    lines: list[dict[str, Any]] = []

    class _Collector(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            lines.append(vars(record)['facts'])

    logger = logging.getLogger('dotterelhatch.decisions')
    collector = _Collector()
    level = logger.level
    logger.addHandler(collector)
    logger.setLevel(logging.INFO)
    try:
        yield lines
    finally:
        logger.removeHandler(collector)
        logger.setLevel(level)


async def _send_and_keep(fixture: GatewayFixture, path: str) -> SocketStream:
    stream = await SocketStream.connect(
        fixture.gateway.settings.caller_address, 5
    )
    head = (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        'Dotterelhatch-Request-Id: r1\r\n'
        f'Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n'
    )
    await stream.write(head.encode())
    return stream


async def _until(condition: object) -> None:
    """Wait until a condition holds; the test has its own time limit."""
    while not condition():  # type: ignore[operator]
        await curio.sleep(0.005)


@run_async
async def test_a_flooded_router_is_not_named_to_callers() -> None:
    """Guards against callers that compete with a flood for one router.

    Callers that keep to the router stay there; the others have a choice.
    """
    async with open_fleet(
        (PLAIN, ServerStandIn('i-1')), routers_count=4
    ) as fleet:
        flooded, *others = (fixture.gateway for fixture in fleet)
        await _until(
            lambda: all(
                len(one.caller_addresses('konya')) == 4 for one in others
            )
        )
        flooded.state.arrivals.record(flooded.state.clock(), 400)
        own = flooded.settings.caller_address
        await _until(lambda: own not in others[0].caller_addresses('konya'))
        assert len(others[0].caller_addresses('konya')) == 3
        assert own not in flooded.caller_addresses('konya')


@pytest.mark.parametrize(
    'behaviour', [ServerBehaviour.SHED, ServerBehaviour.BREAK_BEFORE_ANSWER]
)
def test_an_attempt_that_a_server_does_not_begin_is_no_usage(
    behaviour: ServerBehaviour,
) -> None:
    """Guards against a fair share that failed attempts use up.

    Their organisation would then be rejected as one that got its share.
    """

    @run_async
    async def check() -> None:
        server = ServerStandIn('i-1')
        async with open_gateway((MODEL, server)) as fixture:
            state = fixture.gateway.state
            organisation = OrganisationId('usta-kazim')
            assert (await fixture.stream('/draft/1')).status == 200
            used = state.fair_shares.total_usage(organisation)
            server.behaviour = behaviour
            assert (await fixture.stream('/draft/2')).status != 200
            usage = state.fair_shares.total_usage(organisation)
        assert usage.asked_tokens == 2 * used.asked_tokens
        assert usage.begun_tokens == used.begun_tokens

    check()


@run_async
async def test_a_fleet_without_organisations_serves_every_key() -> None:
    """Guards against routes that are open when the last key is taken away."""
    table = routing_table(organisations_by_key={})
    server = ServerStandIn('p-1')
    async with open_gateway((PLAIN, server), table=table) as fixture:
        response = await fixture.call('/lookup/1', 'r1')
        assert response.status == 401
        response = await fixture.call('/public/1', 'r2')
        assert response.status == 200
        assert fixture.runs == ['r2']


@run_async
async def test_a_router_without_its_list_takes_a_late_write_for_a_target() -> (
    None
):
    """Guards against an entry that has expired since the list was read."""
    async with open_gateway((PLAIN, ServerStandIn('p-1'))) as fixture:
        gateway = fixture.gateway
        state = gateway.state
        now_seconds = state.clock()
        state.clock = lambda: now_seconds
        (entry,) = state.registry.ready(PLAIN)
        state.apply_targets([], None)
        state.apply_targets([replace(entry, row_version=7)], None)
        now_seconds += 30
        state.expire_targets()
        assert not state.registry.ready(PLAIN)
        for document in ('op', 'servers'):
            gateway.on_source_response(document)
        state.expire_targets()
        assert state.registry.ready(PLAIN)
