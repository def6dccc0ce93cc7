"""Runs a router process with a baseline scheduling policy."""

import pathlib
import sys
from typing import Annotated

import typer

from benchmarks.baselines import make_node_factory
from dotterelhatch.daemon import run_router
from dotterelhatch.settingsfile import load_settings


def main(
    policy: Annotated[str, typer.Option()],
    settings: Annotated[pathlib.Path, typer.Option()],
    routers: Annotated[int, typer.Option()] = 4,
) -> None:
    """Run the router until it receives a termination signal."""
    make_node = make_node_factory(policy, routers)
    sys.exit(run_router(load_settings(settings), make_node))


if __name__ == '__main__':
    typer.run(main)
