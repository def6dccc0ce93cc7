"""Commands that read logs and settings of gateway processes."""

import json
from pathlib import Path

import typer
from typer.testing import CliRunner

from dotterelhatch.cli import app
from dotterelhatch.errors import ERROR_SPECS, ErrorKind
from dotterelhatch.platform.check import main
from tests.test_platform_adapter import SETTINGS

LINES = (
    {
        'event': 'failed',
        'timestamp': '2026-01-01T00:00:03',
        'router': 'r1',
        'request_id': 'q',
        'reason': 'target_failed',
    },
    {
        'event': 'placed',
        'timestamp': '2026-01-01T00:00:01',
        'router': 'r1',
        'request_id': 'q',
        'target': 't1',
    },
    {
        'event': 'target_suspected',
        'timestamp': '2026-01-01T00:00:02',
        'router': 'r2',
        'target': 't1',
    },
    {
        'event': 'placed',
        'timestamp': '2026-01-01T00:00:02',
        'router': 'r2',
        'request_id': 'other',
        'target': 't1',
    },
)


def _write(folder: Path) -> list[str]:
    names = []
    for index, line in enumerate(LINES):
        path = folder / f'{index}.log'
        path.write_text(f'noise\n 1.5 r1 {json.dumps(line)}\n{{"event": "cu')
        names.append(str(path))
    return names


def test_the_lines_about_a_request_are_put_in_order(tmp_path: Path) -> None:
    """Guards against a cause that stands in the log of another router."""
    ended = CliRunner().invoke(app, ['trace', 'q', *_write(tmp_path)])
    assert ended.exit_code == 0
    events = [line.split()[2] for line in ended.output.splitlines()]
    assert events == ['placed:', 'target_suspected:', 'failed:']
    assert 'reason=target_failed' in ended.output


def test_the_story_is_printed_as_json_from_standard_input() -> None:
    """Guards against a command that only people can use."""
    lines = '\n'.join(json.dumps(line) for line in LINES)
    ended = CliRunner().invoke(app, ['trace', 'q', '--json'], input=lines)
    assert [line['event'] for line in json.loads(ended.output)] == [
        'placed',
        'target_suspected',
        'failed',
    ]


def test_an_unknown_request_and_a_missing_file_are_errors(
    tmp_path: Path,
) -> None:
    """Guards against an empty answer that looks like a story."""
    names = _write(tmp_path)
    ended = CliRunner().invoke(app, ['trace', 'absent', *names])
    assert ended.exit_code == ERROR_SPECS[ErrorKind.NOT_FOUND].exit_code
    ended = CliRunner().invoke(app, ['trace', 'q', str(tmp_path / 'no.log')])
    assert ended.exit_code == ERROR_SPECS[ErrorKind.BAD_REQUEST].exit_code


def test_a_settings_file_is_checked(tmp_path: Path) -> None:
    """Guards against wrong settings that show only on the machine."""
    program = typer.Typer()
    program.command()(main)
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    ended = CliRunner().invoke(program, [str(path), '--json'])
    assert ended.exit_code == 0
    assert json.loads(ended.output)['router_id'] == 'edge-konya-1'
    path.write_text(SETTINGS.replace('zone = "konya"', ''))
    ended = CliRunner().invoke(program, [str(path), '--json'])
    assert ended.exit_code == ERROR_SPECS[ErrorKind.SETTINGS_INVALID].exit_code
    assert 'zone' in json.loads(ended.output)['problems'][0]
