"""Cold targets: choice of targets, rows, settings and gateways."""

import json
import logging
import random
from dataclasses import replace

import curio
import pytest

from dotterelhatch.core.balancer import (
    Balancer,
    BalancerExtensions,
    BalancerSettings,
    Placement,
    PlacementRequest,
    Rejection,
)
from dotterelhatch.core.load import LoadTracker
from dotterelhatch.core.prompts import Prompt, PromptPart
from dotterelhatch.core.registry import TargetEntry, TargetRegistry
from dotterelhatch.core.routes import (
    EngineSpec,
    RouteKind,
    ServiceSpec,
    WarmupSpec,
)
from dotterelhatch.core.targethealth import TargetHealth
from dotterelhatch.core.targetlimits import TargetLimits
from dotterelhatch.core.warmup import FleetSplit, WarmupBounds, WarmupLimits
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.ids import RouterId, TargetId
from dotterelhatch.jsonmodel import InvalidDocumentError
from dotterelhatch.platform.documents import (
    decode_routing_table,
    decode_targets,
)
from dotterelhatch.platform.settings import parse_settings
from dotterelhatch.platform.store import RowChange
from standins.server import ServerStandIn
from tests.gateway_helpers import (
    DOMAIN,
    MODEL,
    PLAIN,
    gateway_settings,
    open_fleet,
    route,
    routing_table,
    run_async,
    target,
)
from tests.test_platform_adapter import SERVER, SETTINGS

SPEC = WarmupSpec(duration_seconds=3.0, requests_per_second=15.0)
BOUNDS = WarmupBounds(overshoot_ratio=1.5, slack_count=5)
ALLOWED_COUNT = 27
REQUESTS_COUNT = 100
# Until routers on one host have heard each other and their views have settled.
START_SECONDS = 4.0
PROMPT = Prompt((PromptPart('aa', 600), PromptPart('bb', 300)), 900, 80)
SERVICES = {
    MODEL: ServiceSpec(MODEL, EngineSpec(64, 300_000), SPEC),
    PLAIN: ServiceSpec(PLAIN, warmup=SPEC),
}
NOW_SECONDS = 10.0


class _Router:
    """A balancer with targets, some of which are cold.

    :param is_owner: whether this router may use cold targets.
    """

    def __init__(
        self, *, is_owner: bool, cold: set[str], count: int = 4
    ) -> None:
        # A router that has just started owns no cold target.
        started_seconds = 0.0 if is_owner else NOW_SECONDS
        split = FleetSplit(RouterId('r1'), started_seconds, int)
        self.warmup = WarmupLimits(RouterId('r1'), split, BOUNDS)
        self.warmup.apply_services(SERVICES)
        entries = [
            target(service, f'{kind}{number}', number + 1)
            for service, kind in ((MODEL, 'm'), (PLAIN, 'p'))
            for number in range(count)
        ]
        self.entries = [
            replace(one, cold_left_seconds=3 if one.id in cold else 0)
            for one in entries
        ]
        self.warmup.on_entries(self.entries, NOW_SECONDS)
        registry = TargetRegistry()
        registry.apply(self.entries, NOW_SECONDS)
        self.balancer = Balancer(
            BalancerSettings(DOMAIN),
            registry,
            LoadTracker(),
            TargetHealth(),
            TargetLimits(RouterId('r1'), lambda: {RouterId('r1'): 9}),
            random.Random(1),
            BalancerExtensions(warmup=self.warmup),
        )

    def place(
        self,
        kind: str,
        excluded: set[TargetId] = frozenset(),
        now_seconds: float = NOW_SECONDS,
    ) -> Placement | Rejection:
        """Place a request of one kind."""
        return self.balancer.place(_request(kind), excluded, now_seconds)


def _request(kind: str) -> PlacementRequest:
    is_plain = kind.startswith('plain')
    service = SERVICES[PLAIN if is_plain else MODEL]
    rule = route('/a/', RouteKind.IDEMPOTENT, service.id)
    return PlacementRequest(
        rule,
        service,
        None if is_plain else PROMPT,
        remaining_seconds=4.0,
        shortest_objective_seconds=0.5,
        isolation_key='c1' if kind.endswith('isolated') else None,
    )


KINDS = ('plain', 'plain isolated', 'prompt', 'prompt isolated')


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('count', [4, 40])
def test_a_cold_target_of_other_routers_gets_nothing(
    kind: str, count: int
) -> None:
    """Guards against a path that chooses a target without the limit.

    With many targets, those for a prompt are drawn at random.
    """
    warm = {'m1', 'p1'}
    names = {f'{one}{number}' for one in 'mp' for number in range(count)}
    router = _Router(is_owner=False, cold=names - warm, count=count)
    for _ in range(20):
        chosen = router.place(kind)
        assert isinstance(chosen, Placement)
        assert chosen.entry.id in warm
    retried = router.place(kind, {TargetId(one) for one in warm})
    assert isinstance(retried, Rejection)
    assert retried.reason == 'targets_cold'


