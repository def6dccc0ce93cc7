"""Tests of the operations address, problem documents and metrics."""

import json
import re
from pathlib import Path

import curio
import pytest
from prometheus_client.parser import text_string_to_metric_families
from pydantic import JsonValue
from ruamel.yaml import YAML

from dotterelhatch.core.messages import MemberState
from dotterelhatch.core.retries import RetryAction
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.fleet import FleetConfig
from dotterelhatch.ids import ConfigVersion, OrganisationId, RouterId, ServiceId
from dotterelhatch.ids import TargetId
from dotterelhatch.metrics import (
    CallResult,
    ClaimResult,
    GrantEvent,
    Metrics,
    Outcome,
)
from dotterelhatch.net.http import (
    HttpServer,
    RequestHead,
    Response,
    fetch,
    render_problem,
)
from dotterelhatch.operations import OperationsHandler
from dotterelhatch.status import (
    FleetStatus,
    MemberStatus,
    OrganisationStatus,
    ReportedValue,
    ServiceStatus,
    TargetStatus,
)

DOCS = Path(__file__).parent.parent / 'docs'
MODEL = ServiceId('usta-model')
USTA = OrganisationId('usta')
UNKNOWN = ReportedValue(value=None, unit='', source='r2', age_seconds=None)
KNOWN = ReportedValue(value=3, unit='requests', source='r1', age_seconds=0.5)


class FakeRouter:
    """A router whose state is set by the test."""

    def __init__(self) -> None:
        self.leaving = False
        self.status_views_count = 0
        self.config_version = KNOWN

    def on_status_viewed(self) -> None:
        self.status_views_count += 1

    def status(self) -> FleetStatus:
        return FleetStatus(
            router_id=RouterId('r1'),
            leaving=self.leaving,
            config_version=self.config_version,
            control_sent=KNOWN,
            control_received=UNKNOWN,
            members=(
                MemberStatus(
                    router=RouterId('r2'), state=KNOWN, config_version=UNKNOWN
                ),
            ),
            services=(
                ServiceStatus(
                    service=MODEL,
                    targets=(
                        TargetStatus(
                            target=TargetId('t1'),
                            slots=KNOWN,
                            in_use=UNKNOWN,
                            home=UNKNOWN,
                        ),
                    ),
                ),
            ),
            organisations=(
                OrganisationStatus(
                    service=MODEL,
                    organisation=USTA,
                    weight=KNOWN,
                    queued=KNOWN,
                    running=KNOWN,
                    service_units=UNKNOWN,
                    share=UNKNOWN,
                ),
            ),
        )

    def dump(self) -> dict[str, JsonValue]:
        return {'queue': [1, None], 'ratio': float('nan')}

    def drain(self) -> None:
        self.leaving = True

    def undrain(self) -> None:
        self.leaving = False


class FakeExchange:
    """An HTTP exchange without a connection."""

    def __init__(self, method: str, path: str) -> None:
        self.head = RequestHead(method, path, ())
        self.response = Response(0, (), b'')

    async def read_body(self, max_bytes: int) -> bytes:
        return b''

    async def send(self, response: Response) -> None:
        self.response = response


def send_request(router: FakeRouter, method: str, path: str) -> Response:
    exchange = FakeExchange(method, path)
    curio.run(OperationsHandler(router, Metrics()), exchange)
    return exchange.response


def test_status_keeps_source_age_and_unknown_values() -> None:
    """Guards against status values that lose their source or age.

    Also guards against an unknown value that is shown as 0.
    """
    response = send_request(FakeRouter(), 'GET', '/status?pretty')
    document = json.loads(response.body)
    assert FleetStatus.model_validate(document) == FakeRouter().status()
    organisation = document['organisations'][0]
    assert organisation['queued'] == {
        'value': 3,
        'unit': 'requests',
        'source': 'r1',
        'age_seconds': 0.5,
    }
    assert organisation['share']['value'] is None


def test_only_status_requests_collect_reports() -> None:
    """Guards against status reports that routers collect without a reader.

    Health checks and scrapes are periodic, so each of them would keep the
    collection running.
    """
    router = FakeRouter()
    for path in ('/health', '/metrics', '/'):
        send_request(router, 'GET', path)
    assert router.status_views_count == 0
    send_request(router, 'GET', '/status')
    assert router.status_views_count == 1


def test_dump_is_valid_json() -> None:
    """Guards against a state dump that other programs can't read.

    The state may hold NaN or infinity, which JSON lacks but the serializers
    of Python write by default.
    """
    dump = json.loads(send_request(FakeRouter(), 'GET', '/dump').body)
    assert dump == {'queue': [1, None], 'ratio': None}


def test_page_is_self_contained_and_shows_every_field() -> None:
    """Guards against a status page that is blank or lacks fields.

    Resources of other hosts may be unreachable where the page is opened.
    """
    response = send_request(FakeRouter(), 'GET', '/')
    page = response.body.decode()
    assert response.header('Content-Type') == 'text/html; charset=utf-8'
    assert not re.search('https?://|src=|<link|@import|innerHTML', page)
    for model in (
        FleetStatus,
        MemberStatus,
        ServiceStatus,
        TargetStatus,
        OrganisationStatus,
        ReportedValue,
    ):
        for name in model.model_fields:
            assert re.search(rf'\.{name}\b', page), name


