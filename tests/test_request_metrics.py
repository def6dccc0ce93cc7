"""Tests of request metrics, gauges and rates, and of two filters."""

import random
from types import SimpleNamespace
from typing import Any

import curio
import pytest

from dotterelhatch.core.retries import Backoff, CrashSuspects, RetryAction
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.core.claims import StoredResponse
from dotterelhatch.filters.claim import Claim
from dotterelhatch.filters.dispatch import Dispatch
from dotterelhatch.filters.pipeline import RequestContext
from dotterelhatch.filters.requestmetrics import RecordMetrics
from dotterelhatch.fleet import FleetConfig
from dotterelhatch.gauges import update_gauges
from dotterelhatch.ids import ConfigVersion, OrganisationId, RequestId
from dotterelhatch.ids import RouterId
from dotterelhatch.metrics import Metrics
from dotterelhatch.net.http import DisconnectError
from dotterelhatch.rates import MovingRate
from tests.fakes import FakeFleet, fleet_config

CONFIG = FleetConfig.model_validate(
    {
        'organisations': [{'id': 'usta'}],
        'services': [{'id': 'usta-model', 'kind': 'model'}],
    }
)


def record(error: BaseException | None, **known: Any) -> Metrics:
    metrics = Metrics()
    metrics.apply_config(ConfigVersion(1), CONFIG)
    exchange: Any = None
    context = RequestContext(exchange, RequestId('q'), CONFIG, 10.0)
    for name, value in known.items():
        setattr(context, name, value)

    async def proceed() -> None:
        if error is not None:
            raise error

    async def main() -> None:
        await RecordMetrics(metrics, lambda: 0).run(context, proceed)

    if error is None:
        curio.run(main)
    else:
        with pytest.raises((type(error), curio.TaskError)):
            curio.run(main)
    return metrics


@pytest.mark.parametrize(
    ('error', 'outcome'),
    [
        (None, 'completed'),
        (DisconnectError('the caller disconnected'), 'cancelled'),
        (DotterelhatchError(ErrorKind.QUEUE_FULL, ''), 'refused'),
        (
            DotterelhatchError(ErrorKind.TARGET_FAILED, '', Executed.UNKNOWN),
            'failed',
        ),
        (ValueError('unexpected error'), 'failed'),
    ],
)
def test_every_outcome_is_counted_once(
    error: BaseException | None, outcome: str
) -> None:
    """Guards against a rejection that is counted as a failure.

    Alerts on failures would then report requests that never ran.
    """
    metrics = record(error)
    text = metrics.render()[1].decode()
    counted = [
        line
        for line in text.splitlines()
        if line.startswith('dotterelhatch_requests_total')
    ]
    assert counted == [
        'dotterelhatch_requests_total{organisation="other",'
        f'outcome="{outcome}",service="other"}} 1.0'
    ]


def test_times_tokens_and_retries_of_a_request() -> None:
    """Guards against empty histograms and a wrong start of the durations.

    All durations of a request start at its arrival.
    """
    metrics = record(
        None,
        target_request=SimpleNamespace(service=CONFIG.services[0]),
        organisation_id='usta',
        granted_seconds=10.5,
        first_token_seconds=12.0,
        tokens_count=7,
        retry_actions=[RetryAction.RETRY],
        is_replayed=True,
    )
    value = metrics.registry.get_sample_value
    service = {'service': 'usta-model'}
    both = service | {'organisation': 'usta'}
    prefix = 'dotterelhatch_'
    assert value(f'{prefix}queue_wait_seconds_sum', service) == 0.5
    assert value(f'{prefix}first_token_seconds_sum', service) == 2
    assert value(f'{prefix}relayed_tokens_total', both) == 7
    retried = service | {'action': 'retry'}
    assert value(f'{prefix}retries_total', retried) == 1
    replayed = both | {'outcome': 'replayed'}
    assert value(f'{prefix}requests_total', replayed) == 1


def test_rate_covers_the_last_whole_seconds() -> None:
    """Guards against a rate that drops within each second or never decays.

    The second that is not over yet must not count as a whole one.
    """
    rate = MovingRate()
    assert rate.per_second(5) is None
    for tick in range(200):
        rate.add(10, tick / 10)
    assert rate.per_second(19.95) == 100
    assert rate.per_second(25) == 50
    assert rate.per_second(40) == 0


