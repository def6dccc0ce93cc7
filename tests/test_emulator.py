"""Load patterns replayed on the emulator."""

import json
from pathlib import Path

import typer
from typer.testing import CliRunner

from emulator.__main__ import main, summarise
from emulator.engine import Engine, EngineRequest
from emulator.patterns import PATTERNS
from emulator.simulation import Outcome, Simulation

SECONDS = 22


def _play(pattern: str, policy: str, seed: int = 3) -> list[Outcome]:
    simulation = Simulation(PATTERNS[pattern], policy, seed)
    simulation.run(SECONDS)
    return [one for one in simulation.outcomes if one.began_seconds > 10]


def test_an_engine_reads_in_order_and_keeps_shared_parts() -> None:
    """Guards against an emulator that flatters the decisions."""
    engine = Engine()
    first = EngineRequest((('thing', 5000), ('a', 100)), 10)
    second = EngineRequest((('thing', 5000), ('b', 100)), 10)
    engine.submit(first, 0)
    engine.advance(1)
    engine.submit(second, 1)
    engine.advance(2)
    assert first.first_seconds is not None
    assert second.first_seconds is not None
    # 5,100 tokens take 5 chunks of about 21 ms, the second request one step.
    assert 0.09 < first.first_seconds < 0.2
    assert second.first_seconds - 1 < 0.03
    assert engine.read_tokens == 5200


def test_a_burst_is_served_better_than_by_the_baseline() -> None:
    """Load pattern: twice the load of all kinds for ten seconds."""
    gateway = summarise(_play('burst', 'gateway'))
    baseline = summarise(_play('burst', 'least-requests'))
    assert gateway['worth'] > baseline['worth'] + 0.2
    assert gateway['worst kind'] > baseline['worst kind']
    assert gateway['first p95 s'] < 1.0


def test_a_hot_organisation_does_not_starve_the_others() -> None:
    """Load pattern: one organisation sends eight times its usual."""
    outcomes = _play('hot-organisation', 'gateway')
    others = [one for one in outcomes if one.organisation != 'org-0']
    assert summarise(others)['worth'] > 0.75
    assert summarise(outcomes)['worth'] < summarise(others)['worth']


def test_requests_about_a_hot_thing_are_served() -> None:
    """Load pattern: a third of the requests are about one thing."""
    assert summarise(_play('hot-thing', 'gateway'))['worst kind'] > 0.4


def test_a_slow_engine_costs_no_more_than_its_part() -> None:
    """Load pattern: one engine of five runs five times slower."""
    outcomes = _play('slow-engine', 'gateway')
    assert summarise(outcomes)['worth'] > 0.5


def test_a_lost_router_costs_little() -> None:
    """Load pattern: three routers of four under a burst."""
    with_all = summarise(_play('burst', 'gateway'))
    without_one = summarise(_play('lost-router', 'gateway'))
    assert without_one['worth'] > with_all['worth'] - 0.1


def test_refused_requests_are_refused_at_once() -> None:
    """Guards against requests that are held and then refused."""
    refused = [
        one
        for one in _play('burst', 'gateway')
        if one.first_seconds is None and one.began_seconds < SECONDS - 5
    ]
    assert refused
    assert all(one.refusals_count for one in refused)


def test_the_program_prints_a_table_and_draws_a_plot(tmp_path: Path) -> None:
    """Guards against a program that only its author can run."""
    program = typer.Typer()
    program.command()(main)
    plot = tmp_path / 'plot.png'
    arguments = ['calm', '--seeds', '1', '--seconds', '3', '--json']
    ended = CliRunner().invoke(program, [*arguments, '--plot', str(plot)])
    assert ended.exit_code == 0
    assert set(json.loads(ended.stdout)) == {
        'calm gateway',
        'calm least-requests',
    }
    assert plot.stat().st_size > 1000
    assert CliRunner().invoke(program, ['unknown']).exit_code == 2