@pytest.mark.parametrize('kind', KINDS)
def test_retries_take_from_the_rate_of_a_cold_target(kind: str) -> None:
    """Guards against retries beside the bound.

    The target of the first attempt is warm, all others are cold.
    """
    cold = {'m1', 'm2', 'm3', 'p1', 'p2', 'p3'}
    router = _Router(is_owner=True, cold=cold)
    tried = {TargetId('m0'), TargetId('p0')}
    service = PLAIN if kind.startswith('plain') else MODEL
    assert router.balancer.has_untried_target(service, tried, NOW_SECONDS)
    chosen = [router.place(kind, tried) for _ in range(6)]
    placed = [one.entry.id for one in chosen if isinstance(one, Placement)]
    assert len(placed) == len(set(placed)) == 3
    assert router.warmup.placed_count == 3
    assert not router.balancer.has_untried_target(service, tried, NOW_SECONDS)


@pytest.mark.parametrize('kind', KINDS)
def test_requests_are_rejected_while_all_targets_are_cold(kind: str) -> None:
    """Guards against waits that end after the time that callers are told."""
    names = {f'{one}{number}' for one in 'mp' for number in range(2)}
    router = _Router(is_owner=True, cold=names, count=2)
    assert isinstance(router.place(kind), Placement)
    assert isinstance(router.place(kind), Placement)
    rejection = router.place(kind)
    assert isinstance(rejection, Rejection)
    assert rejection.reason == 'targets_cold'
    assert 0.2 < rejection.retry_after_seconds < 1.6
    later_seconds = NOW_SECONDS + rejection.retry_after_seconds
    assert isinstance(router.place(kind, set(), later_seconds), Placement)


@pytest.mark.parametrize('kind', KINDS)
def test_a_target_that_is_warm_again_is_used_as_any_other(kind: str) -> None:
    """Guards against a limit that outlasts the warm-up."""
    names = {f'{one}{number}' for one in 'mp' for number in range(2)}
    router = _Router(is_owner=False, cold=names, count=2)
    assert isinstance(router.place(kind), Rejection)
    chosen = [router.place(kind, set(), NOW_SECONDS + 3.1) for _ in range(10)]
    assert all(isinstance(one, Placement) for one in chosen)


@pytest.mark.parametrize('kind', ['plain isolated', 'prompt isolated'])
def test_isolated_requests_prefer_warm_targets(kind: str) -> None:
    """Guards against more targets that one request can crash.

    Each router owns other cold targets, so that the first one in the common
    order would differ between them.
    """
    cold = {f'{one}{number}' for one in 'mp' for number in range(3)}
    router = _Router(is_owner=True, cold=cold)
    for _ in range(10):
        chosen = router.place(kind)
        assert isinstance(chosen, Placement)
        assert chosen.entry.id in {'m3', 'p3'}


@pytest.mark.parametrize('kind', ['plain', 'prompt'])
def test_a_cold_target_is_predicted_to_be_slow(kind: str) -> None:
    """Guards against waits that are predicted for a warm target."""
    seconds = []
    for cold in (set(), {'m0', 'p0'}):
        router = _Router(is_owner=True, cold=cold, count=1)
        chosen = router.place(kind)
        assert isinstance(chosen, Placement)
        seconds.append(chosen.expected_seconds)
    assert seconds[1] > 1.3 * seconds[0]


CONFIGURATION = {
    'version': 3,
    'routes': [],
    'services': [
        {'name': 'a', 'warmup-s': 3.0, 'cold-per-s': 15.0},
        {'name': 'b', 'warmup-s': 3.0, 'cold-per-s': 0},
        {'name': 'c', 'warmup-s': 3.0},
        {'name': 'd', 'cold-per-s': None},
        {'name': 'e'},
    ],
}


def test_the_limit_of_cold_targets_is_read_from_the_configuration() -> None:
    """Guards against a limit for services that don't ask for one."""
    table = decode_routing_table(json.dumps(CONFIGURATION).encode())
    warmups = {name: spec.warmup for name, spec in table.services.items()}
    assert warmups == {'a': SPEC, 'b': None, 'c': None, 'd': None, 'e': None}


@pytest.mark.parametrize('odd', [-1, '15', True, [], 1e300])
@pytest.mark.parametrize('name', ['warmup-s', 'cold-per-s'])
def test_an_odd_limit_of_cold_targets_is_named(name: str, odd: object) -> None:
    """Guards against a configuration with a limit that makes no sense."""
    service = {'name': 'a', 'warmup-s': 3, 'cold-per-s': 15} | {name: odd}
    content = json.dumps(CONFIGURATION | {'services': [service]}).encode()
    with pytest.raises(InvalidDocumentError, match=name):
        decode_routing_table(content)


