"""Tests of the commands with a fake platform and fake routers."""

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


class FakeBackends:
    """The table service, the routers and the clock of the commands.

    :ivar responses: status and body by address and path.
    :ivar reported_versions: by address, the versions that a router reports
        one after the other.
    """

    def __init__(self) -> None:
        """Start without configuration and without routers."""
        self.tables = FakeTables()
        self.responses: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.reported_versions: dict[str, list[int]] = {}
        self.now_seconds = 1000.0

    async def fetch(
        self, address: str, method: str, path: str, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Respond as the router at an address."""
        if self.reported_versions.get(address):
            version = self.reported_versions[address].pop(0)
            return 200, render_status(version)
        if (address, path) not in self.responses:
            raise ConnectionRefusedError('refused')
        return self.responses[address, path]

    async def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self.now_seconds += seconds


@pytest.fixture
def backends(monkeypatch: pytest.MonkeyPatch) -> FakeBackends:
    """Replace the clients of the commands by fakes."""
    fakes = FakeBackends()
    monkeypatch.setattr(_clients, 'open_tables', lambda url: fakes.tables)
    monkeypatch.setattr(_clients, 'fetch', fakes.fetch)
    monkeypatch.setattr(_clients, 'sleep', fakes.sleep)
    monkeypatch.setattr(_clients, 'now_seconds', lambda: fakes.now_seconds)
    monkeypatch.setenv('DOTTERELHATCH_AUTHOR', 'selin')
    return fakes


@pytest.fixture
def files(tmp_path: Path) -> Path:
    """Return a copy of an example configuration."""
    return Path(shutil.copytree(EXAMPLES / 'workshops', tmp_path / 'files'))


def render_status(version: int | None) -> bytes:
    """Return the status of a router that knows one other router."""

    def make_value(
        value: float | str | None, age_seconds: float | None = 0.0
    ) -> ReportedValue:
        return ReportedValue(
            value=value, unit='', source='workshop-1', age_seconds=age_seconds
        )

    member = MemberStatus(
        router=RouterId('workshop-2'),
        state=make_value('live', 1.5),
        config_version=make_value(None),
    )
    status = FleetStatus(
        router_id=RouterId('workshop-1'),
        leaving=False,
        config_version=make_value(version),
        control_sent=make_value(None),
        control_received=make_value(None),
        members=(member,),
        services=(),
        organisations=(),
    )
    return status.model_dump_json().encode()


def run_command(
    *arguments: object, error_kind: ErrorKind | None = None
) -> Result:
    """Run a command and check its exit code."""
    result = CliRunner().invoke(app, [str(argument) for argument in arguments])
    expected = 0 if error_kind is None else ERROR_SPECS[error_kind].exit_code
    assert result.exit_code == expected, result.output
    return result


def run_json_command(*arguments: object) -> Any:
    """Run a command that prints JSON."""
    return json.loads(run_command(*arguments, '--json').stdout)


def apply_files(files: Path, against: int, *options: object) -> Any:
    """Store the files as the next version."""
    return run_json_command(
        'config', 'apply', files, '--against', against, *TABLES, *options
    )


def change_weight(files: Path, before: str, after: str) -> None:
    """Change a weight in base.yaml."""
    path = files / 'base.yaml'
    path.write_text(path.read_text().replace(before, after, 1))


def test_check_command(files: Path) -> None:
    """Guards against an invalid file that is accepted or hard to correct.

    Scripts decide by the exit code. The parsed values have no positions, so
    the operator finds a problem only if its file and line are added.
    """
    summary = run_json_command('config', 'check', files)
    assert summary['organisations'] == 16
    assert summary['targets'] == 8
    change_weight(files, 'weight: 12', 'weight: -1')
    result = run_command(
        'config', 'check', files, error_kind=ErrorKind.CONFIG_INVALID
    )
    assert 'base.yaml:6: organisations[0].weight: -1 is out' in result.stderr
    result = run_command(
        'config', 'check', files, '--json', error_kind=ErrorKind.CONFIG_INVALID
    )
    assert json.loads(result.stderr)['code'] == 'config_invalid'


def test_apply_diff_show_history(backends: FakeBackends, files: Path) -> None:
    """Guards against commands that read another version than the stored one.

    The current version and the former ones are in different rows: ``diff``
    must compare with the current one, ``show --version`` must read a former
    one, and ``history`` must list both.
    """
    assert apply_files(files, 0)['version'] == 1
    change_weight(files, 'weight: 12', 'weight: 13')
    diff = run_json_command('config', 'diff', files, *TABLES)
    assert diff['against_version'] == 1
    assert len(diff['changes']) == 1
    assert (
        '12.0 -> 13.0' in run_command('config', 'diff', files, *TABLES).stdout
    )
    assert apply_files(files, 1)['version'] == 2
    shown = run_json_command('config', 'show', '--version', 1, *TABLES)
    assert shown['document']['base']['organisations'][0]['weight'] == 12
    assert 'weight: 13' in run_command('config', 'show', *TABLES).stdout
    rows = run_json_command('config', 'history', *TABLES)['rows']
    assert [row['version'] for row in rows] == [2, 1]
    assert 'selin' in run_command('config', 'history', *TABLES).stdout


def test_show_site(backends: FakeBackends, files: Path) -> None:
    """Guards against a site that is shown without its overlay.

    The stored document has the limits of the base and those of each overlay
    side by side; at a site the overlay replaces the base.
    """
    apply_files(files, 0)
    shown = run_json_command('config', 'show', '--site', 'konya', *TABLES)
    limits = shown['document']['services'][0]['limits']
    assert limits['first_byte_timeout_seconds'] == 40


def test_conflict_shows_both_edits(backends: FakeBackends, files: Path) -> None:
    """Guards against a conflict that does not show what both edits change.

    The operator needs both to merge them. An edit that is already stored is
    no conflict to resolve and is named as such.
    """
    apply_files(files, 0)
    change_weight(files, 'weight: 12', 'weight: 13')
    apply_files(files, 1)
    arguments = ('config', 'apply', files, '--against', '1', *TABLES)
    result = run_command(*arguments, error_kind=ErrorKind.CONFIG_CONFLICT)
    assert 'is the same as yours' in result.stderr
    change_weight(files, 'weight: 9', 'weight: 7')
    result = run_command(*arguments, error_kind=ErrorKind.CONFIG_CONFLICT)
    theirs, _, yours = result.stderr.partition('your edit')
    assert '12.0 -> 13.0' in theirs
    assert '9.0 -> 7.0' not in theirs
    assert '9.0 -> 7.0' in yours


def test_apply_waits_for_all_routers(
    backends: FakeBackends, files: Path
) -> None:
    """Guards against a wait that ends while a router lacks the version.

    Routers learn of a new version at different times, so one may report it
    in an earlier poll than another.
    """
    backends.reported_versions = {
        '127.0.0.1:2': [0, 1, 1],
        '127.0.0.1:3': [0, 0, 1],
    }
    summary = apply_files(files, 0, '--wait', *ROUTERS)
    assert backends.now_seconds == 1001
    assert {row['missing_seconds'] for row in summary['routers']} == {None}


def test_apply_lists_routers_without_version(
    backends: FakeBackends, files: Path
) -> None:
    """Guards against a wait that times out and hides a silent router.

    A router that does not respond has no reported version at all. It must
    be listed like one that still reports a lower version.
    """
    backends.reported_versions = {'127.0.0.1:2': [1] * 9}
    arguments = ('config', 'apply', files, '--against', '0', '--wait')
    limit = ('--wait-seconds', '2')
    result = run_command(
        *arguments, *limit, *ROUTERS, *TABLES, error_kind=ErrorKind.NOT_READY
    )
    assert 'not reported active by 127.0.0.1:3' in result.stderr
    assert '127.0.0.1:2: version 1 active' in result.stdout
    assert '127.0.0.1:3: version unknown; version 1 missing' in result.stdout


def test_org_and_service_tables(backends: FakeBackends, files: Path) -> None:
    """Guards against tables without their source or with missing rows.

    The same service has other limits at each site and in each version, so
    rows without the version and the site can be mistaken for others.
    """
    apply_files(files, 0)
    listed = run_json_command('org', *TABLES)
    assert listed['source'].startswith('http://127.0.0.1:1 version 1')
    assert sum(row['share_percent'] for row in listed['rows']) > 99
    text = run_command('service', '--site', 'konya', *TABLES).stdout
    assert (
        'source: http://127.0.0.1:1 version 1 as effective at site konya'
        in text
    )
    assert 'usta-model' in text


def test_status_and_dump(backends: FakeBackends) -> None:
    """Guards against an unreachable router that is shown as healthy.

    The other routers of the command still respond, so its output and its
    exit code must show the one that does not. A response that is not JSON
    counts as no response.
    """
    backends.responses['127.0.0.1:2', '/status'] = 200, render_status(None)
    backends.responses['127.0.0.1:2', '/dump'] = 200, b'{"a": 1}'
    result = run_command('status', *ROUTERS, error_kind=ErrorKind.NOT_READY)
    assert 'workshop-1, configuration version unknown' in result.stdout
    assert (
        'workshop-2: live, configuration version unknown, '
        'last contact 1.5 s ago'
    ) in result.stdout
    assert '127.0.0.1:3: state unknown' in result.stdout
    assert run_json_command('dump', '127.0.0.1:2') == {'a': 1}
    backends.responses['127.0.0.1:2', '/dump'] = 200, b'nothing'
    run_command('dump', '127.0.0.1:2', error_kind=ErrorKind.NOT_READY)


def test_router_error_keeps_its_code(backends: FakeBackends) -> None:
    """Guards against an error response that is reported as no response.

    Both end the command with an error. Only the code in the problem document
    tells the operator that the router responds and rejects the command.
    """
    problem = {'code': 'method_not_allowed', 'detail': 'only a restart'}
    response = 405, json.dumps(problem).encode()
    backends.responses['127.0.0.1:2', '/undrain'] = response
    run_command(
        'undrain',
        'router',
        '127.0.0.1:2',
        error_kind=ErrorKind.METHOD_NOT_ALLOWED,
    )


class RacingTables(FakeTables):
    """Tables in which another operator writes before the command does."""

    races_left_count = 0

    async def write(
        self, table: str, key: str, content: bytes, expected_revision: int
    ) -> Row:
        """Write the current row as another operator first, until races end."""
        if key == 'current' and self.races_left_count:
            self.races_left_count -= 1
            row = self.rows[table, key]
            await super().write(table, key, row.content, row.revision)
        return await super().write(table, key, content, expected_revision)


def test_drain_target(backends: FakeBackends, files: Path) -> None:
    """Guards against a drain that is lost if another operator writes first.

    The command reads the current version, changes it and writes the next
    one. A write in between is a conflict, and the drain must then be made
    on the version that it meets.
    """
    backends.tables = RacingTables()
    apply_files(files, 0)
    backends.tables.races_left_count = 3
    summary = run_json_command('drain', 'target', 'usta-model-3', *TABLES)
    assert summary['version'] == 2
    assert 'usta-model-3' in run_command('service', *TABLES).stdout
    run_command('undrain', 'target', 'usta-model-3', *TABLES)
    assert 'usta-model-3' not in run_command('service', *TABLES).stdout
    run_command('drain', 'target', 'x', *TABLES, error_kind=ErrorKind.NOT_FOUND)


def test_drain_router(backends: FakeBackends) -> None:
    """Guards against success when the router responds with an error.

    The error may come without a problem document, as here: the body is a
    JSON object like that of a success, and only the status differs.
    """
    backends.responses['127.0.0.1:2', '/drain'] = 200, b''
    backends.responses['127.0.0.1:2', '/undrain'] = 409, b'{}'
    run_command('drain', 'router', '127.0.0.1:2')
    run_command(
        'undrain', 'router', '127.0.0.1:2', error_kind=ErrorKind.NOT_READY
    )


def test_store_faults(backends: FakeBackends, files: Path) -> None:
    """Guards against a traceback if the table service fails.

    Also guards against a wrong statement on whether a write took effect: the
    outcome is unknown if only its response was lost.
    """
    run_command('org', *TABLES, error_kind=ErrorKind.NOT_FOUND)
    arguments = ('config', 'apply', files, '--against', '0', *TABLES)
    backends.tables.faults = ['down']
    result = run_command(*arguments, error_kind=ErrorKind.STORE_UNAVAILABLE)
    assert 'not known' not in result.stderr
    backends.tables.faults = ['', *['dropped'] * 3]
    result = run_command(*arguments, error_kind=ErrorKind.STORE_UNAVAILABLE)
    assert 'not known whether this took effect' in result.stderr


def test_new_key() -> None:
    """Guards against a digest that does not match the key.

    Routers hash the key of a request with SHA-256 and look the hexadecimal
    digest up; with any other digest they reject all requests of the key.
    """
    created = run_json_command('keys', 'new')
    digest = hashlib.sha256(created['key'].encode()).hexdigest()
    assert created['key_digest'] == digest


def test_router_runs_with_its_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a router that runs with other settings than its file.

    Also guards against an exit code of the router that does not reach the
    shell, and against a start with a file that holds no settings.
    """
    started: list[Any] = []
    codes = [0, 1]

    def run_router(settings: RouterSettings) -> int:
        started.append(settings)
        return codes.pop(0)

    monkeypatch.setattr(_clients, 'run_router', run_router)
    path = EXAMPLES / 'ramps' / 'routers' / 'ramp-1.yaml'
    run_command('router', '--settings', path)
    assert started[0].router_id == 'ramp-1'
    # A stop that aborted requests must not look like a graceful one.
    result = CliRunner().invoke(app, ['router', '--settings', str(path)])
    assert result.exit_code == 1
    bad = EXAMPLES / 'ramps' / 'base.yaml'
    run_command(
        'router', '--settings', bad, error_kind=ErrorKind.SETTINGS_INVALID
    )


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
        'explain',
    ],
)
def test_help_has_an_example(command: str) -> None:
    """Guards against a command that is missing or has no example.

    Most commands are registered in another module than their functions, and
    the example is given there, so a new command may lack either.
    """
    text = run_command(*command.split(), '--help').stdout
    assert f'Example: dotterelhatch {command}' in ' '.join(text.split())


def test_schema() -> None:
    """Guards against a schema that is not valid JSON or has no properties.

    An editor that cannot read the schema neither completes nor checks the
    file.
    """
    for name in ('base', 'overlay', 'router'):
        assert json.loads(run_command('schema', name).stdout)['properties']
