"""Runs load patterns over policies and seeds: ``python -m emulator``."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Annotated

import numpy as np
import typer

from emulator.patterns import PATTERNS
from emulator.policies import POLICIES
from emulator.simulation import Outcome, Simulation

__all__ = ('main', 'summarise')


def summarise(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the figures of one run."""
    owed: dict[str, float] = defaultdict(float)
    earned: dict[str, float] = defaultdict(float)
    for one in outcomes:
        for key in ('all', one.kind.name, one.organisation):
            owed[key] += one.kind.worth
            earned[key] += one.worth
    shares = {key: earned[key] / owed[key] for key in owed}
    organisations = [
        share for key, share in shares.items() if key.startswith('org-')
    ]
    firsts = [one.first_seconds for one in outcomes if one.first_seconds]
    return {
        'worth': shares['all'],
        'worst kind': min(
            share
            for key, share in shares.items()
            if key != 'all' and not key.startswith('org-')
        ),
        'worst tenth': float(np.quantile(organisations, 0.1)),
        'refused': float(
            np.mean([one.first_seconds is None for one in outcomes])
        ),
        'first p50 s': float(np.quantile(firsts, 0.5)),
        'first p95 s': float(np.quantile(firsts, 0.95)),
    }


def worth_by_second(outcomes: list[Outcome]) -> list[float]:
    """Return earned over owed worth of the requests of each second."""
    owed: dict[int, float] = defaultdict(float)
    earned: dict[int, float] = defaultdict(float)
    for one in outcomes:
        owed[int(one.began_seconds)] += one.kind.worth
        earned[int(one.began_seconds)] += one.worth
    return [earned[second] / owed[second] for second in sorted(owed)]


def main(
    patterns: Annotated[
        list[str] | None, typer.Argument(help='Patterns; all if none.')
    ] = None,
    seeds: Annotated[int, typer.Option(help='Seeds per pattern.')] = 2,
    seconds: Annotated[float, typer.Option(help='Length of a run.')] = 30,
    plot: Annotated[
        Path | None, typer.Option(help='Where to write a plot.')
    ] = None,
    as_json: Annotated[
        bool, typer.Option('--json', help='Print JSON.')
    ] = False,
) -> None:
    """Play load patterns with every policy and print a table."""
    names = patterns or list(PATTERNS)
    unknown = set(names) - PATTERNS.keys()
    if unknown:
        typer.echo(f'error: unknown patterns: {sorted(unknown)}', err=True)
        raise typer.Exit(2)
    table = {}
    curves = {}
    for name in names:
        for policy in POLICIES:
            runs = []
            for seed in range(1, seeds + 1):
                simulation = Simulation(PATTERNS[name], policy, seed)
                label = f'{name} {policy} seed {seed}'
                simulation.run(
                    seconds, lambda at, label=label: _progress(label, at)
                )
                runs.append(summarise(simulation.outcomes))
                curves[name, policy] = worth_by_second(simulation.outcomes)
            table[f'{name} {policy}'] = {
                key: float(np.mean([run[key] for run in runs]))
                for key in runs[0]
            }
    typer.echo('\r' + ' ' * 60 + '\r', nl=False, err=True)
    typer.echo(json.dumps(table) if as_json else _format(table))
    if plot is not None:
        _draw(curves, plot)


def _progress(label: str, second: int) -> None:
    typer.echo(f'\r{label}: {second} s   ', nl=False, err=True)


def _format(table: dict[str, dict[str, float]]) -> str:
    columns = list(next(iter(table.values())))
    lines = [f'{"":34}' + ''.join(f'{one:>13}' for one in columns)]
    for name, row in table.items():
        cells = ''.join(f'{row[one]:13.3f}' for one in columns)
        lines.append(f'{name:34}{cells}')
    return '\n'.join(lines)


def _draw(curves: dict[tuple[str, str], list[float]], path: Path) -> None:
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    names = sorted({name for name, _ in curves})
    figure, axes = pyplot.subplots(
        len(names), 1, figsize=(8, 2 * len(names)), squeeze=False
    )
    for axis, name in zip(axes[:, 0], names, strict=True):
        for policy in POLICIES:
            axis.plot(curves[name, policy], label=policy)
        axis.set_title(name, fontsize=9)
        axis.set_ylim(0, 1.05)
        axis.set_ylabel('worth / owed')
    axes[0, 0].legend(fontsize=8)
    axes[-1, 0].set_xlabel('second')
    figure.tight_layout()
    figure.savefig(path, dpi=80)


if __name__ == '__main__':
    typer.run(main)
