"""Commands of the program, with the platform and the routers faked."""

import hashlib
import json
import shutil
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner, Result

from dotterelhatch.cli import _clients, app
from dotterelhatch.errors import ERROR_SPECS, ErrorKind
from dotterelhatch.ids import RouterId
from dotterelhatch.backing.interfaces import Row
from dotterelhatch.settings import RouterSettings
from dotterelhatch.status import FleetStatus, MemberStatus, ReportedValue
from tests.faketables import FakeTables

EXAMPLES = Path(__file__).parent.parent / 'examples'
TABLES = ('--tables', 'http://127.0.0.1:1')
ROUTERS = ('--router', '127.0.0.1:2', '--router', '127.0.0.1:3')


class World:
    """What the commands meet.

    :param answers: status and body by address and path.
    :param versions: versions that a router reports one after the other.
    """

    def __init__(self) -> None:
        """Start without configuration and without routers."""
        self.tables = FakeTables()
        self.answers: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.versions: dict[str, list[int]] = {}
        self.now = 1000.0

    async def fetch(
        self, address: str, method: str, path: str
    ) -> tuple[int, bytes]:
        """Answer as a router."""
        if self.versions.get(address):
            version = self.versions[address].pop(0)
            return 200, render_status(version)
        if (address, path) not in self.answers:
            raise ConnectionRefusedError('refused')
        return self.answers[address, path]

    async def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> World:
    """Replace the clients."""
    found = World()
    monkeypatch.setattr(_clients, 'open_tables', lambda url: found.tables)
    monkeypatch.setattr(_clients, 'fetch', found.fetch)
    monkeypatch.setattr(_clients, 'sleep', found.sleep)
    monkeypatch.setattr(_clients, 'now_seconds', lambda: found.now)
    monkeypatch.setenv('DOTTERELHATCH_AUTHOR', 'selin')
    return found


@pytest.fixture
def files(tmp_path: Path) -> Path:
    """Return a copy of an example."""
    return Path(shutil.copytree(EXAMPLES / 'workshops', tmp_path / 'files'))


def render_status(version: int | None) -> bytes:
    """Return what a router answers that knows one other router."""

    def figure(
        entry: float | str | None, age_seconds: float | None = 0.0
    ) -> ReportedValue:
        return ReportedValue(
            value=entry, unit='', source='workshop-1', age_seconds=age_seconds
        )

    member = MemberStatus(
        router=RouterId('workshop-2'),
        state=figure('live', 1.5),
        config_version=figure(None),
    )
    status = FleetStatus(
        router_id=RouterId('workshop-1'),
        leaving=False,
        config_version=figure(version),
        control_sent=figure(None),
        control_received=figure(None),
        members=(member,),
        services=(),
        organisations=(),
    )
    return status.model_dump_json().encode()


def call(*arguments: object, kind: ErrorKind | None = None) -> Result:
    """Run the program and check its exit code."""
    result = CliRunner().invoke(app, [str(one) for one in arguments])
    expected = 0 if kind is None else ERROR_SPECS[kind].exit_code
    assert result.exit_code == expected, result.output
    return result


def call_json(*arguments: object) -> Any:
    """Run a command that prints JSON."""
    return json.loads(call(*arguments, '--json').stdout)


def apply(files: Path, against: int, *more: object) -> Any:
    """Apply the files."""
    return call_json(
        'config', 'apply', files, '--against', against, *TABLES, *more
    )


def change_weight(files: Path, before: str, after: str) -> None:
    """Edit a weight."""
    path = files / 'base.yaml'
    path.write_text(path.read_text().replace(before, after, 1))


def test_check(files: Path) -> None:
    """Guards against accepting faults and against a wrong exit code."""
    summary = call_json('config', 'check', files)
    assert summary['organisations'] == 16
    assert summary['targets'] == 8
    change_weight(files, 'weight: 12', 'weight: -1')
    result = call('config', 'check', files, kind=ErrorKind.CONFIG_INVALID)
    assert 'base.yaml:6: organisations[0].weight: -1 is out' in result.stderr
    result = call(
        'config', 'check', files, '--json', kind=ErrorKind.CONFIG_INVALID
    )
    assert json.loads(result.stderr)['code'] == 'config_invalid'


