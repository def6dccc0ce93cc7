"""Command line: runs load patterns with every policy (``python -m emulator``).

The worth of a request is the score of a response in time.
"""

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
    """Return the statistics of one run."""
    possible_worth: dict[str, float] = defaultdict(float)
    achieved_worth: dict[str, float] = defaultdict(float)
    for outcome in outcomes:
        for key in ('all', outcome.kind.name, outcome.organisation):
            possible_worth[key] += outcome.kind.worth
            achieved_worth[key] += outcome.worth
    shares = {
        key: achieved_worth[key] / possible_worth[key] for key in possible_worth
    }
    organisations = [
        share for key, share in shares.items() if key.startswith('org-')
    ]
    first_event_times = [
        outcome.first_event_seconds
        for outcome in outcomes
        if outcome.first_event_seconds
    ]
    return {
        'worth': shares['all'],
        'worst kind': min(
            share
            for key, share in shares.items()
            if key != 'all' and not key.startswith('org-')
        ),
        'worst tenth': float(np.quantile(organisations, 0.1)),
        'refused': float(
            np.mean(
                [outcome.first_event_seconds is None for outcome in outcomes]
            )
        ),
        'first p50 s': float(np.quantile(first_event_times, 0.5)),
        'first p95 s': float(np.quantile(first_event_times, 0.95)),
    }


def worth_ratio_by_second(outcomes: list[Outcome]) -> list[float]:
    """Return the achieved part of the possible worth, by second of sending."""
    possible_worth: dict[int, float] = defaultdict(float)
    achieved_worth: dict[int, float] = defaultdict(float)
    for outcome in outcomes:
        possible_worth[int(outcome.sent_seconds)] += outcome.kind.worth
        achieved_worth[int(outcome.sent_seconds)] += outcome.worth
    return [
        achieved_worth[second] / possible_worth[second]
        for second in sorted(possible_worth)
    ]


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
    """Run load patterns with every policy and print a table."""
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
                curves[name, policy] = worth_ratio_by_second(
                    simulation.outcomes
                )
            table[f'{name} {policy}'] = {
                key: float(np.mean([run[key] for run in runs]))
                for key in runs[0]
            }
    typer.echo('\r' + ' ' * 60 + '\r', nl=False, err=True)
    typer.echo(json.dumps(table) if as_json else _format(table))
    if plot is not None:
        _plot(curves, plot)


def _progress(label: str, second: int) -> None:
    typer.echo(f'\r{label}: {second} s   ', nl=False, err=True)


def _format(table: dict[str, dict[str, float]]) -> str:
    columns = list(next(iter(table.values())))
    lines = [f'{"":34}' + ''.join(f'{column:>13}' for column in columns)]
    for name, row in table.items():
        cells = ''.join(f'{row[column]:13.3f}' for column in columns)
        lines.append(f'{name:34}{cells}')
    return '\n'.join(lines)


def _plot(curves: dict[tuple[str, str], list[float]], path: Path) -> None:
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
        axis.set_ylabel('achieved / possible worth')
    axes[0, 0].legend(fontsize=8)
    axes[-1, 0].set_xlabel('second')
    figure.tight_layout()
    figure.savefig(path, dpi=80)


if __name__ == '__main__':
    typer.run(main)
