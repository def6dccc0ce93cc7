"""The commands of the program, put together."""

from typing import Annotated

import typer

from dotterelhatch.cli import _fleet, _logs, _routers
from dotterelhatch.cli._common import ErrorGroup
from dotterelhatch.cli._config import config_app
from dotterelhatch.version import VERSION

__all__ = ('app',)

app = typer.Typer(
    cls=ErrorGroup,
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
    help='Routers that share model servers and plain services fairly.',
    epilog='Example: dotterelhatch status --router 127.0.0.1:20012',
)
_TABLES = '--tables http://127.0.0.1:20901'


def _print_version(is_wanted: bool) -> None:
    if is_wanted:
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


def _make_drain_app(text: str) -> typer.Typer:
    return typer.Typer(no_args_is_help=True, help=text)


def _example(text: str) -> str:
    return f'Example: dotterelhatch {text}'


_drain = _make_drain_app('Stop new work for a target or a router.')
_drain.command(
    'target', epilog=_example(f'drain target usta-model-1 {_TABLES}')
)(_fleet.drain_target)
_drain.command('router', epilog=_example('drain router 127.0.0.1:20012'))(
    _routers.drain_router
)
_undrain = _make_drain_app('Put a target or a router back in use.')
_undrain.command(
    'target', epilog=_example(f'undrain target usta-model-1 {_TABLES}')
)(_fleet.undrain_target)
_undrain.command('router', epilog=_example('undrain router 127.0.0.1:20012'))(
    _routers.undrain_router
)

app.command('router', epilog=_example('router --settings router.yaml'))(
    _routers.run_router
)
app.add_typer(config_app, name='config')
app.command('org', epilog=_example(f'org {_TABLES}'))(_fleet.list_organisations)
app.command('service', epilog=_example(f'service --site konya {_TABLES}'))(
    _fleet.list_services
)
app.command('status', epilog=_example('status --router 127.0.0.1:20012'))(
    _routers.print_status
)
app.command('dump', epilog=_example('dump 127.0.0.1:20012'))(
    _routers.print_dump
)
app.command('trace', epilog=_example('trace 9c41d07be2a35f68 router-*.log'))(
    _logs.trace_request
)
app.add_typer(_drain, name='drain')
app.add_typer(_undrain, name='undrain')
app.add_typer(_fleet.keys_app, name='keys')
app.command('schema', epilog=_example('schema base > base.schema.json'))(
    _fleet.print_schema
)
