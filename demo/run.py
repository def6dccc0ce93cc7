"""Runs the Workshops example under mixed load: ``python -m demo.run``."""

import json
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated, Any, Final

import curio
import typer

from demo.launcher import LocalFleet, RouterProcess
from demo.load import (
    Caller,
    CheckedRequest,
    RequestStatistics,
    compare_journals,
)
from dotterelhatch.net.http import HttpError, fetch

__all__ = ('main',)

_MODEL_SERVICE: Final = 'usta-model'
# Closed-loop callers of each backlogged organisation: more than its share of
# the 40 slots, so that some of its requests are always queued.
_BACKLOGGED_CALLERS: Final = {
    'bakir-atolyesi': 32,
    'ipek-dokuma': 24,
    'usta-kazim': 16,
    'cini-sanat': 6,
    'deri-evi': 6,
    'demirci-han': 6,
}
_WARM_UP_SECONDS: Final = 3.0
_SAMPLE_SECONDS: Final = 0.5
_SENT_BYTES_METRIC: Final = 'dotterelhatch_control_sent_bytes_total'
# Shorter than the defaults, so that a graceful stop takes a few seconds.
_STOP_SETTINGS: Final = {'address_ttl_seconds': 2.0, 'margin_seconds': 1.0}


@dataclass
class _Samples:
    """Sums over samples of ``/status`` while requests are queued, by service.

    :param in_use: slots in use.
    :param samples: number of samples.
    :param units: latest service units, by organisation.
    """

    in_use: Counter[str] = field(default_factory=Counter)
    slots: Counter[str] = field(default_factory=Counter)
    samples: Counter[str] = field(default_factory=Counter)
    units: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class _Checkpoint:
    """Counters at one time; differences of two give rates.

    :param units: cost of the responses received, by organisation.
    :param service_units: cost counted by the routers, by organisation.
    :param sent: control bytes sent, by router.
    """

    seconds: float
    units: dict[str, float]
    responses: dict[str, int]
    service_units: dict[str, float]
    sent: dict[str, float]


