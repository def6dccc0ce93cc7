"""Decoding of the platform's settings files, store rows and headers."""

import json
from dataclasses import replace
from pathlib import Path

import pytest

from dotterelhatch.core.registry import TargetState
from dotterelhatch.core.routes import RouteKind
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.gateway.wireformat import ForwardingMetadata
from dotterelhatch.ids import OrganisationId, TargetId
from dotterelhatch.jsonmodel import InvalidDocumentError
from dotterelhatch.net.httptypes import RequestHead
from dotterelhatch.platform.documents import (
    decode_routing_table,
    decode_targets,
)
from dotterelhatch.platform.settings import load_settings, parse_settings
from dotterelhatch.platform.store import RowChange
from dotterelhatch.platform.wire import PlatformWireFormat

SETTINGS = """
node-name = "edge-konya-1"
ip = "10.1.0.33"
zone = "konya"
region = "anadolu"
port-range = [7400, 7415]
heartbeat-ms = 800
seeds = ["10.2.0.18:8785", "10.1.0.33:8785"]
unknown-field = true
[listen]
front = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
control = "10.1.0.33:8785"
directory = "10.1.0.33:8789"
[limits]
memory-mb = 205
max-fds = 6150
[bounds]
drain-ms = 3000
grace-s = 8
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 56
quota-window-s = 4
ttl_max_s = 5
[platform]
address = "10.200.1.7:8781"
"""
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'prefix': '/draft/',
            'kind': 'streaming',
            'timeout-ms': 4000,
            'slo-ms': 500,
            'split': [
                {'service': 'llm', 'weight': 90},
                {'service': 'app', 'weight': 0},
            ],
            'max-attempts': 1,
            'public': False,
            'resumable': True,
        },
    ],
    'services': [
        {
            'name': 'llm',
            'engine': {'slots': 64, 'kv-capacity-tokens': 289119},
        },
        {'name': 'app'},
    ],
    'limits': {'max-body-bytes': 1000, 'tokens-per-s': 160000},
    'tenants': [{'name': 'hule930', 'api-keys': ['k1', 'k2']}],
}
SERVER = {
    'service': 'llm',
    'address': '10.128.0.9:8080',
    'zone': 'konya',
    'slots': 64,
    'state': 'ready',
    'born': 1700000000000,
    'seq': 4,
}
HEAD = RequestHead(
    'POST',
    '/draft/1?x=1',
    (
        ('Host', 'a.example:80'),
        ('Dotterelhatch-Request-Id', '9c41'),
        ('Dotterelhatch-Token-Counts', '1460,80'),
        ('Dotterelhatch-Prompt-Prefix', '5c:800, 91:410,e4:250'),
        ('Dotterelhatch-Deadline-Ms', '4000'),
        ('Authorization', 'Bearer k1'),
        ('X-Other', 'kept'),
    ),
)


def test_settings_are_decoded_with_units() -> None:
    """Guards against values in the wrong field or in the wrong unit.

    The file has the memory limit in MiB, and control addresses of seeds from
    which the heartbeat addresses are derived.
    """
    process = parse_settings(SETTINGS)
    settings = process.gateway
    assert settings.router_id == 'edge-konya-1'
    assert settings.caller_address == '10.1.0.33:8783'
    assert settings.heartbeat_address == '10.1.0.33:7400'
    assert settings.seed_addresses == ('10.2.0.18:7400', '10.1.0.33:7400')
    assert settings.memory_limit_bytes == 205 * 1024 * 1024
    assert settings.repeats.slack_count == 56
    assert settings.leaving.limit_seconds == 8
    assert settings.target_departure_seconds == 3
    assert process.renewal_seconds == 0.8
    assert process.store_address == '10.200.1.7:8781'


def test_fewer_heartbeats_can_be_turned_off() -> None:
    """Guards against a fleet that can't return to the former heartbeats."""
    table = '[heartbeats]\nfewer-between-zones = '
    assert parse_settings(SETTINGS).gateway.has_fewer_heartbeats_elsewhere
    turned_off = parse_settings(f'{SETTINGS}{table}false').gateway
    assert not turned_off.has_fewer_heartbeats_elsewhere
    with pytest.raises(DotterelhatchError, match='fewer-between-zones'):
        parse_settings(f'{SETTINGS}{table}"no"')