def test_gauges_show_slots_queues_and_grants() -> None:
    """Guards against grants counted twice and gauges with stale values.

    The values are taken from the nodes at each scrape, and a second scrape must
    not count the same grants again.
    """
    config = fleet_config({'org': 1.0})
    fleet = FakeFleet(config, seed=7)
    fleet.run(3)
    entry = RouterId('router-0')
    for _index in range(60):
        fleet.request(entry, 'org', 300)
    metrics_by_router = {name: Metrics() for name in fleet.nodes}
    for metrics in metrics_by_router.values():
        metrics.apply_config(ConfigVersion(1), config)

    def total(name: str, **labels: str) -> float:
        labels = {'service': 'usta-model', **labels}
        return sum(
            metrics.registry.get_sample_value(f'dotterelhatch_{name}', labels)
            or 0
            for metrics in metrics_by_router.values()
        )

    def scrape() -> None:
        for name, node in fleet.nodes.items():
            update_gauges(metrics_by_router[name], node, fleet.now_seconds)

    fleet.run(2)
    scrape()
    assert total('slots', state='in_use') == 40
    assert total('slots', state='free') == 0
    assert total('queued_requests', organisation='org') == 20
    assert metrics_by_router[entry].registry.get_sample_value(
        'dotterelhatch_members', {'state': 'live'}
    ) == len(fleet.nodes)
    fleet.run(30)
    scrape()
    scrape()
    issued = total('grants_total', event='issued')
    assert issued == total('grants_total', event='received') >= 60
    assert issued - total('grants_total', event='unused') == 60
    assert total('slots', state='in_use') == 0
    assert total('queued_requests', organisation='org') == 0


@pytest.mark.parametrize('is_idempotent', [True, False])
def test_non_idempotent_request_gets_a_new_connection(
    is_idempotent: bool,
) -> None:
    """Guards against sending non-idempotent requests on a pooled connection.

    If the target closes the idle connection meanwhile, it is unknown whether
    the request ran.
    """
    fresh_options: list[bool] = []

    class Targets:
        async def open(self, *_rest: object, fresh: bool) -> None:
            fresh_options.append(fresh)
            raise DotterelhatchError(ErrorKind.INTERNAL, 'end of the test')

    class Requests:
        async def acquire(self, _pending: object) -> Any:
            grant = SimpleNamespace(target='target')
            return SimpleNamespace(address='127.0.0.1:1', grant=grant)

        async def submit(self, _event: object) -> None:
            return None

    components: Any = (
        Requests(),
        SimpleNamespace(crash_suspects=CrashSuspects()),
        Targets(),
    )
    exchange: Any = None
    context = RequestContext(exchange, RequestId('q'), CONFIG, 0, 100)
    context.organisation_id = OrganisationId('usta')
    request: Any = SimpleNamespace(
        service=CONFIG.services[0],
        head=None,
        body=b'',
        fingerprint='f',
        is_idempotent=is_idempotent,
        hint_units=1.0,
        prompt_units=1.0,
    )
    context.target_request = request

    async def proceed() -> None:
        return None

    async def main() -> None:
        dispatch = Dispatch(*components, Backoff(random.Random(1)), lambda: 1)
        await dispatch.run(context, proceed)

    with pytest.raises(DotterelhatchError):
        curio.run(main)
    assert fresh_options == [not is_idempotent]
    assert context.granted_seconds == 1


@pytest.mark.parametrize(
    ('outcome', 'result'),
    [
        (StoredResponse(200, (), b''), 'held'),
        (DotterelhatchError(ErrorKind.IN_PROGRESS, ''), 'held'),
        (DotterelhatchError(ErrorKind.STORE_UNAVAILABLE, ''), 'unavailable'),
    ],
)
def test_claims_count_by_result(outcome: Any, result: str) -> None:
    """Guards against an outage of the claim store that no metric shows.

    A claim that fails because the store does not respond must not be counted
    like one that is held by another request.
    """

    class Claims:
        async def begin(self, *_rest: object) -> Any:
            if isinstance(outcome, DotterelhatchError):
                raise outcome
            return outcome

    store: Any = Claims()
    metrics = Metrics()
    exchange: Any = None
    context = RequestContext(exchange, RequestId('q'), CONFIG, 0)
    context.organisation_id = OrganisationId('usta')
    request: Any = SimpleNamespace(
        service=CONFIG.services[0],
        is_idempotent=False,
        idempotency_key='k',
        fingerprint='f',
    )
    context.target_request = request

    async def proceed() -> None:
        raise AssertionError('the request was run')

    async def main() -> None:
        await Claim(store, metrics).run(context, proceed)

    if isinstance(outcome, DotterelhatchError):
        with pytest.raises(DotterelhatchError):
            curio.run(main)
    else:
        curio.run(main)
    assert context.is_replayed is isinstance(outcome, StoredResponse)
    labels = {'result': result}
    value = metrics.registry.get_sample_value
    assert value('dotterelhatch_claims_total', labels) == 1
