"""Shows the Workshops example under mixed work: ``python -m demo.run``."""

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

_MODEL: Final = 'usta-model'
# Callers in a closed loop for each backlogged organisation: more than its
# share of the 40 slots, so that requests of it wait all the time.
_BACKLOGGED: Final = {
    'bakir-atolyesi': 32,
    'ipek-dokuma': 24,
    'usta-kazim': 16,
    'cini-sanat': 6,
    'deri-evi': 6,
    'demirci-han': 6,
}
_WARM_UP_SECONDS: Final = 3.0
_SAMPLE_SECONDS: Final = 0.5
_SENT_METRIC: Final = 'dotterelhatch_control_sent_bytes_total'
_STOP: Final = {'address_ttl_seconds': 2.0, 'margin_seconds': 1.0}


@dataclass
class _Watch:
    """Figures read from the routers while the work runs."""

    in_use: Counter[str] = field(default_factory=Counter)
    slots: Counter[str] = field(default_factory=Counter)
    samples: Counter[str] = field(default_factory=Counter)
    units: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class _Mark:
    """Counts at one moment, to be subtracted from later ones."""

    seconds: float
    units: dict[str, float]
    answers: dict[str, int]
    ledger: dict[str, float]
    sent: dict[str, float]


class _Show:
    """The work, its observation and the report."""

    def __init__(self, fleet: LocalFleet, seconds: float, kill: bool) -> None:
        """Prepare one caller for each organisation."""
        self._fleet = fleet
        self._seconds = seconds
        self._kill = kill
        self._watch = _Watch()
        self._ended = False
        self._answers_after_kill: int | None = None
        seeds = [router.caller_address for router in fleet.routers]
        self._weights = {
            one.id: one.weight for one in fleet.document.base.organisations
        }
        self._callers = {
            name: Caller(name, f'workshops-{name}-key', seeds)
            for name in self._weights
        }

    async def run(self) -> bool:
        """Do the work and print the report; return whether all is well."""
        group = curio.TaskGroup()
        async with group:
            for name, caller in self._callers.items():
                for number in range(_BACKLOGGED.get(name, 0)):
                    await group.spawn(self._complete_always, caller, number)
                await group.spawn(self._mix_always, caller)
            watcher = await curio.spawn(self._observe)
            await curio.sleep(_WARM_UP_SECONDS)
            before = await self._mark()
            await self._wait_middle()
            await curio.sleep(self._seconds / 2)
            after = await self._mark()
            self._ended = True
        await watcher.join()
        await compare_journals(
            list(self._callers.values()),
            list(self._fleet.control_addresses.values()),
        )
        return self._report(before, after)

    async def _wait_middle(self) -> None:
        await curio.sleep(self._seconds / 2)
        if not self._kill:
            return
        victim = self._fleet.routers[-1]
        self._fleet.kill_router(victim)
        self._answers_after_kill = self._answers_count()
        print(f'\nkilled router {victim.name}')

    async def _complete_always(self, caller: Caller, number: int) -> None:
        """Keep one completion of an organisation waiting or running."""
        count = number
        while not self._ended:
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

    async def _mix_always(self, caller: Caller) -> None:
        """Send a little of everything with pauses."""
        while not self._ended:
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

    async def _observe(self) -> None:
        started_seconds = time.monotonic()
        while not self._ended:
            await curio.sleep(_SAMPLE_SECONDS)
            await self._sample()
            elapsed = time.monotonic() - started_seconds
            total = self._total()
            print(
                f'\r{elapsed:5.1f} s  {total.requests} requests  '
                f'{total.responses} answers  {total.lost} losses  '
                f'{total.wrong_responses} crossings ',
                end='',
                flush=True,
            )
        print('\nwaiting for the last answers')

    def _running(self) -> list[RouterProcess]:
        return [
            router
            for router in self._fleet.routers
            if router.process is not None and router.process.poll() is None
        ]

    async def _sample(self) -> None:
        """Add the slots of all homes if requests wait anywhere."""
        answers = [await _status(one) for one in self._running()]
        answers = [one for one in answers if one is not None]
        queued: Counter[str] = Counter()
        in_use: Counter[str] = Counter()
        slots: Counter[str] = Counter()
        for answer in answers:
            for row in answer['organisations']:
                queued[row['service']] += row['queued']['value'] or 0
            for service in answer['services']:
                name = service['service']
                slots[name] = sum(
                    one['slots']['value'] for one in service['targets']
                )
                in_use[name] += _count_at_home(
                    service['targets'], answer['router_id']
                )
            self._keep_ledger(answer)
        for name in slots:
            if queued[name]:
                self._watch.in_use[name] += in_use[name]
                self._watch.slots[name] += slots[name]
                self._watch.samples[name] += 1

    def _keep_ledger(self, answer: dict[str, Any]) -> None:
        for row in answer['organisations']:
            if row['service'] == _MODEL:
                name = row['organisation']
                units = row['service_units']['value'] or 0
                known = self._watch.units.get(name, 0)
                self._watch.units[name] = max(known, units)

    async def _mark(self) -> _Mark:
        await self._sample()
        sent: dict[str, float] = {}
        for router in self._running():
            count = await _sent_bytes(router)
            if count is not None:
                sent[router.name] = count
        return _Mark(
            time.monotonic(),
            {
                name: caller.statistics.model_units
                for name, caller in self._callers.items()
            },
            {
                name: caller.statistics.model_responses
                for name, caller in self._callers.items()
            },
            dict(self._watch.units),
            sent,
        )

    def _total(self) -> RequestStatistics:
        total = RequestStatistics()
        for caller in self._callers.values():
            total.add(caller.statistics)
        return total

    def _answers_count(self) -> int:
        return self._total().responses

    def _report(self, before: _Mark, after: _Mark) -> bool:
        total = self._total()
        self._print_organisations(before, after)
        print()
        self._print_gap(before, after)
        self._print_utilisation()
        _print_control(before, after)
        _print_counts(total)
        is_clean = total.is_clean
        if self._answers_after_kill is None:
            # Only a killed router may leave an outcome unknown.
            is_clean = is_clean and not total.unknown_outcomes
        else:
            later = self._answers_count() - self._answers_after_kill
            print(f'answers after the kill: {later}')
            is_clean = is_clean and later > 0
        return is_clean

    def _print_organisations(self, before: _Mark, after: _Mark) -> None:
        served = {
            name: after.units[name] - before.units[name] for name in _BACKLOGGED
        }
        all_served = sum(served.values()) or 1
        all_weight = sum(self._weights[name] for name in _BACKLOGGED)
        print(
            f'{"organisation":<16}{"weight":>7}{"requests":>10}{"answers":>9}'
            f'{"model units":>13}{"share of service":>18}'
            f'{"share of weight":>17}'
        )
        for name, caller in self._callers.items():
            statistics = caller.statistics
            shares = f'{"not backlogged":>35}'
            if name in _BACKLOGGED:
                part = served[name] / all_served
                wanted = self._weights[name] / all_weight
                shares = f'{part:>18.1%}{wanted:>17.1%}'
            print(
                f'{name:<16}{self._weights[name]:>7g}{statistics.requests:>10}'
                f'{statistics.responses:>9}'
                f'{statistics.model_units:>13.0f}{shares}'
            )

    def _print_gap(self, before: _Mark, after: _Mark) -> None:
        units = sum(after.units.values()) - sum(before.units.values())
        answers = sum(after.answers.values()) - sum(before.answers.values())
        mean_units = units / max(1, answers)
        elapsed = after.seconds - before.seconds
        print(
            f'fairness gap at {_MODEL} over {elapsed:.1f} s, in mean requests '
            f'({mean_units:.1f} units) per unit of weight:'
        )
        for source, first, last in (
            ('answers received', before.units, after.units),
            ('service counters', before.ledger, after.ledger),
        ):
            served = [
                (last.get(name, 0) - first.get(name, 0)) / self._weights[name]
                for name in _BACKLOGGED
            ]
            gap = (max(served) - min(served)) / (mean_units or 1)
            print(f'  by {source}: {gap:.2f}')

    def _print_utilisation(self) -> None:
        for name, slots in sorted(self._watch.slots.items()):
            share = self._watch.in_use[name] / slots
            count = self._watch.samples[name]
            print(
                f'utilisation of {name} while requests wait: {share:.3f} '
                f'({count} samples of /status)'
            )