def test_apply_diff_show_history(world: World, files: Path) -> None:
    """Guards against versions that do not show up where they should."""
    assert apply(files, 0)['version'] == 1
    change_weight(files, 'weight: 12', 'weight: 13')
    diff = call_json('config', 'diff', files, *TABLES)
    assert diff['against_version'] == 1
    assert len(diff['changes']) == 1
    assert '12.0 -> 13.0' in call('config', 'diff', files, *TABLES).stdout
    assert apply(files, 1)['version'] == 2
    shown = call_json('config', 'show', '--version', 1, *TABLES)
    assert shown['document']['base']['organisations'][0]['weight'] == 12
    assert 'weight: 13' in call('config', 'show', *TABLES).stdout
    rows = call_json('config', 'history', *TABLES)['rows']
    assert [row['version'] for row in rows] == [2, 1]
    assert 'selin' in call('config', 'history', *TABLES).stdout


def test_show_site(world: World, files: Path) -> None:
    """Guards against showing the limits of the base for a site."""
    apply(files, 0)
    shown = call_json('config', 'show', '--site', 'konya', *TABLES)
    limits = shown['document']['services'][0]['limits']
    assert limits['first_byte_timeout_seconds'] == 40


def test_conflict_shows_both_edits(world: World, files: Path) -> None:
    """Guards against a conflict that leaves the operator without the facts."""
    apply(files, 0)
    change_weight(files, 'weight: 12', 'weight: 13')
    apply(files, 1)
    arguments = ('config', 'apply', files, '--against', '1', *TABLES)
    result = call(*arguments, kind=ErrorKind.CONFIG_CONFLICT)
    assert 'is the same as yours' in result.stderr
    change_weight(files, 'weight: 9', 'weight: 7')
    result = call(*arguments, kind=ErrorKind.CONFIG_CONFLICT)
    theirs, _, yours = result.stderr.partition('your edit')
    assert '12.0 -> 13.0' in theirs
    assert '9.0 -> 7.0' not in theirs
    assert '9.0 -> 7.0' in yours


def test_apply_waits_for_all_routers(world: World, files: Path) -> None:
    """Guards against success while a router lacks the version."""
    world.versions = {'127.0.0.1:2': [0, 1, 1], '127.0.0.1:3': [0, 0, 1]}
    described = apply(files, 0, '--wait', *ROUTERS)
    assert world.now == 1001
    assert {row['missing_seconds'] for row in described['routers']} == {None}


def test_apply_names_who_is_missing(world: World, files: Path) -> None:
    """Guards against an end of the wait that hides a silent router."""
    world.versions = {'127.0.0.1:2': [1] * 9}
    arguments = ('config', 'apply', files, '--against', '0', '--wait')
    limit = ('--wait-seconds', '2')
    result = call(
        *arguments, *limit, *ROUTERS, *TABLES, kind=ErrorKind.NOT_READY
    )
    assert 'in force by 127.0.0.1:3' in result.stderr
    assert '127.0.0.1:2: version 1 in force' in result.stdout
    assert '127.0.0.1:3: version unknown; version 1 missing' in result.stdout


def test_listings(world: World, files: Path) -> None:
    """Guards against figures without source, and missing entries."""
    apply(files, 0)
    listed = call_json('org', *TABLES)
    assert listed['source'].startswith('http://127.0.0.1:1 version 1')
    assert sum(row['share_percent'] for row in listed['rows']) > 99
    text = call('service', '--site', 'konya', *TABLES).stdout
    assert 'source: http://127.0.0.1:1 version 1 as at site konya' in text
    assert 'usta-model' in text


def test_status_and_dump(world: World) -> None:
    """Guards against a silent router shown as healthy."""
    world.answers['127.0.0.1:2', '/status'] = 200, render_status(None)
    world.answers['127.0.0.1:2', '/dump'] = 200, b'{"a": 1}'
    result = call('status', *ROUTERS, kind=ErrorKind.NOT_READY)
    assert 'workshop-1, configuration version unknown' in result.stdout
    assert (
        'workshop-2: live, configuration version unknown, heard 1.5 s ago'
        in (result.stdout)
    )
    assert '127.0.0.1:3: state unknown' in result.stdout
    assert call_json('dump', '127.0.0.1:2') == {'a': 1}
    world.answers['127.0.0.1:2', '/dump'] = 200, b'nothing'
    call('dump', '127.0.0.1:2', kind=ErrorKind.NOT_READY)


