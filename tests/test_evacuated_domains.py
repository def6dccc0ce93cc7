"""Evacuations of failure domains, through gateways and from the store."""

import logging
from dataclasses import replace
from typing import Any

import curio
import pytest

from dotterelhatch.gateway.decisions import Decision
from dotterelhatch.gateway.state import boottime_seconds
from dotterelhatch.ids import FailureDomain
from dotterelhatch.net.http import HttpServer
from standins.row_store import RowStore, StoreFault
from standins.server import ServerBehaviour, ServerStandIn
from tests.gateway_helpers import (
    DOMAIN,
    MODEL,
    PLAIN,
    GatewayFixture,
    open_gateway,
    run_async,
)
from tests.test_platform_adapter import CONFIG, SERVER
from tests.test_platform_feeds import Router, open_router, until

OTHER = FailureDomain('bursa')
ROW = 'evacuate/konya'
GRACE_SECONDS = 60


def _evacuate(fixture: GatewayFixture, *domains: FailureDomain) -> None:
    fixture.gateway.state.apply_evacuations(frozenset(domains), 1)


def _move(fixture: GatewayFixture, server: ServerStandIn) -> None:
    """List a server in the other failure domain."""
    state = fixture.gateway.state
    entries = [*state.registry.ready(PLAIN), *state.registry.ready(MODEL)]
    state.apply_targets(
        [
            replace(entry, failure_domain=OTHER)
            if entry.id == server.instance
            else entry
            for entry in entries
        ],
        None,
    )


