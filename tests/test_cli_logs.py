"""Tests of the commands that read logs and settings of gateways."""

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


def write_logs(folder: Path) -> list[str]:
    paths = []
    for index, line in enumerate(LINES):
        path = folder / f'{index}.log'
        path.write_text(f'noise\n 1.5 r1 {json.dumps(line)}\n{{"event": "cu')
        paths.append(str(path))
    return paths


def test_trace_orders_lines_of_all_routers(tmp_path: Path) -> None:
    """Guards against a trace that omits the cause of a failure.

    The cause may be in the log of another router than the failed request.
    """
    result = CliRunner().invoke(app, ['trace', 'q', *write_logs(tmp_path)])
    assert result.exit_code == 0
    events = [line.split()[2] for line in result.output.splitlines()]
    assert events == ['placed:', 'target_suspected:', 'failed:']
    assert 'reason=target_failed' in result.output


def test_trace_reads_standard_input_and_prints_json() -> None:
    """Guards against a trace that can't be used in a pipeline of programs.

    Without files the logs come from standard input, and another program
    reads the JSON.
    """
    lines = '\n'.join(json.dumps(line) for line in LINES)
    result = CliRunner().invoke(app, ['trace', 'q', '--json'], input=lines)
    assert [line['event'] for line in json.loads(result.output)] == [
        'placed',
        'target_suspected',
        'failed',
    ]


def test_unknown_request_and_missing_file_are_errors(
    tmp_path: Path,
) -> None:
    """Guards against an empty trace that looks like a success.

    A mistyped id or path finds no lines, which would otherwise read as a
    request without any decisions.
    """
    paths = write_logs(tmp_path)
    result = CliRunner().invoke(app, ['trace', 'absent', *paths])
    assert result.exit_code == ERROR_SPECS[ErrorKind.NOT_FOUND].exit_code
    result = CliRunner().invoke(app, ['trace', 'q', str(tmp_path / 'no.log')])
    assert result.exit_code == ERROR_SPECS[ErrorKind.BAD_REQUEST].exit_code


def test_settings_file_is_checked(tmp_path: Path) -> None:
    """Guards against invalid settings that show only when a gateway starts.

    The check must reject a file for the same problems as the gateway does:
    here a required setting is missing.
    """
    program = typer.Typer()
    program.command()(main)
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    result = CliRunner().invoke(program, [str(path), '--json'])
    assert result.exit_code == 0
    assert json.loads(result.output)['router_id'] == 'edge-konya-1'
    path.write_text(SETTINGS.replace('zone = "konya"', ''))
    result = CliRunner().invoke(program, [str(path), '--json'])
    assert result.exit_code == ERROR_SPECS[ErrorKind.SETTINGS_INVALID].exit_code
    assert 'zone' in json.loads(result.output)['problems'][0]
