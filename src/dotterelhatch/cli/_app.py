"""The application of the command line interface with all its commands."""

from typing import Annotated

import typer

from dotterelhatch.cli import _explain, _fleet, _logs, _routers
from dotterelhatch.cli._common import ErrorReportingGroup
from dotterelhatch.cli._config import config_app
from dotterelhatch.version import VERSION

__all__ = ('app',)

app = typer.Typer(
    cls=ErrorReportingGroup,
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
    help='Routers that share model servers and plain services fairly.',
    epilog='Example: dotterelhatch status --router 127.0.0.1:20012',
)
_TABLES_EXAMPLE = '--tables http://127.0.0.1:20901'


def _print_version(is_requested: bool) -> None:
    if is_requested:
        typer.echo(VERSION)
        raise typer.Exit


@app.callback()
def _main(
    version: Annotated[
        bool,
        typer.Option(
            '--version',
            callback=_print_version,
            is_eager=True,
            help='Print the version.',
        ),
    ] = False,
) -> None:
    """Routers that share model servers and plain services fairly."""


def _make_group(text: str) -> typer.Typer:
    return typer.Typer(no_args_is_help=True, help=text)


def _format_example(text: str) -> str:
    return f'Example: dotterelhatch {text}'


_drain_group = _make_group('Stop new requests to a target or a router.')
_drain_group.command(
    'target',
    epilog=_format_example(f'drain target usta-model-1 {_TABLES_EXAMPLE}'),
)(_fleet.drain_target)
_drain_group.command(
    'router', epilog=_format_example('drain router 127.0.0.1:20012')
)(_routers.drain_router)
_undrain_group = _make_group('Put a target or a router back in use.')
_undrain_group.command(
    'target',
    epilog=_format_example(f'undrain target usta-model-1 {_TABLES_EXAMPLE}'),
)(_fleet.undrain_target)
_undrain_group.command(
    'router', epilog=_format_example('undrain router 127.0.0.1:20012')
)(_routers.undrain_router)

app.command('router', epilog=_format_example('router --settings router.yaml'))(
    _routers.run_router
)
app.add_typer(config_app, name='config')
app.command('org', epilog=_format_example(f'org {_TABLES_EXAMPLE}'))(
    _fleet.list_organisations
)
app.command(
    'service', epilog=_format_example(f'service --site konya {_TABLES_EXAMPLE}')
)(_fleet.list_services)
app.command(
    'status', epilog=_format_example('status --router 127.0.0.1:20012')
)(_routers.print_status)
app.command('dump', epilog=_format_example('dump 127.0.0.1:20012'))(
    _routers.print_dump
)
app.command(
    'explain',
    epilog=_format_example(
        "explain 10.1.0.33:9464 /draft/1 -H 'Host: hatch.example' "
        '--organisation usta-kazim'
    ),
)(_explain.explain_request)
app.command(
    'trace', epilog=_format_example('trace 9c41d07be2a35f68 router-*.log')
)(_logs.trace_request)
app.add_typer(_drain_group, name='drain')
app.add_typer(_undrain_group, name='undrain')
app.add_typer(_fleet.keys_app, name='keys')
app.command('schema', epilog=_format_example('schema base > base.schema.json'))(
    _fleet.print_schema
)
