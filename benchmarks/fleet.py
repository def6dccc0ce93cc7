"""Compares the product with two baseline policies under the same load.

Each run starts all processes of an example on loopback. In the measured time
the table service is down for a while and a router is killed and started again.
"""

import csv
import json
import os
import pathlib
import sys
import threading
import time
from dataclasses import dataclass, field
from typing import Annotated, Any

import curio
import numpy as np
import typer

from benchmarks.load import Caller, LoadShape
from benchmarks.summary import plot_gaps, print_summary
from demo.launcher import EngineSpeed, LocalFleet, RouterProcess
from dotterelhatch.document import ConfigDocument, decode_document
from dotterelhatch.net.http import fetch

__all__ = ('main',)

_ROOT = pathlib.Path(__file__).parent.parent
_PORT_OFFSET = 7000
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_PRODUCT = 'product'
_POLICIES = (_PRODUCT, 'fair-per-router', 'arrival-order')
_WARM_UP_SECONDS = 6.0
_MEASURED_SECONDS = 32.0
# Moments in the measured time, which benchmarks.summary marks in the plot.
_OUTAGE_SECONDS = (6.0, 12.0)
_KILL_SECONDS = 16.0
_RESTART_SECONDS = 22.0
# Slots are expected to be full again so long after a router was lost.
_KILL_EFFECT_SECONDS = 5.0
_LOAD_LAG_SECONDS = 1.0
_LOAD_INTERVAL_SECONDS = 0.25
# The requests of the backlogged organisations are long against this limit and
# short enough for several hundred of them to end in one run.
_SHORT_REQUEST_UNITS = 50.0
_TABLES_DOWN = {'services': ['tables'], 'down': True}

_SHAPES = {
    'workshops': LoadShape(
        example='workshops',
        model='usta-model',
        plain='siparis-app',
        write_path='/deposits',
        backlogged={
            'bakir-atolyesi': 60,
            'ipek-dokuma': 45,
            'usta-kazim': 30,
            'cini-sanat': 10,
            'deri-evi': 10,
            'demirci-han': 10,
        },
        flooding='ciraklar-okulu',
        flooding_count=150,
        small=(
            'halici-ayse',
            'keman-yapim',
            'kilim-pazari',
            'kuyumcu-selin',
            'marangoz-ali',
            'nalbant-emre',
            'oya-isleri',
            'sedef-kutu',
            'tas-ustasi',
        ),
    ),
    'ramps': LoadShape(
        example='ramps',
        model='hatch-llm',
        plain='greaselog-app',
        write_path='/signoffs',
        backlogged={
            'arabian-air': 120,
            'malabar-cargo': 80,
            'coir-express': 45,
            'ramp-union': 40,
            'backwater-jets': 12,
            'cardamom-air': 12,
            'cranganore-lift': 12,
        },
        flooding='night-shift-desk',
        flooding_count=150,
        small=(
            'fort-handling',
            'idukki-avia',
            'kayal-ground',
            'nila-freight',
            'periyar-wings',
            'spice-shuttle',
            'vembanad-fuel',
            'willingdon-tow',
        ),
    ),
}
# The engines of ramps have twice the slots; the load generator is one process.
_SPEEDS = {'workshops': EngineSpeed(60.0), 'ramps': EngineSpeed(30.0)}


@dataclass
class _Sample:
    at_seconds: float
    units: dict[str, float]
    waiting: dict[str, int]


@dataclass
class _Usage:
    pid: int
    cpu_seconds: float
    resident_mib: float
    sent_bytes: int
    at_seconds: float = field(default_factory=time.monotonic)


