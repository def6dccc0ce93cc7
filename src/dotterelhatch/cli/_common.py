"""Options, output and error handling shared by the commands."""

import datetime
import json
from collections.abc import Awaitable, Callable, Iterable, Sequence
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
from typer.core import TyperGroup

from dotterelhatch.cli import _clients
from dotterelhatch.configstore import ConfigStore, StoredConfig
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.backing.interfaces import (
    PlatformError,
    WriteOutcomeUnknown,
)

__all__ = (
    'AuthorOption',
    'ErrorReportingGroup',
    'FilesArgument',
    'JsonOption',
    'OptionalRoutersOption',
    'RoutersOption',
    'SiteOption',
    'TablesOption',
    'format_age',
    'format_time',
    'print_output',
    'print_table',
    'read_current_config',
    'reported_age_seconds',
    'reported_value',
    'run_with_store',
)

_Result = TypeVar('_Result')
# The application reports the errors of all commands, but only a command gets
# the option. Both share the metadata of the context.
_JSON_META_KEY = 'dotterelhatch.json'


def _store_json_flag(context: typer.Context, as_json: bool) -> bool:
    context.meta[_JSON_META_KEY] = as_json
    return as_json


JsonOption = Annotated[
    bool,
    typer.Option('--json', callback=_store_json_flag, help='Print JSON.'),
]
TablesOption = Annotated[
    str,
    typer.Option(
        '--tables',
        envvar='DOTTERELHATCH_TABLES',
        help='URL of the table service, http://ip:port.',
    ),
]
AuthorOption = Annotated[
    str,
    typer.Option(
        '--author',
        envvar=['DOTTERELHATCH_AUTHOR', 'USER'],
        help='Name stored with the version.',
    ),
]
RoutersOption = Annotated[
    list[str],
    typer.Option(
        '--router', help='Operations address ip:port; may be repeated.'
    ),
]
OptionalRoutersOption = Annotated[
    list[str] | None,
    typer.Option(
        '--router', help='Operations address ip:port; may be repeated.'
    ),
]
SiteOption = Annotated[
    str | None,
    typer.Option('--site', help='Failure domain whose overlay applies.'),
]
FilesArgument = Annotated[
    Path,
    typer.Argument(help='Directory with base.yaml and overlays/<site>.yaml.'),
]


class ErrorReportingGroup(TyperGroup):
    """Prints the error of a command and exits with the code of its kind."""

    def invoke(self, ctx: Any) -> Any:
        """Run a command and report its errors."""
        try:
            return super().invoke(ctx)
        except DotterelhatchError as error:
            raise _report_error(ctx, error) from error
        except PlatformError as error:
            raise _report_error(ctx, _to_store_error(error)) from error


def _report_error(context: Any, error: DotterelhatchError) -> typer.Exit:
    text = f'error: {error}'
    if error.executed is Executed.UNKNOWN:
        text = f'{text} (it is not known whether this took effect)'
    if context.meta.get(_JSON_META_KEY):
        text = json.dumps(
            {
                'code': error.kind.value,
                'detail': error.detail,
                'executed': error.executed.value,
            }
        )
    typer.echo(text, err=True)
    return typer.Exit(error.spec.exit_code)


def _to_store_error(error: PlatformError) -> DotterelhatchError:
    executed = Executed.NO
    if isinstance(error, WriteOutcomeUnknown):
        executed = Executed.UNKNOWN
    return DotterelhatchError(
        ErrorKind.STORE_UNAVAILABLE,
        f'the table service did not respond: {error}',
        executed,
    )


def run_with_store(
    tables_url: str, operation: Callable[[ConfigStore], Awaitable[_Result]]
) -> _Result:
    """Return the result of an operation on the configuration store."""
    return _clients.run(_call_with_store(tables_url, operation))


def read_current_config(tables_url: str) -> StoredConfig:
    """Return the stored configuration.

    :raises DotterelhatchError: NOT_FOUND when there is none.
    """
    stored = run_with_store(tables_url, ConfigStore.read)
    if stored is None:
        raise DotterelhatchError(
            ErrorKind.NOT_FOUND, f'no configuration is stored at {tables_url}'
        )
    return stored


def print_output(as_json: bool, content: Any, lines: Iterable[str]) -> None:
    """Print the content as JSON if ``as_json`` is set, else the lines."""
    if as_json:
        typer.echo(json.dumps(content, indent=2, sort_keys=True))
        return
    for line in lines:
        typer.echo(line)


def print_table(
    as_json: bool,
    rows: Sequence[dict[str, Any]],
    source: str,
    columns: Sequence[str],
) -> None:
    """Print rows with their source and the time at which they were read.

    :param source: service that the rows were read from.
    """
    read_at = format_time(_clients.now_seconds())
    if as_json:
        print_output(
            True, {'source': source, 'read_at': read_at, 'rows': rows}, ()
        )
        return
    cells = [list(columns)]
    cells.extend(
        [_format_cell(row.get(column)) for column in columns] for row in rows
    )
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        typer.echo('  '.join(padded).rstrip())
    typer.echo(f'source: {source}, read at {read_at}')


def reported_value(reported: Any) -> Any:
    """Return the value of a field of a status, None if it is unknown."""
    return reported.get('value') if isinstance(reported, dict) else None


def reported_age_seconds(reported: Any) -> float | None:
    """Return the age of a field of a status, None if it is unknown."""
    return reported.get('age_seconds') if isinstance(reported, dict) else None


def format_time(seconds: float) -> str:
    """Format a time in UTC as in ISO 8601."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def format_age(seconds: float | None) -> str:
    """Format an age in seconds, None as unknown."""
    return 'unknown' if seconds is None else f'{seconds:.1f} s'


async def _call_with_store(
    tables_url: str, operation: Callable[[ConfigStore], Awaitable[_Result]]
) -> _Result:
    async with _clients.open_tables(tables_url) as tables:
        return await operation(ConfigStore(tables, _clients.now_seconds))


def _format_cell(cell: Any) -> str:
    if cell is None:
        return 'unknown'
    if isinstance(cell, float):
        return f'{cell:g}'
    return str(cell)