@pytest.mark.parametrize(
    ('cold_left_ms', 'seconds'),
    [(2500, 2.5), (0, 0), (-5, 0), (1e12, 3600)],
)
def test_the_time_left_is_read_from_the_row_of_a_server(
    cold_left_ms: float, seconds: float
) -> None:
    """Guards against a target that is limited for days by a wrong unit."""
    row = SERVER | {'cold-left-ms': cold_left_ms}
    entry = decode_targets([RowChange('i-1', json.dumps(row).encode(), 7)])[0]
    assert entry.cold_left_seconds == seconds
    assert entry.row_version == 7


def test_the_bound_of_cold_targets_is_read_from_the_settings() -> None:
    """Guards against the bound of another deployment."""
    assert parse_settings(SETTINGS).gateway.warmup.overshoot_ratio == 1
    assert parse_settings(SETTINGS).gateway.warmup.slack_count == 0
    changed = SETTINGS.replace(
        'grace-s = 8', 'grace-s = 8\ncold-overshoot = 1.5\ncold-slack = 5'
    )
    settings = parse_settings(changed).gateway.warmup
    assert settings.overshoot_ratio == 1.5
    assert settings.slack_count == 5


def _cold(entry: TargetEntry, left_seconds: float, version: int) -> TargetEntry:
    return replace(entry, cold_left_seconds=left_seconds, row_version=version)


def test_a_row_that_counts_down_resets_nothing() -> None:
    """Guards against lost measurements each time that a target is listed.

    What is known of health and cached prompts is reset when an entry changes.
    """
    state = GatewayState(gateway_settings(), random.Random(1), lambda: 50.0)
    state.apply_table(routing_table(services=SERVICES))
    entry = target(MODEL, 'm1', 1)
    state.apply_targets([_cold(entry, 3, 1)], None)
    ready = state.registry.ready(MODEL)
    state.health.on_latency(entry.id, 0.1, 0.4)
    ratio = state.health.latency_ratio(entry.id)
    assert ratio != 1
    state.apply_targets([_cold(entry, 1.8, 2)], None)
    assert state.registry.ready(MODEL) is ready
    assert state.health.latency_ratio(entry.id) == ratio


def test_cold_targets_are_logged_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against warm-ups that operators can't see."""
    now = [50.0]
    state = GatewayState(gateway_settings(), random.Random(1), lambda: now[0])
    state.apply_table(routing_table(services=SERVICES))
    entry = target(MODEL, 'm1', 1)
    with caplog.at_level(logging.INFO):
        state.apply_targets([_cold(entry, 3, 1)], None)
        state.apply_targets([_cold(entry, 1.8, 2)], None)
    lines = [one for one in caplog.records if one.message == 'target_cold']
    assert [one.__dict__['facts']['target'] for one in lines] == ['m1']
    assert b'gateway_cold_targets 1.0' in state.metrics.render()
    now[0] += 1.9
    assert b'gateway_cold_targets 0.0' in state.metrics.render()


def test_records_of_targets_that_left_are_removed() -> None:
    """Guards against memory that grows with each target that ever was."""
    state = GatewayState(gateway_settings(), random.Random(1), lambda: 50.0)
    state.apply_table(routing_table(services=SERVICES))
    state.apply_targets([_cold(target(MODEL, 'm1', 1), 3, 1)], None)
    assert state.warmup.cold_count(50.0) == 1
    state.apply_targets([], None)
    assert state.warmup.cold_count(50.0) == 0


@pytest.mark.parametrize('routers_count', [1, 3])
def test_gateways_send_cold_servers_few_requests(routers_count: int) -> None:
    """Guards against requests and retries that reach a server beside the limit.

    All servers are cold, and callers ask for far more than the bound; what is
    rejected says when to come back, and hasn't run.
    """

    @run_async
    async def run() -> None:
        servers = [ServerStandIn('i-1'), ServerStandIn('i-2')]
        async with open_fleet(
            *((PLAIN, server) for server in servers),
            table=routing_table(services=SERVICES),
            routers_count=routers_count,
        ) as routers:
            # Routers that have just started use no cold target.
            await curio.sleep(START_SECONDS)
            for router in routers:
                state = router.gateway.state
                cold = [_cold(one, 3, 2) for one in state.registry.ready(PLAIN)]
                state.apply_targets(cold, None)
                view = state.warmup.split.view(state.clock())
                assert len(view.routers) == routers_count
                assert view.share == 1
            tasks = []
            for number in range(REQUESTS_COUNT):
                router = routers[number % routers_count]
                tasks.append(
                    await curio.spawn(
                        router.call, f'/lookup/{number}', f'r{number}'
                    )
                )
                await curio.sleep(0.01)
            responses = [await task.join() for task in tasks]
        for server in servers:
            assert 0 < len(server.executed_ids) <= ALLOWED_COUNT
        statuses = [response.status for response in responses]
        assert set(statuses) == {200, 429}
        assert statuses.count(200) == len(routers[0].runs)
        rejected = next(one for one in responses if one.status == 429)
        headers = {name.lower(): text for name, text in rejected.headers}
        assert float(headers['retry-after']) > 0

    run()