class _Script(threading.Thread):
    """Brings about the faults and marks the measured time."""

    def __init__(self, fleet: LocalFleet, caller: Caller) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._caller = caller
        self._killed = fleet.routers[1]
        self.usage: list[tuple[_Usage, _Usage]] = []
        self.error: Exception | None = None

    def run(self) -> None:
        """Run until the end of the measured time."""
        try:
            self._run()
        except Exception as error:
            self.error = error

    def _run(self) -> None:
        time.sleep(_WARM_UP_SECONDS)
        start = time.monotonic()
        before = self._usage()
        self._caller.accounts.is_measuring = True
        self._wait(start + _OUTAGE_SECONDS[0])
        self._set_faults(_TABLES_DOWN)
        self._wait(start + _OUTAGE_SECONDS[1])
        self._set_faults({})
        self._wait(start + _KILL_SECONDS)
        self._caller.mark_down(self._killed.caller_address, down=True)
        self._fleet.kill_router(self._killed)
        self._wait(start + _RESTART_SECONDS)
        self._fleet.start_router(self._killed)
        self._fleet.wait_ready(len(self._fleet.routers))
        self._caller.mark_down(self._killed.caller_address, down=False)
        self._wait(start + _MEASURED_SECONDS)
        after = self._usage()
        self._caller.accounts.is_measuring = False
        self.usage = [
            (before[name], after[name])
            for name in before
            if name != self._killed.name
        ]

    def _wait(self, moment: float) -> None:
        time.sleep(max(0, moment - time.monotonic()))

    def _set_faults(self, faults: dict[str, Any]) -> None:
        self._fleet.put_json(self._fleet.platform_address, '/faults', faults)

    def _usage(self) -> dict[str, _Usage]:
        return {one.name: _usage_of(one) for one in self._fleet.routers}


def _usage_of(router: RouterProcess) -> _Usage:
    process = pathlib.Path(f'/proc/{router.pid}')
    # The name in the second field may contain spaces.
    fields = (process / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident_pages = int((process / 'statm').read_text().split()[1])
    answer = curio.run(fetch, router.operations_address, 'GET', '/dump')
    return _Usage(
        router.pid,
        ticks / _TICKS_PER_SECOND,
        resident_pages * os.sysconf('SC_PAGE_SIZE') / 2**20,
        int(json.loads(answer.body)['peers']['sent_bytes']),
    )


async def _sample(caller: Caller, samples: list[_Sample]) -> None:
    accounts = caller.accounts
    await curio.sleep(_WARM_UP_SECONDS)
    for _second in range(int(_MEASURED_SECONDS) + 1):
        samples.append(
            _Sample(
                time.monotonic(),
                dict(accounts.units),
                dict(accounts.waiting),
            )
        )
        await curio.sleep(1.0)


@dataclass
class _SlotUse:
    """Share of the slots in use, as the engines report it.

    The figures of the engines are those of one second before.
    """

    at_seconds: list[float] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)

    async def watch(
        self, caller: Caller, engines: list[str], slots_count: int
    ) -> None:
        """Read the load of all engines again and again."""
        await curio.sleep(_WARM_UP_SECONDS + _LOAD_LAG_SECONDS)
        start = time.monotonic()
        while True:
            loads = [await _load_of(engine) for engine in engines]
            if sum(caller.accounts.waiting.values()):
                self.at_seconds.append(time.monotonic() - start)
                self.shares.append(sum(loads) / slots_count)
            await curio.sleep(_LOAD_INTERVAL_SECONDS)

    def share(self, *, with_kill: bool) -> float:
        """Return the mean, also without the time after the kill."""
        end = _RESTART_SECONDS + _KILL_EFFECT_SECONDS
        return float(
            np.mean(
                [
                    share
                    for at, share in zip(
                        self.at_seconds, self.shares, strict=True
                    )
                    if with_kill or not _KILL_SECONDS <= at <= end
                ]
            )
        )


@dataclass
class _Run:
    """Everything that one run showed."""

    example: str
    policy: str
    seed: int
    samples: list[_Sample]
    slot_use: _SlotUse
    usage: list[tuple[_Usage, _Usage]]
    caller: Caller
    weights: dict[str, float]
    duplicates_count: int


async def _load_of(engine: str) -> int:
    answer = await fetch(engine, 'GET', '/load')
    load = json.loads(answer.body)
    return min(int(load['running_count']), int(load['slots_count']))


async def _send_load(
    caller: Caller,
    samples: list[_Sample],
    slot_use: _SlotUse,
    engines: list[str],
    slots_count: int,
) -> None:
    sampler = await curio.spawn(_sample, caller, samples, daemon=True)
    watcher = await curio.spawn(
        slot_use.watch, caller, engines, slots_count, daemon=True
    )
    await caller.run(_WARM_UP_SECONDS + _MEASURED_SECONDS + 1.0)
    await sampler.cancel()
    await watcher.cancel()