class _Demo:
    """Generates load, samples the routers and prints a report."""

    def __init__(self, fleet: LocalFleet, seconds: float, kill: bool) -> None:
        """Create a caller for each organisation."""
        self._fleet = fleet
        self._seconds = seconds
        self._kills_router = kill
        self._samples = _Samples()
        self._is_stopping = False
        self._responses_after_kill: int | None = None
        seeds = [router.caller_address for router in fleet.routers]
        self._weights = {
            organisation.id: organisation.weight
            for organisation in fleet.document.base.organisations
        }
        self._callers = {
            name: Caller(name, f'workshops-{name}-key', seeds)
            for name in self._weights
        }

    async def run(self) -> bool:
        """Run the load and print the report; return whether it passed."""
        group = curio.TaskGroup()
        async with group:
            for name, caller in self._callers.items():
                for number in range(_BACKLOGGED_CALLERS.get(name, 0)):
                    await group.spawn(self._send_completions, caller, number)
                await group.spawn(self._send_mixed_requests, caller)
            observer = await curio.spawn(self._observe_routers)
            await curio.sleep(_WARM_UP_SECONDS)
            before = await self._take_checkpoint()
            await self._wait_and_kill_router()
            await curio.sleep(self._seconds / 2)
            after = await self._take_checkpoint()
            self._is_stopping = True
        await observer.join()
        await compare_journals(
            list(self._callers.values()),
            list(self._fleet.control_addresses.values()),
        )
        return self._report(before, after)

    async def _wait_and_kill_router(self) -> None:
        await curio.sleep(self._seconds / 2)
        if not self._kills_router:
            return
        killed_router = self._fleet.routers[-1]
        self._fleet.kill_router(killed_router)
        self._responses_after_kill = self._responses_count()
        print(f'\nkilled router {killed_router.name}')

    async def _send_completions(self, caller: Caller, number: int) -> None:
        """Send completions in a closed loop."""
        count = number
        while not self._is_stopping:
            count += 1
            tokens_count = 20 + 17 * count % 80
            await caller.send_and_check(
                CheckedRequest.completion(
                    caller.next_text(),
                    tokens_count,
                    chat=count % 3 == 0,
                    is_stream=count % 2 == 0,
                )
            )

    async def _send_mixed_requests(self, caller: Caller) -> None:
        """Send requests of all kinds with pauses."""
        while not self._is_stopping:
            await caller.send_and_check(
                CheckedRequest.lookup(caller.next_text())
            )
            await caller.send_and_replay(
                CheckedRequest.deposit(caller.next_text()), 1
            )
            await caller.send_and_check(
                CheckedRequest.completion(
                    caller.next_text(), 12, is_stream=True
                )
            )
            await curio.sleep(0.3)

    async def _observe_routers(self) -> None:
        started_seconds = time.monotonic()
        while not self._is_stopping:
            await curio.sleep(_SAMPLE_SECONDS)
            await self._sample()
            elapsed = time.monotonic() - started_seconds
            total = self._total_statistics()
            print(
                f'\r{elapsed:5.1f} s  {total.requests} requests  '
                f'{total.responses} answered  {total.lost} lost  '
                f'{total.wrong_responses} wrong responses ',
                end='',
                flush=True,
            )
        print('\nwaiting for the last responses')

    def _running_routers(self) -> list[RouterProcess]:
        return [
            router
            for router in self._fleet.routers
            if router.process is not None and router.process.poll() is None
        ]

    async def _sample(self) -> None:
        """Add up the slots of all coordinators while requests are queued."""
        documents = [
            await _fetch_status(router) for router in self._running_routers()
        ]
        documents = [status for status in documents if status is not None]
        queued: Counter[str] = Counter()
        in_use: Counter[str] = Counter()
        slots: Counter[str] = Counter()
        for document in documents:
            for row in document['organisations']:
                queued[row['service']] += row['queued']['value'] or 0
            for service in document['services']:
                name = service['service']
                slots[name] = sum(
                    target['slots']['value'] for target in service['targets']
                )
                in_use[name] += _count_slots_in_use(
                    service['targets'], document['router_id']
                )
            self._record_service_units(document)
        for name in slots:
            if queued[name]:
                self._samples.in_use[name] += in_use[name]
                self._samples.slots[name] += slots[name]
                self._samples.samples[name] += 1

    def _record_service_units(self, document: dict[str, Any]) -> None:
        for row in document['organisations']:
            if row['service'] == _MODEL_SERVICE:
                name = row['organisation']
                units = row['service_units']['value'] or 0
                previous_units = self._samples.units.get(name, 0)
                # Totals only grow, but a router may report an older one.
                self._samples.units[name] = max(previous_units, units)

    async def _take_checkpoint(self) -> _Checkpoint:
        await self._sample()
        sent: dict[str, float] = {}
        for router in self._running_routers():
            count = await _fetch_sent_bytes(router)
            if count is not None:
                sent[router.name] = count
        return _Checkpoint(
            time.monotonic(),
            {
                name: caller.statistics.model_units
                for name, caller in self._callers.items()
            },
            {
                name: caller.statistics.model_responses
                for name, caller in self._callers.items()
            },
            dict(self._samples.units),
            sent,
        )

    def _total_statistics(self) -> RequestStatistics:
        total = RequestStatistics()
        for caller in self._callers.values():
            total.add(caller.statistics)
        return total

    def _responses_count(self) -> int:
        return self._total_statistics().responses

    def _report(self, before: _Checkpoint, after: _Checkpoint) -> bool:
        total = self._total_statistics()
        self._print_organisations(before, after)
        print()
        self._print_fairness_gap(before, after)
        self._print_utilisation()
        _print_control_traffic(before, after)
        _print_counts(total)
        is_correct = total.is_correct
        if self._responses_after_kill is None:
            # An outcome may be unknown only if a router was killed.
            is_correct = is_correct and not total.unknown_outcomes
        else:
            later = self._responses_count() - self._responses_after_kill
            print(f'responses after the kill: {later}')
            is_correct = is_correct and later > 0
        return is_correct

    def _print_organisations(
        self, before: _Checkpoint, after: _Checkpoint
    ) -> None:
        served = {
            name: after.units[name] - before.units[name]
            for name in _BACKLOGGED_CALLERS
        }
        all_served = sum(served.values()) or 1
        all_weight = sum(self._weights[name] for name in _BACKLOGGED_CALLERS)
        print(
            f'{"organisation":<16}{"weight":>7}{"requests":>10}{"answered":>9}'
            f'{"model units":>13}{"share of service":>18}'
            f'{"share of weight":>17}'
        )
        for name, caller in self._callers.items():
            statistics = caller.statistics
            shares = f'{"not backlogged":>35}'
            if name in _BACKLOGGED_CALLERS:
                service_share = served[name] / all_served
                weight_share = self._weights[name] / all_weight
                shares = f'{service_share:>18.1%}{weight_share:>17.1%}'
            print(
                f'{name:<16}{self._weights[name]:>7g}{statistics.requests:>10}'
                f'{statistics.responses:>9}'
                f'{statistics.model_units:>13.0f}{shares}'
            )

    def _print_fairness_gap(
        self, before: _Checkpoint, after: _Checkpoint
    ) -> None:
        units = sum(after.units.values()) - sum(before.units.values())
        responses = sum(after.responses.values()) - sum(
            before.responses.values()
        )
        mean_units = units / max(1, responses)
        elapsed = after.seconds - before.seconds
        print(
            f'fairness gap at {_MODEL_SERVICE} over {elapsed:.1f} s, in mean '
            f'requests ({mean_units:.1f} units) per unit of weight:'
        )
        for source, first, last in (
            ('responses received', before.units, after.units),
            ('service counters', before.service_units, after.service_units),
        ):
            served = [
                (last.get(name, 0) - first.get(name, 0)) / self._weights[name]
                for name in _BACKLOGGED_CALLERS
            ]
            gap = (max(served) - min(served)) / (mean_units or 1)
            print(f'  by {source}: {gap:.2f}')

    def _print_utilisation(self) -> None:
        for name, slots in sorted(self._samples.slots.items()):
            share = self._samples.in_use[name] / slots
            count = self._samples.samples[name]
            print(
                f'utilisation of {name} while requests wait: {share:.3f} '
                f'({count} samples of /status)'
            )


