"""Keeps an example running until Ctrl-C: ``python -m demo.serve``."""

import signal
from typing import Annotated

import typer

from demo.launcher import LocalFleet

__all__ = ('main',)


def main(
    example: Annotated[
        str, typer.Argument(help='Directory below examples/.')
    ] = 'workshops',
    port_offset: Annotated[int, typer.Option(help='Added to every port.')] = 0,
) -> None:
    """Start the stand-ins and routers of an example and keep them running."""
    # A shell that starts this in the background may have SIGINT ignored.
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, signal.default_int_handler)
    typer.echo(f'starting the example {example}')
    try:
        with LocalFleet(example, port_offset=port_offset) as fleet:
            _print_addresses(fleet)
            _wait_for_interrupt()
            _stop_routers(fleet)
    except KeyboardInterrupt:
        typer.echo('\nkilled without a graceful stop')


def _print_addresses(fleet: LocalFleet) -> None:
    for router in fleet.routers:
        typer.echo(
            f'{router.name} in {router.failure_domain}: callers '
            f'{router.caller_address}, operations {router.operations_address}'
        )
    typer.echo(f'platform: http://{fleet.platform_address}')
    typer.echo(f'logs: {fleet.log_directory}')
    typer.echo('running until Ctrl-C')


def _wait_for_interrupt() -> None:
    try:
        signal.pause()
    except KeyboardInterrupt:
        typer.echo('\nstopping gracefully, about 15 s; Ctrl-C kills at once')


def _stop_routers(fleet: LocalFleet) -> None:
    codes = fleet.stop_routers()
    typer.echo(f'exit codes of the routers: {codes}')


if __name__ == '__main__':
    typer.run(main)