def _count_at_home(targets: list[dict[str, Any]], router: str) -> int:
    """Return the slots in use of the targets that a router is home to.

    Other routers repeat these figures, which must not be counted twice.
    """
    return sum(
        one['in_use']['value'] or 0
        for one in targets
        if one['home']['value'] == router
    )


def _print_control(before: _Mark, after: _Mark) -> None:
    elapsed = after.seconds - before.seconds
    rates = []
    for name, sent in after.sent.items():
        grown = sent - before.sent.get(name, 0)
        rate = f'{grown / elapsed:.0f}' if grown else 'unknown'
        rates.append(f'{name} {rate}')
    listed = ', '.join(rates) or 'unknown'
    print(f'control bytes sent per second and router: {listed}')


def _print_counts(total: RequestStatistics) -> None:
    print(
        f'requests {total.requests}, answers {total.responses}, '
        f'losses {total.lost}, crossings {total.wrong_responses}, '
        f'duplicates {total.duplicate_runs}, '
        f'false refusals {total.false_rejections}, '
        f'answers without a run {total.unexecuted_responses}'
    )
    rejections = ', '.join(
        f'{code} {count}' for code, count in sorted(total.rejections.items())
    )
    print(
        f'replayed answers {total.replayed_responses}, broken connections '
        f'{total.broken_connections}, completions run again '
        f'{total.repeated_runs}, unknown outcomes {total.unknown_outcomes}, '
        f'refusals: {rejections or "none"}'
    )
    for note in total.problems[:10]:
        print(f'  {note}')