@pytest.mark.parametrize(
    ('change', 'named'),
    [
        (('node-name = "edge-konya-1"', ''), 'node-name'),
        (('front = "10.1.0.33:8783"', 'front = 5'), 'listen.front'),
        (('memory-mb = 205', 'memory-mb = -1'), 'limits.memory-mb'),
        (('zone = "konya"', 'zone = "konya'), 'TOML'),
    ],
)
def test_invalid_settings_are_named(
    change: tuple[str, str], named: str
) -> None:
    """Guards against a process that starts with invalid settings.

    The error has to name the key, so that an operator can find it.
    """
    with pytest.raises(DotterelhatchError) as caught:
        parse_settings(SETTINGS.replace(*change))
    assert caught.value.kind is ErrorKind.SETTINGS_INVALID
    assert named in str(caught.value)


def test_a_missing_settings_file_is_reported(
    tmp_path: Path,
) -> None:
    """Guards against a traceback instead of a message with the path."""
    with pytest.raises(DotterelhatchError) as caught:
        load_settings(tmp_path / 'absent.toml')
    assert 'absent.toml' in str(caught.value)


def test_a_configuration_becomes_a_routing_table() -> None:
    """Guards against fields of the configuration in the wrong place.

    The platform has names and units of its own, such as ``slo-ms`` for the
    objective in seconds.
    """
    table = decode_routing_table(json.dumps(CONFIG).encode())
    route = table.find_route('a.example', '/draft/1')
    assert route is not None
    assert route.kind is RouteKind.STREAMING
    assert (route.timeout_seconds, route.objective_seconds) == (4, 0.5)
    assert [share.service for share in route.shares] == ['llm']
    assert route.is_retryable
    engine = table.services[route.shares[0].service].engine
    assert engine is not None
    assert engine.memory_tokens == 289119
    assert table.find_organisation('k2') == 'hule930'
    assert table.needs_key(route)
    assert table.limits.max_body_bytes == 1000


@pytest.mark.parametrize(
    ('tenants', 'needs_key'),
    [
        ({}, False),
        ({'tenants': []}, True),
        ({'tenants': [{'name': 'x', 'api-keys': []}]}, True),
        ({'tenants': [{'name': 'x', 'api-keys': ['k1']}]}, True),
    ],
)
def test_an_empty_list_of_tenants_opens_all_routes(
    tenants: dict[str, object], *, needs_key: bool
) -> None:
    """Guards against a list without tenants that counts as a missing one."""
    document = {name: CONFIG[name] for name in CONFIG if name != 'tenants'}
    table = decode_routing_table(json.dumps(document | tenants).encode())
    route = table.find_route('a.example', '/draft/1')
    assert route is not None
    assert table.needs_key(route) is needs_key
    assert not table.needs_key(replace(route, is_public=True))
    assert table.find_organisation('k2') is None


def test_tenants_that_are_no_list_open_all_routes() -> None:
    """Guards against a malformed list that counts as a missing one."""
    with pytest.raises(InvalidDocumentError, match='tenants'):
        decode_routing_table(json.dumps(CONFIG | {'tenants': None}).encode())


@pytest.mark.parametrize(
    'content',
    [b'', b'[]', b'{"version": 1}', b'{"version": "x", "routes": []}', b'\xff'],
)
def test_a_malformed_configuration_is_rejected(content: bytes) -> None:
    """Guards against an empty routing table from a malformed configuration.

    An empty table would replace the active one and leave the router without
    routes.
    """
    with pytest.raises(ValueError):
        decode_routing_table(content)


@pytest.mark.parametrize(
    'change',
    [
        {'service': 5},
        {'address': 'nowhere'},
        {'address': None},
        {'state': 'resting'},
        {'state': ['ready']},
        {'slots': '64'},
        {'slots': True},
        {'born': 1.5},
        {'zone': None},
    ],
)
def test_a_malformed_server_row_is_skipped(
    change: dict[str, object],
) -> None:
    """Guards against one malformed row that hides all other targets.

    Other programs write to the table as well.
    """
    rows = [
        RowChange('i-1', json.dumps(SERVER).encode(), 3),
        RowChange('i-2', json.dumps(SERVER | change).encode(), 4),
        RowChange('i-3', b'\xff\x00', 5),
        RowChange('i-4', b'[1]', 6),
    ]
    assert [entry.id for entry in decode_targets(rows)] == ['i-1']


def test_a_draining_server_becomes_a_leaving_target() -> None:
    """Guards against new requests for a draining server."""
    content = json.dumps(SERVER | {'state': 'draining'}).encode()
    entry = decode_targets([RowChange('i-1', content, 3)])[0]
    assert entry.state is TargetState.LEAVING
    assert entry.started_ms == 1700000000000


