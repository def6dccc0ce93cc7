"""Prints tables and draws plots of the results of benchmarks.fleet."""

import csv
import pathlib
from typing import Annotated

import matplotlib as mpl
import typer

mpl.use('Agg')
from matplotlib import pyplot  # noqa: E402

__all__ = ('plot_gaps', 'print_summary')

_ROOT = pathlib.Path(__file__).parent.parent
_POLICY_COLOURS = {
    'product': 'C0',
    'fair-per-router': 'C1',
    'arrival-order': 'C3',
}
# Start and end within the measured time, as in benchmarks.fleet.
_TABLES_DOWN_SECONDS = (6.0, 12.0)
_ROUTER_DOWN_SECONDS = (16.0, 22.0)


def print_summary(path: pathlib.Path) -> None:
    """Print a Markdown table with mean, minimum and maximum over the seeds.

    :param path: CSV file with one row per run.
    """
    with path.open() as csv_file:
        rows = list(csv.DictReader(csv_file))
    policies = list(dict.fromkeys(row['policy'] for row in rows))
    print(f'| figure | {" | ".join(policies)} |')
    print('|---|' + '---|' * len(policies))
    for name in list(rows[0])[3:]:
        cells = []
        for policy in policies:
            values = [
                float(row[name]) for row in rows if row['policy'] == policy
            ]
            mean = sum(values) / len(values)
            cells.append(f'{mean:.4g} ({min(values):g}..{max(values):g})')
        print(f'| {name} | {" | ".join(cells)} |')


def plot_gaps(results: pathlib.Path, example: str) -> None:
    """Plot the service gap over time of all runs of an example.

    The gap is the difference in weighted service between the organisations
    that received most and least.
    """
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for policy, colour in _POLICY_COLOURS.items():
        paths = sorted(results.glob(f'{example}-{policy}-*/service.csv'))
        for number, path in enumerate(paths):
            with path.open() as csv_file:
                rows = list(csv.DictReader(csv_file))
            axes.plot(
                [float(row['seconds']) for row in rows],
                [float(row['gap']) for row in rows],
                color=colour,
                label=None if number else policy,
                linewidth=1.2,
            )
    axes.axvspan(*_TABLES_DOWN_SECONDS, color='0.9', label='table service down')
    axes.axvspan(*_ROUTER_DOWN_SECONDS, color='0.8', label='router killed')
    axes.set_xlabel('time (s)')
    axes.set_ylabel('gap of weighted service (mean requests)')
    # Logarithmic above 10, as the policies differ by an order of magnitude.
    axes.set_yscale('symlog', linthresh=10)
    axes.set_ylim(bottom=0)
    axes.legend()
    path = _ROOT / 'docs' / 'images' / f'gap-{example}.png'
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def main(
    example: Annotated[str, typer.Option()] = 'workshops',
    results: Annotated[pathlib.Path, typer.Option()] = _ROOT / 'results',
) -> None:
    """Print the table and write the plot of an example.

    :param example: name of the example directory.
    :param results: directory that benchmarks.fleet wrote its results to.
    """
    print_summary(results / f'{example}.csv')
    plot_gaps(results, example)


if __name__ == '__main__':
    typer.run(main)
