"""Options, output and errors that the commands share."""

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
    'ErrorGroup',
    'FilesArgument',
    'JsonOption',
    'OptionalRoutersOption',
    'RoutersOption',
    'SiteOption',
    'TablesOption',
    'figure_age',
    'figure_value',
    'find_current',
    'format_age',
    'format_time',
    'show',
    'show_table',
    'use_store',
)

_Result = TypeVar('_Result')
_JSON_KEY = 'dotterelhatch.json'


def _note_json(context: typer.Context, as_json: bool) -> bool:
    context.meta[_JSON_KEY] = as_json
    return as_json


JsonOption = Annotated[
    bool,
    typer.Option('--json', callback=_note_json, help='Print JSON.'),
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
        help='Name kept with the version.',
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


class ErrorGroup(TyperGroup):
    """Prints errors of the closed list and sets their exit code."""

    def invoke(self, ctx: Any) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except DotterelhatchError as error:
            raise _report(ctx, error) from error
        except PlatformError as error:
            raise _report(ctx, _translate(error)) from error


def _report(context: Any, error: DotterelhatchError) -> typer.Exit:
    text = f'error: {error}'
    if error.executed is Executed.UNKNOWN:
        text = f'{text} (it is not known whether this took effect)'
    if context.meta.get(_JSON_KEY):
        text = json.dumps(
            {
                'code': error.kind.value,
                'detail': error.detail,
                'executed': error.executed.value,
            }
        )
    typer.echo(text, err=True)
    return typer.Exit(error.spec.exit_code)


def _translate(error: PlatformError) -> DotterelhatchError:
    executed = Executed.NO
    if isinstance(error, WriteOutcomeUnknown):
        executed = Executed.UNKNOWN
    return DotterelhatchError(
        ErrorKind.STORE_UNAVAILABLE,
        f'the table service gave no answer: {error}',
        executed,
    )


def use_store(
    tables_url: str, work: Callable[[ConfigStore], Awaitable[_Result]]
) -> _Result:
    """Return the result of work on the configuration store."""
    return _clients.run(_work_on_store(tables_url, work))


def find_current(tables_url: str) -> StoredConfig:
    """Return the stored configuration.

    :raises DotterelhatchError: NOT_FOUND when there is none.
    """
    stored = use_store(tables_url, ConfigStore.read)
    if stored is None:
        raise DotterelhatchError(
            ErrorKind.NOT_FOUND, f'{tables_url} holds no configuration'
        )
    return stored


def show(as_json: bool, content: Any, lines: Iterable[str]) -> None:
    """Print the content as JSON, or the lines."""
    if as_json:
        typer.echo(json.dumps(content, indent=2, sort_keys=True))
        return
    for line in lines:
        typer.echo(line)


def show_table(
    as_json: bool,
    rows: Sequence[dict[str, Any]],
    source: str,
    columns: Sequence[str],
) -> None:
    """Print rows with the place and time that they come from.

    :param source: where the rows were read.
    """
    read_at = format_time(_clients.now_seconds())
    if as_json:
        show(True, {'source': source, 'read_at': read_at, 'rows': rows}, ())
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


def figure_value(figure: Any) -> Any:
    """Return the value of a figure of a status, None when it is unknown."""
    return figure.get('value') if isinstance(figure, dict) else None


def figure_age(figure: Any) -> float | None:
    """Return the age of a figure of a status in seconds."""
    return figure.get('age_seconds') if isinstance(figure, dict) else None


def format_time(seconds: float) -> str:
    """Return a time in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def format_age(seconds: float | None) -> str:
    """Return an age, or that it is not known."""
    return 'unknown' if seconds is None else f'{seconds:.1f} s'


async def _work_on_store(
    tables_url: str, work: Callable[[ConfigStore], Awaitable[_Result]]
) -> _Result:
    async with _clients.open_tables(tables_url) as tables:
        return await work(ConfigStore(tables, _clients.now_seconds))


def _format_cell(cell: Any) -> str:
    if cell is None:
        return 'unknown'
    if isinstance(cell, float):
        return f'{cell:g}'
    return str(cell)