def _command_of(policy: str) -> tuple[str, ...]:
    if policy == _PRODUCT:
        return ('-m', 'dotterelhatch', 'router')
    return ('-m', 'benchmarks.baseline_router', '--policy', policy)


def _lower_short_limit(document: ConfigDocument) -> ConfigDocument:
    content = json.loads(document.model_dump_json())
    for service in content['base']['services']:
        if service['kind'] == 'model':
            service['short_request_units'] = _SHORT_REQUEST_UNITS
    return decode_document(json.dumps(content).encode())


def _run_one(example: str, policy: str, seed: int, logs: pathlib.Path) -> _Run:
    shape = _SHAPES[example]
    samples: list[_Sample] = []
    slot_use = _SlotUse()
    fleet = LocalFleet(
        example,
        _PORT_OFFSET,
        _SPEEDS[example],
        edit=_lower_short_limit,
        router_command=_command_of(policy),
    )
    with fleet:
        addresses = [one.caller_address for one in fleet.routers]
        caller = Caller(shape, addresses, seed)
        model = next(one for one in fleet.services if one.id == shape.model)
        engines = [
            fleet.control_addresses[target.id] for target in model.targets
        ]
        slots_count = sum(target.slots_count for target in model.targets)
        script = _Script(fleet, caller)
        script.start()
        curio.run(_send_load, caller, samples, slot_use, engines, slots_count)
        script.join()
        duplicates = _duplicates(fleet)
        weights = _weights(fleet)
        _keep_logs(fleet, logs)
    if script.error is not None:
        raise script.error
    return _Run(
        example,
        policy,
        seed,
        samples,
        slot_use,
        script.usage,
        caller,
        weights,
        duplicates,
    )


def _weights(fleet: LocalFleet) -> dict[str, float]:
    return {
        str(one.id): one.weight for one in fleet.document.base.organisations
    }