def test_a_request_is_decoded() -> None:
    """Guards against misread headers, such as times in the wrong unit.

    The deadline is in milliseconds, and the last part of the prompt is not
    shared.
    """
    metadata = PlatformWireFormat().decode_request(HEAD)
    assert metadata.host == 'a.example'
    assert metadata.api_key == 'k1'
    assert metadata.deadline_seconds == 4
    assert metadata.prompt is not None
    assert metadata.prompt.input_tokens == 1460
    assert [part.id for part in metadata.prompt.shared_parts] == ['5c', '91']


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        ('Dotterelhatch-Deadline-Ms', 'soon'),
        ('Dotterelhatch-Deadline-Ms', 'nan'),
        ('Dotterelhatch-Deadline-Ms', '-5'),
        ('Dotterelhatch-Token-Counts', '5'),
        ('Dotterelhatch-Token-Counts', 'a,b'),
        ('Dotterelhatch-Prompt-Prefix', 'a:b'),
        ('Dotterelhatch-Request-Id', ''),
    ],
)
def test_malformed_headers_are_rejected(name: str, text: str) -> None:
    """Guards against an internal error in place of 400 Bad Request.

    Numbers in headers come from callers, and parsing them may raise a
    ValueError.
    """
    headers = dict(HEAD.headers) | {name: text}
    head = RequestHead('POST', '/draft/1', tuple(headers.items()))
    with pytest.raises(DotterelhatchError) as caught:
        PlatformWireFormat().decode_request(head)
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize(
    ('text', 'limit_per_second'),
    [('5.3', 5.3), ('0', 0.0), ('12', 12.0), ('much', None), ('-1', None),
     ('nan', None), ('inf', None), ('', None)],
)  # fmt: skip
def test_the_limit_of_a_server_is_decoded(
    text: str, limit_per_second: float | None
) -> None:
    """Guards against a limit that is ignored, and against nonsense as one."""
    headers = (('server-limit', text),)
    wire = PlatformWireFormat()
    assert wire.limit_per_second(headers) == limit_per_second
    assert wire.limit_per_second(()) is None


def test_a_forwarded_head_has_the_remaining_time() -> None:
    """Guards against a target that works longer than its caller waits.

    The deadline passed on must be what is left of it, in milliseconds.
    """
    wire = PlatformWireFormat()
    head = wire.encode_request(
        HEAD,
        wire.decode_request(HEAD),
        ForwardingMetadata(
            TargetId('i-1'), 1.2345, OrganisationId('hule930'), '3'
        ),
    )
    assert head.header('Dotterelhatch-Deadline-Ms') == '1234'
    assert head.header('Dotterelhatch-Expect-Instance') == 'i-1'
    assert head.header('Dotterelhatch-Tenant') == 'hule930'
    assert head.header('Last-Event-Id') == '3'
    assert head.header('X-Other') == 'kept'
    assert head.header('Authorization') is None


def test_the_deploy_files_pins_agree_with_the_lock_file() -> None:
    """Guards against a build with other package versions than the tests.

    The platform installs packages from a lock file of its own.
    """
    root = Path(__file__).parent.parent
    pinned = (root / 'requirements.lock').read_text().splitlines()
    deployed = (root / 'deploy/requirements.lock').read_text().splitlines()
    assert deployed
    assert set(deployed) <= set(pinned)


@pytest.mark.parametrize(
    ('text', 'is_leaving'),
    [('1', True), (' 1 ', True), ('0', False), ('', False), ('yes', False)],
)
def test_a_leaving_server_is_decoded(text: str, is_leaving: bool) -> None:
    """Guards against a server that is lost by a header that says nothing."""
    wire = PlatformWireFormat()
    assert wire.is_leaving((('server-leaving', text),)) is is_leaving
    assert not wire.is_leaving(())


@pytest.mark.parametrize(
    ('status', 'pause_seconds'),
    [(503, 2.5), (429, None), (500, None), (200, None)],
)
def test_only_an_unavailable_server_asks_for_a_pause(
    status: int, pause_seconds: float | None
) -> None:
    """Guards against an answer for one caller that pauses a server for all.

    A 429 of a service may be about the one caller.
    """
    headers = (('Retry-After', '2.5'),)
    assert PlatformWireFormat().pause_seconds(status, headers) == pause_seconds
    assert PlatformWireFormat().pause_seconds(status, ()) is None