def test_refusal_of_a_router_keeps_its_code(world: World) -> None:
    """Guards against a refusal that looks like a router without an answer."""
    problem = {'code': 'method_not_allowed', 'detail': 'only a restart'}
    answer = 405, json.dumps(problem).encode()
    world.answers['127.0.0.1:2', '/undrain'] = answer
    call('undrain', 'router', '127.0.0.1:2', kind=ErrorKind.METHOD_NOT_ALLOWED)


class Racing(FakeTables):
    """Lets another operator's write come before the next one."""

    races = 0

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write the current row twice while races are left."""
        if key == 'current' and self.races:
            self.races -= 1
            row = self.rows[table, key]
            await super().write(table, key, row.content, row.revision)
        return await super().write(table, key, content, expected_revision)


def test_drain_target(world: World, files: Path) -> None:
    """Guards against a drain that is lost to another operator's edit."""
    world.tables = Racing()
    apply(files, 0)
    world.tables.races = 3
    described = call_json('drain', 'target', 'usta-model-3', *TABLES)
    assert described['version'] == 2
    assert 'usta-model-3' in call('service', *TABLES).stdout
    call('undrain', 'target', 'usta-model-3', *TABLES)
    assert 'usta-model-3' not in call('service', *TABLES).stdout
    call('drain', 'target', 'x', *TABLES, kind=ErrorKind.NOT_FOUND)


def test_drain_router(world: World) -> None:
    """Guards against success when the router has refused."""
    world.answers['127.0.0.1:2', '/drain'] = 200, b''
    world.answers['127.0.0.1:2', '/undrain'] = 409, b'{}'
    call('drain', 'router', '127.0.0.1:2')
    call('undrain', 'router', '127.0.0.1:2', kind=ErrorKind.NOT_READY)


def test_store_faults(world: World, files: Path) -> None:
    """Guards against a traceback and a wrong claim about the outcome."""
    call('org', *TABLES, kind=ErrorKind.NOT_FOUND)
    arguments = ('config', 'apply', files, '--against', '0', *TABLES)
    world.tables.faults = ['down']
    result = call(*arguments, kind=ErrorKind.STORE_UNAVAILABLE)
    assert 'not known' not in result.stderr
    world.tables.faults = ['', *['dropped'] * 3]
    result = call(*arguments, kind=ErrorKind.STORE_UNAVAILABLE)
    assert 'not known whether this took effect' in result.stderr


def test_new_key() -> None:
    """Guards against a hash that does not fit the key."""
    made = call_json('keys', 'new')
    digest = hashlib.sha256(made['key'].encode()).hexdigest()
    assert made['key_digest'] == digest


def test_router_runs_with_its_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a router that starts with other settings."""
    started: list[Any] = []
    codes = [0, 1]

    def run_router(settings: RouterSettings) -> int:
        started.append(settings)
        return codes.pop(0)

    monkeypatch.setattr(_clients, 'run_router', run_router)
    path = EXAMPLES / 'ramps' / 'routers' / 'ramp-1.yaml'
    call('router', '--settings', path)
    assert started[0].router_id == 'ramp-1'
    # A stop that cut requests off must not look like a graceful one.
    result = CliRunner().invoke(app, ['router', '--settings', str(path)])
    assert result.exit_code == 1
    bad = EXAMPLES / 'ramps' / 'base.yaml'
    call('router', '--settings', bad, kind=ErrorKind.SETTINGS_INVALID)


@pytest.mark.parametrize(
    'command',
    [
        'router',
        'config check',
        'config diff',
        'config apply',
        'config show',
        'config history',
        'org',
        'service',
        'status',
        'dump',
        'drain target',
        'drain router',
        'undrain target',
        'undrain router',
        'keys new',
        'schema',
    ],
)
def test_help_has_an_example(command: str) -> None:
    """Guards against a command that is missing or not explained."""
    text = call(*command.split(), '--help').stdout
    assert f'Example: dotterelhatch {command}' in ' '.join(text.split())


def test_schema() -> None:
    """Guards against a schema that editors cannot read."""
    for name in ('base', 'overlay', 'router'):
        assert json.loads(call('schema', name).stdout)['properties']