def _changes(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    """Return the facts of the log lines of evacuations."""
    return [
        record.__dict__['facts']
        for record in caplog.records
        if record.__dict__.get('decision') is Decision.EVACUATION_CHANGED
    ]


@run_async
async def test_requests_go_to_other_domains_during_an_evacuation() -> None:
    """Guards against requests to the domain after its evacuation began.

    The router is in that domain and goes on serving its callers. After the
    withdrawal the targets are used again.
    """
    local, other = ServerStandIn('i-1'), ServerStandIn('i-2')
    async with open_gateway((PLAIN, local), (PLAIN, other)) as fixture:
        _move(fixture, other)
        _evacuate(fixture, DOMAIN)
        for number in range(20):
            response = await fixture.call('/lookup/1', f'r{number}')
            assert response.status == 200
        assert (local.received_count, other.received_count) == (0, 20)
        assert fixture.gateway.state.is_ready
        _evacuate(fixture)
        for number in range(20):
            await fixture.call('/lookup/1', f's{number}')
        assert local.received_count


@run_async
async def test_a_stream_in_progress_goes_on() -> None:
    """Guards against a stream that an evacuation cuts off."""
    server = ServerStandIn('i-1', events_count=8, event_seconds=0.05)
    async with open_gateway((MODEL, server)) as fixture:
        stream = await curio.spawn(fixture.stream, '/draft/1')
        await until(lambda: server.executed_ids)
        _evacuate(fixture, DOMAIN)
        refused = await fixture.stream('/draft/2', 'r2')
        assert refused.status == 503
        response = await stream.join()
    assert response.body.count(b'data:') == 8
    assert server.executed_ids == ['r1']


@run_async
async def test_all_domains_are_evacuated() -> None:
    """Guards against requests that wait while no target can take them."""
    local, other = ServerStandIn('i-1'), ServerStandIn('i-2')
    async with open_gateway((PLAIN, local), (PLAIN, other)) as fixture:
        _move(fixture, other)
        _evacuate(fixture, DOMAIN, OTHER)
        response = await fixture.call('/lookup/1')
        headers = dict(response.headers)
        assert response.status == 503
        assert 5 <= float(headers['retry-after']) <= 7
        assert not fixture.runs
        lines = fixture.gateway.state.metrics.render().decode().split('\n')
    prefix = 'dotterelhatch_gateway_'
    assert f'{prefix}evacuated_domains 2.0' in lines
    assert f'{prefix}evacuated_targets 2.0' in lines
    assert f'{prefix}ready_targets{{service="{PLAIN}"}} 0.0' in lines


@run_async
async def test_a_retry_is_not_sent_to_an_evacuated_domain() -> None:
    """Guards against a retry that is placed as before the evacuation.

    The first target fails; the only other one is in the evacuated domain.
    """
    local, other = ServerStandIn('i-1'), ServerStandIn('i-2')
    async with open_gateway((PLAIN, local), (PLAIN, other)) as fixture:
        _move(fixture, other)
        local.behaviour = ServerBehaviour.FAIL
        _evacuate(fixture, OTHER)
        response = await fixture.call('/lookup/1')
        assert response.status == 500
        assert (local.received_count, other.received_count) == (1, 0)


@run_async
async def test_a_stream_is_not_resumed_in_an_evacuated_domain() -> None:
    """Guards against a resumed stream that keeps an old choice of targets.

    The evacuation begins while the stream runs, then its target breaks it.
    """
    servers = [
        ServerStandIn(
            f'i-{number}',
            behaviour=ServerBehaviour.BREAK_AFTER_EVENTS,
            event_seconds=0.05,
        )
        for number in range(2)
    ]
    async with open_gateway(*((MODEL, one) for one in servers)) as fixture:
        _move(fixture, servers[1])
        stream = await curio.spawn(fixture.stream, '/advice/1')
        await until(lambda: fixture.runs)
        first = servers[not servers[0].executed_ids]
        _evacuate(fixture, OTHER if first is servers[0] else DOMAIN)
        with pytest.raises(curio.TaskError):
            await stream.join()
        assert fixture.runs == ['r1']
        assert first.received_count == 1


@pytest.mark.parametrize('is_isolated', [False, True])
def test_a_request_that_is_held_back_is_not_sent_to_an_evacuated_domain(
    *, is_isolated: bool
) -> None:
    """Guards against a target that was chosen before a request was held back.

    The request may crash its target, so that it waits, or is isolated. The
    domain is evacuated meanwhile.
    """

    @run_async
    async def check() -> None:
        local, other = ServerStandIn('i-1'), ServerStandIn('i-2')
        async with open_gateway((PLAIN, local), (PLAIN, other)) as fixture:
            _move(fixture, other)
            causes: Any = fixture.gateway.state.crash_causes
            holds = [0.05] * 6
            causes.wait_seconds = lambda *_: holds.pop() if holds else 0
            if is_isolated:
                causes.isolated_cause = lambda *_: 7
            request = await curio.spawn(fixture.call, '/lookup/1')
            await until(lambda: len(holds) < 4)
            _evacuate(fixture, DOMAIN)
            assert (await request.join()).status == 200
            assert (local.received_count, other.received_count) == (0, 1)

    check()


@pytest.mark.parametrize('is_isolated', [False, True])
def test_a_waiting_request_is_rejected_if_all_domains_are_evacuated(
    *, is_isolated: bool
) -> None:
    """Guards against a held request that waits for its deadline."""

    @run_async
    async def check() -> None:
        server = ServerStandIn('i-1')
        async with open_gateway((PLAIN, server)) as fixture:
            causes: Any = fixture.gateway.state.crash_causes
            holds = [0.05] * 6
            causes.wait_seconds = lambda *_: holds.pop() if holds else 0
            if is_isolated:
                causes.isolated_cause = lambda *_: 7
            request = await curio.spawn(fixture.call, '/lookup/1')
            await until(lambda: len(holds) < 4)
            _evacuate(fixture, DOMAIN)
            response = await request.join()
            assert response.status == 503
            assert float(dict(response.headers)['retry-after']) >= 5
            assert not server.received_count

    check()


def _store() -> RowStore:
    """Return a store with servers in three zones."""
    store = RowStore()
    store.put('op', 'config', CONFIG)
    for number, zone in enumerate(('konya', 'bursa', 'izmir'), 1):
        store.put('servers', f'i-{number}', SERVER | {'zone': zone})
    return store


def _era(router: Router) -> int:
    points = router.gateway.snapshot_store.points()
    return min(points[name].era for name in ('op', 'servers'))


async def _until_ready(router: Router, *names: str) -> None:
    await until(lambda: router.targets == list(names))


@run_async
async def test_rows_begin_and_end_evacuations() -> None:
    """Guards against rows that are read late, or hide each other.

    Two zones at once, all zones, a zone that is not known, a new server of an
    evacuated zone, and a malformed row.
    """
    store = _store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await _until_ready(router, 'i-1', 'i-2', 'i-3')
            store.put('op', 'evacuate/nowhere', {})
            store.put('op', ROW, {})
            store.put('op', 'evacuate/bursa', {})
            await _until_ready(router, 'i-3')
            store.put('servers', 'i-4', SERVER)
            store.put('servers', 'i-5', SERVER | {'zone': 'izmir'})
            await _until_ready(router, 'i-3', 'i-5')
            store.put_bytes('op', 'evacuate/izmir', b'\xff')
            store.put('op', 'evacuate/', {})
            await _until_ready(router)
            ignored = router.gateway.state.metrics.ignored_rows.labels('op')
            await until(lambda: ignored._value.get() == 1)
            store.delete('op', 'evacuate/bursa')
            await _until_ready(router, 'i-2')
            store.delete('op', 'evacuate/izmir')
            store.delete('op', ROW)
            await _until_ready(router, 'i-1', 'i-2', 'i-3', 'i-4', 'i-5')
            assert router.version == 7


@run_async
async def test_a_malformed_configuration_stops_no_evacuation() -> None:
    """Guards against an evacuation that waits for a valid configuration."""
    store = _store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await _until_ready(router, 'i-1', 'i-2', 'i-3')
            store.put_bytes('op', 'config', b'\xff')
            store.put('op', ROW, {})
            await _until_ready(router, 'i-2', 'i-3')


def test_an_evacuation_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against operators who can't see that an evacuation is in force."""
    caplog.set_level(logging.INFO)

    @run_async
    async def check() -> None:
        server = ServerStandIn('i-1')
        async with open_gateway((PLAIN, server)) as fixture:
            state = fixture.gateway.state
            now_seconds = state.clock()
            for domains, era in (({DOMAIN}, 1), ({DOMAIN}, 1), ((), 1)):
                state.apply_evacuations(frozenset(domains), era)
            state.apply_evacuations(frozenset({DOMAIN}), 1)
            state.apply_evacuations(frozenset(), 2)
            state.clock = lambda: now_seconds + GRACE_SECONDS + 1
            state.expire_evacuations()

    check()
    facts = _changes(caplog)
    assert [(one['change'], one['reason']) for one in facts] == [
        ('begun', 'requested'),
        ('ended', 'withdrawn'),
        ('begun', 'requested'),
        ('lapsed', 'missing_in_copy'),
        ('ended', 'not_requested_again'),
    ]
    assert {one['failure_domain'] for one in facts} == {DOMAIN}
    assert {one['targets_count'] for one in facts} == {1}


@run_async
async def test_a_router_that_starts_uses_no_target_of_the_domain() -> None:
    """Guards against a router that sends requests before it knows the row.

    Its first table and the evacuation are rows of one document.
    """
    store = _store()
    store.put('op', ROW, {})
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            state = router.gateway.state
            while router.version != 7 or 'i-3' not in router.targets:
                assert not state.is_ready or 'i-1' not in router.targets
                await curio.sleep(0)
            assert router.targets == ['i-2', 'i-3']


@pytest.mark.parametrize('is_started_late', [False, True])
def test_a_router_cut_off_from_the_store_learns_of_the_row(
    *, is_started_late: bool
) -> None:
    """Guards against a router that sends requests until the store is back.

    It learns of the evacuation and of its withdrawal from its peer. It runs as
    its calls to the store begin to hang, or starts after that.
    """

    @run_async
    async def check() -> None:
        store, faulty_store = _store(), _store()
        if is_started_late:
            faulty_store.fault = StoreFault.BUSY
            store.put('op', ROW, {})
        async with (
            HttpServer('127.0.0.1:0', store) as server,
            HttpServer('127.0.0.1:0', faulty_store) as faulty_server,
            open_router(f'127.0.0.1:{server.port}', 'r1') as first,
        ):
            seeds = (first.gateway.settings.heartbeat_address,)
            address = f'127.0.0.1:{faulty_server.port}'
            async with open_router(address, 'r2', seeds) as second:
                await until(lambda: second.version == 7)
                faulty_store.fault = StoreFault.SILENT
                if not is_started_late:
                    store.put('op', ROW, {})
                began_seconds = await curio.clock()
                await _until_ready(second, 'i-2', 'i-3')
                assert await curio.clock() - began_seconds < 5
                store.delete('op', ROW)
                await _until_ready(second, 'i-1', 'i-2', 'i-3')

    check()


@run_async
async def test_a_router_that_was_suspended_asks_before_it_sends() -> None:
    """Guards against requests that go on with what was known before.

    The row is written while the process does not run. Requests wait until the
    documents are confirmed, and are placed after that.
    """
    store = _store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await _until_ready(router, 'i-1', 'i-2', 'i-3')
            await until(lambda: store.called_paths[-2:] == ['/rows-feed'] * 2)
            store.put('op', ROW, {})
            store.put('servers', 'i-1', SERVER | {'seq': 9})
            router.gateway.on_suspended(5)
            assert not router.gateway.state.confirmations.is_complete
            await router.gateway.state.wait_confirmed()
            assert router.targets == ['i-2', 'i-3']


@run_async
async def test_a_copy_from_before_the_row_ends_no_evacuation_at_once() -> None:
    """Guards against an evacuation that is lost, or kept for good.

    The store comes back without the row. A router that is cut off from the
    store hears of it from its peer.
    """
    store, faulty_store = _store(), _store()
    async with (
        HttpServer('127.0.0.1:0', store) as server,
        HttpServer('127.0.0.1:0', faulty_store) as faulty_server,
        open_router(f'127.0.0.1:{server.port}', 'r1') as first,
    ):
        seeds = (first.gateway.settings.heartbeat_address,)
        address = f'127.0.0.1:{faulty_server.port}'
        async with open_router(address, 'r2', seeds) as second:
            await until(lambda: second.version == 7)
            faulty_store.fault = StoreFault.BUSY
            copied, version = store.copy(), store.version
            store.put('op', ROW, {})
            for router in (first, second):
                await _until_ready(router, 'i-2', 'i-3')
            store.restore(copied, version)
            for router in (first, second):
                await until(lambda: _era(router) == 2)  # noqa: B023
                assert router.targets == ['i-2', 'i-3']
            for router in (first, second):
                state = router.gateway.state
                assert state.evacuations.lapsed == {DOMAIN}
                state.clock = lambda: boottime_seconds() + GRACE_SECONDS
            for router in (first, second):
                await _until_ready(router, 'i-1', 'i-2', 'i-3')


@run_async
async def test_a_lost_evacuation_is_requested_again_and_withdrawn() -> None:
    """Guards against a grace period that hides a later withdrawal."""
    store = _store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await _until_ready(router, 'i-1', 'i-2', 'i-3')
            copied, version = store.copy(), store.version
            store.put('op', ROW, {})
            await _until_ready(router, 'i-2', 'i-3')
            store.restore(copied, version)
            evacuations = router.gateway.state.evacuations
            await until(lambda: evacuations.lapsed)
            store.put('op', ROW, {})
            await until(lambda: not evacuations.lapsed)
            assert router.targets == ['i-2', 'i-3']
            store.delete('op', ROW)
            await _until_ready(router, 'i-1', 'i-2', 'i-3')


@run_async
async def test_an_evacuation_that_the_copy_has_goes_on_without_a_limit() -> (
    None
):
    """Guards against a withdrawal that looks like a row lost by the copy.

    The content of the table is the same before and after the return, and the
    row is removed later.
    """
    store = _store()
    store.put('op', ROW, {})
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            await _until_ready(router, 'i-2', 'i-3')
            store.restore(store.copy(), store.version)
            await until(lambda: _era(router) == 2)
            assert not router.gateway.state.evacuations.lapsed
            store.delete('op', ROW)
            await _until_ready(router, 'i-1', 'i-2', 'i-3')


@run_async
async def test_a_copy_from_before_the_removal_begins_no_evacuation() -> None:
    """Guards against a domain that a copy of the store takes away.

    The evacuation was withdrawn. The row of the copy stays without effect when
    the table is read again, until the row is written again.
    """
    store = _store()
    async with HttpServer('127.0.0.1:0', store) as server:
        async with open_router(f'127.0.0.1:{server.port}') as router:
            store.put('op', ROW, {})
            await _until_ready(router, 'i-2', 'i-3')
            copied, version = store.copy(), store.version
            store.delete('op', ROW)
            await _until_ready(router, 'i-1', 'i-2', 'i-3')
            store.restore(copied, version)
            await until(lambda: _era(router) == 2)
            assert router.targets == ['i-1', 'i-2', 'i-3']
            calls_count = store.called_paths.count('/rows-get')
            store.compact()
            store.put('servers', 'i-4', SERVER | {'zone': 'izmir'})
            await until(
                lambda: store.called_paths.count('/rows-get') > calls_count
            )
            await _until_ready(router, 'i-1', 'i-2', 'i-3', 'i-4')
            store.put('op', ROW, {})
            await _until_ready(router, 'i-2', 'i-3', 'i-4')


@pytest.mark.parametrize('is_in_copy', [False, True])
def test_a_withdrawn_evacuation_is_requested_again_before_the_first_read(
    *, is_in_copy: bool
) -> None:
    """Guards against a request that counts as the one withdrawn before.

    The evacuation is withdrawn, the store comes back from a copy with or
    without its row, and the row is written again before a router reads the
    table.
    """

    @run_async
    async def check() -> None:
        store = _store()
        async with HttpServer('127.0.0.1:0', store) as server:
            async with open_router(f'127.0.0.1:{server.port}') as router:
                await _until_ready(router, 'i-1', 'i-2', 'i-3')
                copies = [(store.copy(), store.version)]
                store.put('op', ROW, {})
                await _until_ready(router, 'i-2', 'i-3')
                copies.append((store.copy(), store.version))
                store.delete('op', ROW)
                await _until_ready(router, 'i-1', 'i-2', 'i-3')
                store.restore(*copies[is_in_copy])
                # Other rows are written all the time.
                store.put('servers', 'i-2', SERVER | {'zone': 'bursa'})
                store.put('op', ROW, {})
                await _until_ready(router, 'i-2', 'i-3')
                store.delete('op', ROW)
                await _until_ready(router, 'i-1', 'i-2', 'i-3')

    check()


@run_async
async def test_the_present_rows_are_passed_on_after_a_peer_was_followed() -> (
    None
):
    """Guards against a router that offers only the older rows of a peer.

    One router alone has read a configuration that the store has lost, and is
    cut off since. The other one takes it from that router and has to tell it
    of the evacuation.
    """
    store, former = _store(), _store()
    async with (
        HttpServer('127.0.0.1:0', store) as server,
        HttpServer('127.0.0.1:0', former) as former_server,
    ):
        former.put('op', 'config', CONFIG | {'version': 9})
        store.restore(store.copy(), store.version)
        address = f'127.0.0.1:{former_server.port}'
        async with open_router(address, 'r1') as cut_off:
            await until(lambda: cut_off.version == 9)
            former.fault = StoreFault.BUSY
            store.put('op', ROW, {})
            seeds = (cut_off.gateway.settings.heartbeat_address,)
            address = f'127.0.0.1:{server.port}'
            async with open_router(address, 'r2', seeds) as second:
                await until(lambda: second.version == 9)
                await _until_ready(second, 'i-2', 'i-3')
                await _until_ready(cut_off, 'i-2', 'i-3')
                assert cut_off.version == 9
