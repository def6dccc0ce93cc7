"""One run: traffic, faults in random order, and what must hold meanwhile."""

import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import curio

from soak.faults import FAULTS
from soak.servers import Run
from soak.traffic import Caller, Ending, Record
from soak.world import World

__all__ = ('SoakSettings', 'SoakResult', 'run_soak')

# Time in which a leaving server has to be left alone, and in which a change
# reaches routers that were harmed before.
_DRAIN_SECONDS: Final = 2.0
_STABLE_SECONDS: Final = 3.0
# Between the arrival at the router and the start at the server.
_MARGIN_SECONDS: Final = 0.5
# After the last fault, and of which most requests have to be served.
_RECOVERY_SECONDS: Final = 12.0
_CALM_SECONDS: Final = 2.0
_SERVED_SHARE: Final = 0.9
_START_SECONDS: Final = 20.0
_POLL_SECONDS: Final = 0.05
_CALLERS_COUNT: Final = 8
_LONGEST_FAULT_SECONDS: Final = 3.0
_LONGEST_PAUSE_SECONDS: Final = 1.2
# A refusal of a request that may be repeated can follow a run that failed.
_NOT_REPEATABLE: Final = frozenset(('booking', 'draft'))
_BAD_LINES: Final = (
    'Traceback',
    'handler failed',
    'a periodic task of the gateway',
)


@dataclass(frozen=True)
class SoakSettings:
    """What to run.

    :param faulty_seconds: how long faults begin.
    """

    seed: int
    folder: Path
    faulty_seconds: float = 12.0


@dataclass(frozen=True)
class SoakResult:
    """What a run has found.

    :param faults: names in the order in which they began.
    """

    seed: int
    problems: tuple[str, ...]
    endings: dict[str, int]
    faults: tuple[str, ...]


def run_soak(settings: SoakSettings) -> SoakResult:
    """Run one seed."""
    result: SoakResult = curio.run(_run, settings)
    return result


async def _run(settings: SoakSettings) -> SoakResult:
    rng = random.Random(settings.seed)
    settings.folder.mkdir(parents=True, exist_ok=True)
    callers: list[Caller] = []
    async with World(rng, settings.folder) as world:
        await _wait_ready(world, 'at the start')
        tasks = []
        for index in range(_CALLERS_COUNT):
            caller = Caller(f'c{index}', world, random.Random(rng.random()))
            callers.append(caller)
            tasks.append(await curio.spawn(caller.run, daemon=True))
        faults = await _disturb(world, settings.faulty_seconds)
        await _recover(world, callers)
        for task in tasks:
            await task.cancel()
        problems = [*world.problems, *_broken_promises(world, callers)]
        problems += _bad_lines(world)
    endings = Counter(one.ending.value for one in _records(callers))
    return SoakResult(
        settings.seed, tuple(problems), dict(endings), tuple(faults)
    )


async def _disturb(world: World, faulty_seconds: float) -> list[str]:
    """Begin faults one after the other; they overlap."""
    begun = []
    running = []
    end_seconds = time.monotonic() + faulty_seconds
    while time.monotonic() < end_seconds:
        name = world.rng.choice(sorted(FAULTS))
        seconds = world.rng.uniform(0.2, _LONGEST_FAULT_SECONDS)
        begun.append(f'{name} {seconds:.1f} s')
        running.append(await curio.spawn(FAULTS[name], world, seconds))
        await curio.sleep(world.rng.uniform(0.1, _LONGEST_PAUSE_SECONDS))
    for task in running:
        await task.join()
    return begun


async def _wait_ready(world: World, when: str) -> None:
    end_seconds = time.monotonic() + _START_SECONDS
    for router in world.routers:
        while not await world.is_ready(router):
            if time.monotonic() > end_seconds:
                world.problems.append(f'{router.site.name} not ready {when}')
                return
            await curio.sleep(_POLL_SECONDS)


async def _recover(world: World, callers: list[Caller]) -> None:
    """Check that requests are served again within the recovery time."""
    end_seconds = time.monotonic() + _RECOVERY_SECONDS
    await _wait_ready(world, 'after the last fault')
    share = 0.0
    while share < _SERVED_SHARE and time.monotonic() < end_seconds:
        since_seconds = time.monotonic()
        await curio.sleep(_CALM_SECONDS)
        late = [
            one for one in _records(callers) if one.sent_seconds > since_seconds
        ]
        served_count = sum(one.ending is Ending.SERVED for one in late)
        share = served_count / max(1, len(late))
    if share < _SERVED_SHARE:
        world.problems.append(
            f'{share:.2f} of the requests served {_RECOVERY_SECONDS:g} s'
            ' after the last fault'
        )


def _broken_promises(world: World, callers: list[Caller]) -> Iterator[str]:
    for record in _records(callers):
        runs_count = len(world.book.runs.get(record.request_id, ()))
        if record.kind in _NOT_REPEATABLE and runs_count > 1:
            yield f'{record.request_id} ran {runs_count} times'
        is_refused = record.ending is Ending.REFUSED
        if is_refused and record.kind in _NOT_REPEATABLE and runs_count:
            yield f'{record.request_id} ran, but was refused: {record.detail}'
    yield from _unasked(world, callers)
    yield from _late_runs(world)


def _unasked(world: World, callers: list[Caller]) -> Iterator[str]:
    known = {one.request_id for one in _records(callers)}
    known |= {f'{caller.name}-{len(caller.records)}' for caller in callers}
    for request_id in world.book.runs.keys() - known:
        yield f'{request_id} ran, but no caller sent it'


def _late_runs(world: World) -> Iterator[str]:
    """Find requests that reached a server long after it began to leave."""
    for request_id, runs in world.book.runs.items():
        for run in runs:
            late_seconds = _late_seconds(world, run)
            if late_seconds > _DRAIN_SECONDS + _MARGIN_SECONDS:
                yield (
                    f'{request_id} reached {run.instance}'
                    f' {late_seconds:.1f} s after it began to leave'
                )


def _late_seconds(world: World, run: Run) -> float:
    """Return how long a server had been leaving, 0 beside any fault."""
    left_seconds = world.servers[run.instance].left_seconds
    if left_seconds is None:
        return 0
    harmed = [
        harm_seconds
        for harm_seconds in world.harms_seconds
        if left_seconds - _STABLE_SECONDS <= harm_seconds <= run.began_seconds
    ]
    return 0 if harmed else run.began_seconds - left_seconds


def _bad_lines(world: World) -> Iterator[str]:
    for router in world.routers:
        text = router.log_path.read_text(errors='replace')
        for line in text.splitlines():
            if any(bad in line for bad in _BAD_LINES):
                yield f'{router.site.name} logged: {line[:300]}'


def _records(callers: list[Caller]) -> list[Record]:
    return [record for caller in callers for record in caller.records]
