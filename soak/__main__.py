"""Runs the soak test with several seeds: ``python -m soak --seeds 50``."""

import random
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import typer

from soak.faults import FAULTS, FLOODS, REFUSALS, RESTORES, Fault
from soak.run import SoakSettings, run_soak

__all__ = ('main',)

_SEED_BITS_COUNT = 24


def main(
    seeds: Annotated[
        int, typer.Option(help='Number of random seeds to run.')
    ] = 10,
    seed: Annotated[
        list[int] | None,
        typer.Option(
            help='Seed to run instead of random ones; may be repeated.'
        ),
    ] = None,
    seconds: Annotated[
        float, typer.Option(help='Duration of the fault injection in seconds.')
    ] = 12,
    refusals: Annotated[
        bool,
        typer.Option(help='The store refuses one router after the other.'),
    ] = False,
    restores: Annotated[
        bool, typer.Option(help='The store comes back from older copies.')
    ] = False,
    floods: Annotated[
        bool, typer.Option(help='Many callers keep to one router.')
    ] = False,
    folder: Annotated[
        Path | None, typer.Option(help='Directory for settings and logs.')
    ] = None,
) -> None:
    """Run the soak test for each seed and print its result."""
    log_directory = folder or Path(tempfile.mkdtemp(prefix='soak-'))
    run_seeds = seed or [
        random.getrandbits(_SEED_BITS_COUNT) for _ in range(seeds)
    ]
    failed_count = 0
    for run_seed in run_seeds:
        result = run_soak(
            SoakSettings(
                run_seed,
                log_directory / str(run_seed),
                seconds,
                _faults(refusals=refusals, restores=restores, floods=floods),
            )
        )
        failed_count += bool(result.problems)
        verdict = 'FAILED' if result.problems else 'passed'
        typer.echo(f'seed {run_seed}: {verdict}, requests {result.outcomes}')
        if result.problems:
            typer.echo(f'  faults: {", ".join(result.faults)}')
            for problem in result.problems[:10]:
                typer.echo(f'  {problem}')
    typer.echo(f'{len(run_seeds) - failed_count} passed, {failed_count} failed')
    typer.echo(f'logs: {log_directory}')
    raise typer.Exit(min(1, failed_count))


def _faults(
    *, refusals: bool, restores: bool, floods: bool
) -> Mapping[str, Fault]:
    if refusals:
        return REFUSALS
    if restores:
        return RESTORES
    return FLOODS if floods else FAULTS


if __name__ == '__main__':
    typer.run(main)