def _count_slots_in_use(targets: list[dict[str, Any]], router: str) -> int:
    """Return the slots in use of the targets that a router coordinates.

    The other routers report the same values, which must be counted once.
    """
    return sum(
        target['in_use']['value'] or 0
        for target in targets
        if target['home']['value'] == router
    )


def _print_control_traffic(before: _Checkpoint, after: _Checkpoint) -> None:
    elapsed = after.seconds - before.seconds
    rates = []
    for name, sent in after.sent.items():
        sent_since = sent - before.sent.get(name, 0)
        rate = f'{sent_since / elapsed:.0f}' if sent_since else 'unknown'
        rates.append(f'{name} {rate}')
    listed = ', '.join(rates) or 'unknown'
    print(f'control bytes sent per second and router: {listed}')


def _print_counts(total: RequestStatistics) -> None:
    print(
        f'requests {total.requests}, answered {total.responses}, '
        f'lost {total.lost}, wrong responses {total.wrong_responses}, '
        f'duplicate executions {total.duplicate_executions}, '
        f'false rejections {total.false_rejections}, '
        f'responses without an execution {total.unexecuted_responses}'
    )
    rejections = ', '.join(
        f'{code} {count}' for code, count in sorted(total.rejections.items())
    )
    print(
        f'replayed responses {total.replayed_responses}, broken connections '
        f'{total.broken_connections}, repeated completions '
        f'{total.repeated_executions}, '
        f'unknown outcomes {total.unknown_outcomes}, '
        f'rejections: {rejections or "none"}'
    )
    for description in total.problems[:10]:
        print(f'  {description}')


async def _fetch_status(router: RouterProcess) -> dict[str, Any] | None:
    try:
        response = await fetch(router.operations_address, 'GET', '/status')
    except HttpError:
        return None
    document: dict[str, Any] = json.loads(response.body)
    return document


async def _fetch_sent_bytes(router: RouterProcess) -> float | None:
    try:
        response = await fetch(router.operations_address, 'GET', '/metrics')
    except HttpError:
        return None
    for line in response.body.decode().splitlines():
        if line.startswith(f'{_SENT_BYTES_METRIC} '):
            return float(line.rpartition(' ')[2])
    return None


def main(
    seconds: Annotated[
        float, typer.Option(help='Measured time in seconds, after a warm-up.')
    ] = 17.0,
    kill_router: Annotated[
        bool, typer.Option('--kill-router', help='Kill a router half-way.')
    ] = False,
    port_offset: Annotated[int, typer.Option(help='Added to every port.')] = 0,
) -> None:
    """Run the Workshops example under mixed load and check all responses."""
    # A shell that starts this in the background may have SIGINT ignored.
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, signal.default_int_handler)
    print('starting 9 stand-ins and 4 routers')
    with LocalFleet(
        'workshops', port_offset=port_offset, overrides={'stop': _STOP_SETTINGS}
    ) as fleet:
        is_correct = bool(curio.run(_Demo(fleet, seconds, kill_router).run))
        print('stopping the routers')
        codes = fleet.stop_routers()
    print(f'exit codes of the routers: {codes}')
    is_correct = is_correct and not any(codes)
    print('all responses are complete and correct' if is_correct else 'FAILED')
    sys.exit(0 if is_correct else 1)


if __name__ == '__main__':
    typer.run(main)
