"""Compares the product with two baseline policies under the same load.

Each run starts all processes of an example on loopback. During the measured
time the table service is down once, and a router is killed and restarted.
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

from benchmarks.load import LoadGenerator, LoadProfile
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
# Times since the start of the measured time. The plots of benchmarks.summary
# mark them.
_TABLES_DOWN_SECONDS = (6.0, 12.0)
_KILL_AT_SECONDS = 16.0
_RESTART_AT_SECONDS = 22.0
# All slots are expected to be in use again this long after the restart.
_KILL_RECOVERY_SECONDS = 5.0
_LOAD_REPORT_DELAY_SECONDS = 1.0
_LOAD_POLL_SECONDS = 0.25
# By this limit the requests of the backlogged organisations count as long,
# though they are short enough for several hundred of them to end in one run.
_SHORT_REQUEST_UNITS = 50.0
_TABLES_DOWN_FAULTS = {'services': ['tables'], 'down': True}

_LOAD_PROFILES = {
    'workshops': LoadProfile(
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
    'ramps': LoadProfile(
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
# The engines of ramps have twice the slots. Half the speed per request keeps
# the token rate within what the load generator, one process, can read.
_ENGINE_SPEEDS = {'workshops': EngineSpeed(60.0), 'ramps': EngineSpeed(30.0)}


@dataclass
class _Sample:
    """Service received and requests waiting by organisation at one time."""

    time_seconds: float
    units: dict[str, float]
    waiting_counts: dict[str, int]


@dataclass
class _ResourceUsage:
    """CPU time, memory and sent bytes of a router process at one time.

    :param sent_bytes: bytes sent to other routers since the process started.
    """

    pid: int
    cpu_seconds: float
    resident_mib: float
    sent_bytes: int
    time_seconds: float = field(default_factory=time.monotonic)


class _FaultInjector(threading.Thread):
    """Thread that injects the faults and delimits the measured time.

    :ivar resource_usage: pairs of usage at the start and the end of the
        measured time, one for each router but the killed one.
    :ivar error: exception that ended the thread early.
    """

    def __init__(
        self, fleet: LocalFleet, load_generator: LoadGenerator
    ) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._load_generator = load_generator
        self._killed_router = fleet.routers[1]
        self.resource_usage: list[tuple[_ResourceUsage, _ResourceUsage]] = []
        self.error: Exception | None = None

    def run(self) -> None:
        """Inject the faults of one run and keep an exception for the caller."""
        try:
            self._run()
        except Exception as error:
            self.error = error

    def _run(self) -> None:
        time.sleep(_WARM_UP_SECONDS)
        started_seconds = time.monotonic()
        before = self._read_fleet_usage()
        self._load_generator.statistics.is_measured_time = True
        self._sleep_until(started_seconds + _TABLES_DOWN_SECONDS[0])
        self._set_faults(_TABLES_DOWN_FAULTS)
        self._sleep_until(started_seconds + _TABLES_DOWN_SECONDS[1])
        self._set_faults({})
        self._sleep_until(started_seconds + _KILL_AT_SECONDS)
        self._load_generator.set_router_down(
            self._killed_router.caller_address, down=True
        )
        self._fleet.kill_router(self._killed_router)
        self._sleep_until(started_seconds + _RESTART_AT_SECONDS)
        self._fleet.start_router(self._killed_router)
        self._fleet.wait_ready(len(self._fleet.routers))
        self._load_generator.set_router_down(
            self._killed_router.caller_address, down=False
        )
        self._sleep_until(started_seconds + _MEASURED_SECONDS)
        after = self._read_fleet_usage()
        self._load_generator.statistics.is_measured_time = False
        self.resource_usage = [
            (before[name], after[name])
            for name in before
            if name != self._killed_router.name
        ]

    def _sleep_until(self, until_seconds: float) -> None:
        time.sleep(max(0, until_seconds - time.monotonic()))

    def _set_faults(self, faults: dict[str, Any]) -> None:
        self._fleet.put_json(self._fleet.platform_address, '/faults', faults)

    def _read_fleet_usage(self) -> dict[str, _ResourceUsage]:
        return {
            router.name: _read_router_usage(router)
            for router in self._fleet.routers
        }


def _read_router_usage(router: RouterProcess) -> _ResourceUsage:
    proc_directory = pathlib.Path(f'/proc/{router.pid}')
    # The second field, the command name, may contain spaces.
    fields = (proc_directory / 'stat').read_text().rpartition(')')[2].split()
    cpu_ticks = int(fields[11]) + int(fields[12])
    resident_pages = int((proc_directory / 'statm').read_text().split()[1])
    response = curio.run(fetch, router.operations_address, 'GET', '/dump')
    return _ResourceUsage(
        router.pid,
        cpu_ticks / _TICKS_PER_SECOND,
        resident_pages * os.sysconf('SC_PAGE_SIZE') / 2**20,
        int(json.loads(response.body)['peers']['sent_bytes']),
    )


async def _sample_statistics(
    load_generator: LoadGenerator, samples: list[_Sample]
) -> None:
    statistics = load_generator.statistics
    await curio.sleep(_WARM_UP_SECONDS)
    for _second in range(int(_MEASURED_SECONDS) + 1):
        samples.append(
            _Sample(
                time.monotonic(),
                dict(statistics.units),
                dict(statistics.waiting_counts),
            )
        )
        await curio.sleep(1.0)


@dataclass
class _SlotUsage:
    """Share of the slots in use over time, as the engines report it.

    The engines report their load with a delay of one second.
    """

    time_seconds: list[float] = field(default_factory=list)
    shares: list[float] = field(default_factory=list)

    async def poll_engines(
        self,
        load_generator: LoadGenerator,
        engines: list[str],
        slots_count: int,
    ) -> None:
        """Poll the engines and record their slot usage while requests wait."""
        await curio.sleep(_WARM_UP_SECONDS + _LOAD_REPORT_DELAY_SECONDS)
        started_seconds = time.monotonic()
        while True:
            loads = [await _fetch_running_count(engine) for engine in engines]
            if sum(load_generator.statistics.waiting_counts.values()):
                self.time_seconds.append(time.monotonic() - started_seconds)
                self.shares.append(sum(loads) / slots_count)
            await curio.sleep(_LOAD_POLL_SECONDS)

    def mean_share(self, *, includes_kill: bool) -> float:
        """Return the mean share of the slots in use.

        :param includes_kill: whether to include the time from the kill of a
            router until its recovery.
        """
        recovered_seconds = _RESTART_AT_SECONDS + _KILL_RECOVERY_SECONDS
        return float(
            np.mean(
                [
                    share
                    for at_seconds, share in zip(
                        self.time_seconds, self.shares, strict=True
                    )
                    if includes_kill
                    or not _KILL_AT_SECONDS <= at_seconds <= recovered_seconds
                ]
            )
        )


@dataclass
class _RunResult:
    """Measurements of one run of a policy with a seed."""

    example: str
    policy: str
    seed: int
    samples: list[_Sample]
    slot_usage: _SlotUsage
    resource_usage: list[tuple[_ResourceUsage, _ResourceUsage]]
    load_generator: LoadGenerator
    weights: dict[str, float]
    duplicates_count: int


async def _fetch_running_count(engine: str) -> int:
    response = await fetch(engine, 'GET', '/load')
    load = json.loads(response.body)
    return min(int(load['running_count']), int(load['slots_count']))


async def _send_load(
    load_generator: LoadGenerator,
    samples: list[_Sample],
    slot_usage: _SlotUsage,
    engines: list[str],
    slots_count: int,
) -> None:
    sample_task = await curio.spawn(
        _sample_statistics, load_generator, samples, daemon=True
    )
    slot_task = await curio.spawn(
        slot_usage.poll_engines,
        load_generator,
        engines,
        slots_count,
        daemon=True,
    )
    await load_generator.run(_WARM_UP_SECONDS + _MEASURED_SECONDS + 1.0)
    await sample_task.cancel()
    await slot_task.cancel()


def _router_command(policy: str) -> tuple[str, ...]:
    if policy == _PRODUCT:
        return ('-m', 'dotterelhatch', 'router')
    return ('-m', 'benchmarks.baseline_router', '--policy', policy)


def _lower_short_request_units(document: ConfigDocument) -> ConfigDocument:
    content = json.loads(document.model_dump_json())
    for service in content['base']['services']:
        if service['kind'] == 'model':
            service['short_request_units'] = _SHORT_REQUEST_UNITS
    return decode_document(json.dumps(content).encode())


def _run_fleet(
    example: str, policy: str, seed: int, logs: pathlib.Path
) -> _RunResult:
    profile = _LOAD_PROFILES[example]
    samples: list[_Sample] = []
    slot_usage = _SlotUsage()
    fleet = LocalFleet(
        example,
        _PORT_OFFSET,
        _ENGINE_SPEEDS[example],
        edit=_lower_short_request_units,
        router_command=_router_command(policy),
    )
    with fleet:
        addresses = [router.caller_address for router in fleet.routers]
        load_generator = LoadGenerator(profile, addresses, seed)
        model = next(
            service for service in fleet.services if service.id == profile.model
        )
        engines = [
            fleet.control_addresses[target.id] for target in model.targets
        ]
        slots_count = sum(target.slots_count for target in model.targets)
        fault_injector = _FaultInjector(fleet, load_generator)
        fault_injector.start()
        curio.run(
            _send_load,
            load_generator,
            samples,
            slot_usage,
            engines,
            slots_count,
        )
        fault_injector.join()
        duplicates_count = _count_duplicates(fleet)
        weights = _organisation_weights(fleet)
        _copy_logs(fleet, logs)
    if fault_injector.error is not None:
        raise fault_injector.error
    return _RunResult(
        example,
        policy,
        seed,
        samples,
        slot_usage,
        fault_injector.resource_usage,
        load_generator,
        weights,
        duplicates_count,
    )


def _organisation_weights(fleet: LocalFleet) -> dict[str, float]:
    return {
        str(organisation.id): organisation.weight
        for organisation in fleet.document.base.organisations
    }


def _copy_logs(fleet: LocalFleet, directory: pathlib.Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for log_path in fleet.log_directory.glob('*.log'):
        (directory / log_path.name).write_bytes(log_path.read_bytes())


def _count_duplicates(fleet: LocalFleet) -> int:
    """Return how many writes the targets executed beyond the first per key.

    The journals of the plain targets list all executed writes.
    """
    executions_by_key: dict[str, int] = {}
    for name, address in fleet.control_addresses.items():
        if not fleet.stand_in_processes[name].args[2].endswith('plain'):
            continue
        response = curio.run(fetch, address, 'GET', '/journal')
        for entry in json.loads(response.body)['writes']:
            key = str(entry['key'])
            executions_by_key[key] = executions_by_key.get(key, 0) + 1
    return sum(count - 1 for count in executions_by_key.values())


def _service_gaps(run: _RunResult) -> list[float]:
    """Return the service gap at each sample, in requests of mean cost.

    The gap is the difference in weighted service since the first sample
    between the organisations that received most and least, among those with
    a backlog and the flooding one.
    """
    profile = run.load_generator.profile
    organisations = [*profile.backlogged, profile.flooding]
    mean_cost = float(np.mean(run.load_generator.statistics.costs))
    initial_units = run.samples[0].units
    gaps = []
    for sample in run.samples:
        weighted_service = [
            (
                sample.units.get(organisation, 0)
                - initial_units.get(organisation, 0)
            )
            / run.weights[organisation]
            / mean_cost
            for organisation in organisations
        ]
        gaps.append(max(weighted_service) - min(weighted_service))
    return gaps


def _min_backlogged_share(run: _RunResult) -> float:
    """Return the smallest share of samples with waiting requests.

    The minimum is over the backlogged and the flooding organisations.
    """
    profile = run.load_generator.profile
    return min(
        float(
            np.mean(
                [
                    sample.waiting_counts.get(organisation, 0) > 0
                    for sample in run.samples
                ]
            )
        )
        for organisation in (*profile.backlogged, profile.flooding)
    )


def _max_interval_gap(run: _RunResult) -> float:
    """Return the largest gap that arose within any interval of the run.

    It is the largest change, between any two samples, of the difference in
    weighted service of any two organisations, in requests of mean cost.
    """
    profile = run.load_generator.profile
    organisations = [*profile.backlogged, profile.flooding]
    mean_cost = float(np.mean(run.load_generator.statistics.costs))
    weighted_service = np.array(
        [
            [
                sample.units.get(organisation, 0)
                / run.weights[organisation]
                / mean_cost
                for organisation in organisations
            ]
            for sample in run.samples
        ]
    )
    service_differences = (
        weighted_service[:, :, None] - weighted_service[:, None, :]
    )
    return float(np.ptp(service_differences, axis=0).max())


def _result_row(run: _RunResult) -> dict[str, Any]:
    statistics = run.load_generator.statistics
    gaps = _service_gaps(run)
    waits = [
        wait
        for organisation_waits in statistics.short_waits.values()
        for wait in organisation_waits
    ]
    intervals = [
        (after.time_seconds - before.time_seconds, before, after)
        for before, after in run.resource_usage
    ]
    cpu_shares = [
        (after.cpu_seconds - before.cpu_seconds) / elapsed_seconds
        for elapsed_seconds, before, after in intervals
    ]
    sent_bytes_per_second = [
        (after.sent_bytes - before.sent_bytes) / elapsed_seconds
        for elapsed_seconds, before, after in intervals
    ]
    outcomes = statistics.outcomes
    lost_count = sum(
        count for name, count in outcomes.items() if name.startswith('lost_')
    )
    return {
        'example': run.example,
        'policy': run.policy,
        'seed': run.seed,
        'gap_worst': round(max(gaps), 2),
        'gap_p99': round(float(np.percentile(gaps, 99)), 2),
        'gap_end': round(gaps[-1], 2),
        'backlogged_share': round(_min_backlogged_share(run), 3),
        'gap_any_interval': round(_max_interval_gap(run), 2),
        'slots_used': round(run.slot_usage.mean_share(includes_kill=True), 4),
        'slots_used_no_kill': round(
            run.slot_usage.mean_share(includes_kill=False), 4
        ),
        'short_p50_seconds': round(float(np.percentile(waits, 50)), 3),
        'short_p99_seconds': round(float(np.percentile(waits, 99)), 3),
        'short_count': len(waits),
        'complete': outcomes['complete'],
        'writes_complete': outcomes['write_complete'],
        'lost': lost_count + outcomes['incomplete'],
        'crossed': outcomes['crossed'],
        'broken_by_kill': outcomes['broken_by_kill'],
        'duplicates': run.duplicates_count,
        'control_bytes_per_second': round(
            float(np.mean(sent_bytes_per_second))
        ),
        'cpu_share_mean': round(float(np.mean(cpu_shares)), 3),
        'cpu_share_max': round(max(cpu_shares), 3),
        'resident_mib_max': round(
            max(after.resident_mib for _elapsed, _before, after in intervals), 1
        ),
        'mean_request_units': round(float(np.mean(statistics.costs)), 1),
    }


def _write_csv(path: pathlib.Path, rows: list[dict[str, Any]]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open('w', newline='') as csv_file:
        writer = csv.DictWriter(csv_file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


def _split_list(text: str) -> list[str]:
    return [part for part in text.split(',') if part]


def main(
    example: Annotated[str, typer.Option()] = 'workshops',
    seeds: Annotated[str, typer.Option(help='Comma separated.')] = '1,2,3',
    policies: Annotated[str, typer.Option()] = ','.join(_POLICIES),
    results: Annotated[pathlib.Path, typer.Option()] = _ROOT / 'results',
) -> None:
    """Run all policies with all seeds and write the results.

    :param example: name of the example directory.
    :param seeds: seeds of the load, comma separated.
    :param policies: scheduling policies, comma separated.
    :param results: directory for the results and the logs of all processes.
    """
    rows: list[dict[str, Any]] = []
    for seed in _split_list(seeds):
        for policy in _split_list(policies):
            name = f'{example}-{policy}-{seed}'
            run = _run_fleet(example, policy, int(seed), results / name)
            rows.append(_result_row(run))
            print(json.dumps(rows[-1]), flush=True)
            print(
                json.dumps(dict(run.load_generator.statistics.outcomes)),
                json.dumps(run.load_generator.statistics.first_details),
                file=sys.stderr,
                flush=True,
            )
            _write_csv(results / f'{example}.csv', rows)
            _write_csv(results / name / 'service.csv', _service_rows(run))
            _write_csv(results / name / 'slots.csv', _slot_rows(run))
    print_summary(results / f'{example}.csv')
    plot_gaps(results, example)


def _slot_rows(run: _RunResult) -> list[dict[str, Any]]:
    return [
        {'seconds': round(at_seconds, 2), 'share': round(share, 4)}
        for at_seconds, share in zip(
            run.slot_usage.time_seconds, run.slot_usage.shares, strict=True
        )
    ]


def _service_rows(run: _RunResult) -> list[dict[str, Any]]:
    started_seconds = run.samples[0].time_seconds
    organisations = [
        *run.load_generator.profile.backlogged,
        run.load_generator.profile.flooding,
    ]
    return [
        {
            'seconds': round(sample.time_seconds - started_seconds, 2),
            'gap': round(gap, 3),
            **{
                organisation: sample.units.get(organisation, 0)
                for organisation in organisations
            },
            **{
                f'{organisation}_waiting': sample.waiting_counts.get(
                    organisation, 0
                )
                for organisation in organisations
            },
        }
        for sample, gap in zip(run.samples, _service_gaps(run), strict=True)
    ]


if __name__ == '__main__':
    typer.run(main)