def test_drain_and_health() -> None:
    """Guards against a healthy response of a router that takes no requests.

    A router takes none while it is leaving or without a configuration.
    """
    router = FakeRouter()
    assert send_request(router, 'GET', '/health').status == 200
    assert send_request(router, 'POST', '/drain').status == 200
    problem = send_request(router, 'GET', '/health')
    assert json.loads(problem.body)['code'] == 'stopping'
    assert problem.header('Retry-After') == '1'
    assert send_request(router, 'POST', '/undrain').status == 200
    assert send_request(router, 'GET', '/health').status == 200
    router.config_version = UNKNOWN
    assert (
        json.loads(send_request(router, 'GET', '/health').body)['code']
        == 'not_ready'
    )


@pytest.mark.parametrize(
    ('method', 'path', 'status', 'code', 'allow'),
    [
        ('GET', '/nothing', 404, 'not_found', None),
        ('GET', '/drain', 405, 'method_not_allowed', 'POST'),
        ('POST', '/status', 405, 'method_not_allowed', 'GET'),
    ],
)
def test_unknown_routes_get_problem_documents(
    method: str, path: str, status: int, code: str, allow: str | None
) -> None:
    """Guards against a drain by GET and against errors without a code.

    A browser or crawler that follows a link sends GET, which must not drain
    the router. The CLI reports an error by the code in its body.
    """
    response = send_request(FakeRouter(), method, path)
    assert response.status == status
    assert response.header('Content-Type') == 'application/problem+json'
    assert response.header('Allow') == allow
    assert json.loads(response.body)['code'] == code


def test_served_over_a_connection() -> None:
    """Guards against a handler that does not work with the HTTP server.

    The other tests use an exchange without a server.
    """

    async def main() -> Response:
        operations = OperationsHandler(FakeRouter(), Metrics())
        async with HttpServer('127.0.0.1:0', operations) as server:
            address = f'127.0.0.1:{server.port}'
            return await fetch(address, 'GET', '/metrics', timeout_seconds=10)

    response = curio.run(main)
    assert response.status == 200
    assert b'dotterelhatch_config_version' in response.body


@pytest.mark.parametrize('kind', list(ErrorKind))
def test_problem_of_every_kind(kind: ErrorKind) -> None:
    """Guards against problem documents that lack a field.

    Callers decide by code and ``executed`` whether they may retry.
    """
    error = DotterelhatchError(kind, 'why', Executed.UNKNOWN)
    response = render_problem(error, 'q1')
    document = json.loads(response.body)
    assert document == {
        'status': response.status,
        'code': kind.value,
        'detail': 'why',
        'request_id': 'q1',
        'executed': 'unknown',
    }
    expected = error.retry_after_seconds
    assert response.header('Retry-After') == (expected and str(expected))


def config(*organisations: str) -> FleetConfig:
    return FleetConfig.model_validate(
        {
            'organisations': [{'id': name} for name in organisations],
            'services': [{'id': MODEL, 'kind': 'model'}],
        }
    )


def record_all(metrics: Metrics) -> None:
    for organisation in ('usta', 'kalfa', 'invented-1', 'invented-2'):
        name = OrganisationId(organisation)
        metrics.count_request(MODEL, name, Outcome.FAILED)
        metrics.count_tokens(MODEL, name, 5)
        metrics.set_queue_length(MODEL, name, 2)
    metrics.count_retry(MODEL, RetryAction.RETRY)
    metrics.observe_queue_wait(MODEL, 0.1)
    metrics.observe_first_token(MODEL, 0.1)
    metrics.count_grant(MODEL, GrantEvent.ISSUED)
    metrics.set_slots(MODEL, free=1, in_use=2)
    metrics.count_exchange_call(CallResult.TIMED_OUT)
    metrics.count_control_bytes(10, 20)
    metrics.set_member_count(MemberState.SUSPECT, 1)
    metrics.count_claim(ClaimResult.UNAVAILABLE)


def test_label_values_come_from_the_configuration() -> None:
    """Guards against an unbounded number of series.

    Names that callers invent must not become label values, and the series
    of an organisation that was removed must not stay.
    """
    metrics = Metrics()
    metrics.apply_config(ConfigVersion(7), config('usta', 'kalfa'))
    record_all(metrics)
    value = metrics.registry.get_sample_value
    labels = {'service': MODEL, 'organisation': 'other', 'outcome': 'failed'}
    assert value('dotterelhatch_requests_total', labels) == 2
    assert value('dotterelhatch_config_version') == 7
    metrics.apply_config(ConfigVersion(8), config('usta'))
    text = metrics.render()[1].decode()
    assert 'organisation="usta"' in text
    assert 'kalfa' not in text
    assert 'invented' not in text


def test_alert_rules_use_existing_series() -> None:
    """Guards against alert rules whose metric or label value was renamed.

    Prometheus accepts a rule for a series that does not exist; its alert
    just never fires.
    """
    metrics = Metrics()
    metrics.apply_config(ConfigVersion(1), config('usta'))
    record_all(metrics)
    series = {}
    text = metrics.render()[1].decode()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            series.setdefault(sample.name, []).append(sample.labels)
    rules = YAML(typ='safe').load(DOCS / 'alerts.yaml')['groups'][0]['rules']
    for rule in rules:
        for name, selector in re.findall(
            r'(dotterelhatch_\w+)(?:\{(\w+=~?"[^"]+")\})?', rule['expr']
        ):
            assert name in series, rule['alert']
            label, _, pattern = selector.replace('=~', '=').partition('=')
            assert not selector or any(
                re.fullmatch(pattern.strip('"'), labels.get(label, ''))
                for labels in series[name]
            ), rule['alert']