def _keep_logs(fleet: LocalFleet, directory: pathlib.Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for log in fleet.log_directory.glob('*.log'):
        (directory / log.name).write_bytes(log.read_bytes())


def _duplicates(fleet: LocalFleet) -> int:
    """Return how often non-idempotent work ran again, by the journals."""
    runs: dict[str, int] = {}
    for name, address in fleet.control_addresses.items():
        if not fleet.stand_in_processes[name].args[2].endswith('plain'):
            continue
        answer = curio.run(fetch, address, 'GET', '/journal')
        for entry in json.loads(answer.body)['writes']:
            key = str(entry['key'])
            runs[key] = runs.get(key, 0) + 1
    return sum(count - 1 for count in runs.values())


def _gaps(run: _Run) -> list[float]:
    """Return the gap at each sample, in mean requests."""
    shape = run.caller.shape
    names = [*shape.backlogged, shape.flooding]
    mean_cost = float(np.mean(run.caller.accounts.costs))
    first = run.samples[0].units
    gaps = []
    for sample in run.samples:
        service = [
            (sample.units.get(name, 0) - first.get(name, 0))
            / run.weights[name]
            / mean_cost
            for name in names
        ]
        gaps.append(max(service) - min(service))
    return gaps


def _backlogged_share(run: _Run) -> float:
    """Return the share of samples at which the organisation least
    backlogged had requests waiting."""
    shape = run.caller.shape
    return min(
        float(np.mean([one.waiting.get(name, 0) > 0 for one in run.samples]))
        for name in (*shape.backlogged, shape.flooding)
    )


def _interval_gap(run: _Run) -> float:
    """Return the largest gap that grew in any interval, in mean requests."""
    shape = run.caller.shape
    names = [*shape.backlogged, shape.flooding]
    mean_cost = float(np.mean(run.caller.accounts.costs))
    service = np.array(
        [
            [
                sample.units.get(name, 0) / run.weights[name] / mean_cost
                for name in names
            ]
            for sample in run.samples
        ]
    )
    difference = service[:, :, None] - service[:, None, :]
    return float(np.ptp(difference, axis=0).max())


def _figures(run: _Run) -> dict[str, Any]:
    accounts = run.caller.accounts
    gaps = _gaps(run)
    waits = [wait for many in accounts.short_waits.values() for wait in many]
    spans = [
        (after.at_seconds - before.at_seconds, before, after)
        for before, after in run.usage
    ]
    cpu = [
        (after.cpu_seconds - before.cpu_seconds) / span
        for span, before, after in spans
    ]
    sent = [
        (after.sent_bytes - before.sent_bytes) / span
        for span, before, after in spans
    ]
    outcomes = accounts.outcomes
    lost = sum(
        count for name, count in outcomes.items() if name.startswith('lost_')
    )
    return {
        'example': run.example,
        'policy': run.policy,
        'seed': run.seed,
        'gap_worst': round(max(gaps), 2),
        'gap_p99': round(float(np.percentile(gaps, 99)), 2),
        'gap_end': round(gaps[-1], 2),
        'backlogged_share': round(_backlogged_share(run), 3),
        'gap_any_interval': round(_interval_gap(run), 2),
        'slots_used': round(run.slot_use.share(with_kill=True), 4),
        'slots_used_no_kill': round(run.slot_use.share(with_kill=False), 4),
        'short_p50_seconds': round(float(np.percentile(waits, 50)), 3),
        'short_p99_seconds': round(float(np.percentile(waits, 99)), 3),
        'short_count': len(waits),
        'complete': outcomes['complete'],
        'writes_complete': outcomes['write_complete'],
        'lost': lost + outcomes['incomplete'],
        'crossed': outcomes['crossed'],
        'broken_by_kill': outcomes['broken_by_kill'],
        'duplicates': run.duplicates_count,
        'control_bytes_per_second': round(float(np.mean(sent))),
        'cpu_share_mean': round(float(np.mean(cpu)), 3),
        'cpu_share_max': round(max(cpu), 3),
        'resident_mib_max': round(
            max(after.resident_mib for _span, _before, after in spans), 1
        ),
        'mean_request_units': round(float(np.mean(accounts.costs)), 1),
    }


def _write_csv(path: pathlib.Path, rows: list[dict[str, Any]]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open('w', newline='') as table:
        writer = csv.DictWriter(table, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


def _split(text: str) -> list[str]:
    return [part for part in text.split(',') if part]


def main(
    example: Annotated[str, typer.Option()] = 'workshops',
    seeds: Annotated[str, typer.Option(help='Comma separated.')] = '1,2,3',
    policies: Annotated[str, typer.Option()] = ','.join(_POLICIES),
    results: Annotated[pathlib.Path, typer.Option()] = _ROOT / 'results',
) -> None:
    """Run all policies with all seeds, one fleet at a time."""
    rows: list[dict[str, Any]] = []
    for seed in _split(seeds):
        for policy in _split(policies):
            name = f'{example}-{policy}-{seed}'
            run = _run_one(example, policy, int(seed), results / name)
            rows.append(_figures(run))
            print(json.dumps(rows[-1]), flush=True)
            print(
                json.dumps(dict(run.caller.accounts.outcomes)),
                json.dumps(run.caller.accounts.examples),
                file=sys.stderr,
                flush=True,
            )
            _write_csv(results / f'{example}.csv', rows)
            _write_csv(results / name / 'service.csv', _service_rows(run))
            _write_csv(results / name / 'slots.csv', _slot_rows(run))
    print_summary(results / f'{example}.csv')
    plot_gaps(results, example)


def _slot_rows(run: _Run) -> list[dict[str, Any]]:
    return [
        {'seconds': round(at, 2), 'share': round(share, 4)}
        for at, share in zip(
            run.slot_use.at_seconds, run.slot_use.shares, strict=True
        )
    ]


def _service_rows(run: _Run) -> list[dict[str, Any]]:
    start = run.samples[0].at_seconds
    names = [*run.caller.shape.backlogged, run.caller.shape.flooding]
    return [
        {
            'seconds': round(sample.at_seconds - start, 2),
            'gap': round(gap, 3),
            **{name: sample.units.get(name, 0) for name in names},
            **{
                f'{name}_waiting': sample.waiting.get(name, 0) for name in names
            },
        }
        for sample, gap in zip(run.samples, _gaps(run), strict=True)
    ]


if __name__ == '__main__':
    typer.run(main)