async def _status(router: RouterProcess) -> dict[str, Any] | None:
    try:
        answer = await fetch(router.operations_address, 'GET', '/status')
    except HttpError:
        return None
    document: dict[str, Any] = json.loads(answer.body)
    return document


async def _sent_bytes(router: RouterProcess) -> float | None:
    try:
        answer = await fetch(router.operations_address, 'GET', '/metrics')
    except HttpError:
        return None
    for line in answer.body.decode().splitlines():
        if line.startswith(f'{_SENT_METRIC} '):
            return float(line.rpartition(' ')[2])
    return None


def main(
    seconds: Annotated[float, typer.Option(help='Measured time.')] = 17.0,
    kill_router: Annotated[
        bool, typer.Option('--kill-router', help='Kill a router half-way.')
    ] = False,
    port_offset: Annotated[int, typer.Option(help='Added to ports.')] = 0,
) -> None:
    """Run the Workshops example under mixed work and check every answer."""
    # SIGINT may be ignored when a shell starts this in the background.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    print('starting 9 stand-ins and 4 routers')
    with LocalFleet(
        'workshops', port_offset=port_offset, overrides={'stop': _STOP}
    ) as fleet:
        is_clean = bool(curio.run(_Show(fleet, seconds, kill_router).run))
        print('stopping the routers')
        codes = fleet.stop_routers()
    print(f'exit codes of the routers: {codes}')
    is_clean = is_clean and not any(codes)
    print('every answer is whole and its own' if is_clean else 'FAILED')
    sys.exit(0 if is_clean else 1)


if __name__ == '__main__':
    typer.run(main)
