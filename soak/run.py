"""One soak run: traffic, random faults and checks of the guarantees."""

import random
import re
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import curio

from soak.environment import TENANT, SoakEnvironment
from soak.faults import FAULTS, Fault
from soak.servers import Execution
from soak.traffic import Caller, RequestOutcome, RequestRecord

__all__ = ('SoakSettings', 'SoakResult', 'run_soak')

# Routers must stop sending requests to a draining server within this time.
_MAX_DRAIN_DELAY_SECONDS: Final = 2.0
# A fault may delay the notification of a drain for this long after its end.
_FAULT_EFFECT_SECONDS: Final = 3.0
# Time between the arrival at a router and the start at a server.
_DISPATCH_MARGIN_SECONDS: Final = 0.5
# Time after the last fault within which the routers must recover.
_RECOVERY_TIMEOUT_SECONDS: Final = 12.0
# The fleet has recovered once this ratio of the requests that were sent in
# one sample period is served.
_SAMPLE_SECONDS: Final = 2.0
_MIN_SERVED_RATIO: Final = 0.9
_READY_TIMEOUT_SECONDS: Final = 20.0
_POLL_SECONDS: Final = 0.05
_CALLERS_COUNT: Final = 8
_MAX_FAULT_SECONDS: Final = 3.0
_MAX_PAUSE_SECONDS: Final = 1.2
# Requests of the other routes are retryable, so a request may be rejected
# after one of its attempts was executed and failed.
_AT_MOST_ONCE_ROUTES: Final = frozenset(('booking', 'draft'))
_PASSED_ON: Final = re.compile(r'"passed_on": ([0-9]+)')
_ERROR_MARKERS: Final = (
    'Traceback',
    'handler failed',
    'a periodic task of the gateway',
)


@dataclass(frozen=True)
class SoakSettings:
    """Settings of a run.

    :param folder: for the settings and logs of the routers.
    :param faulty_seconds: period in which faults are started.
    :param faults: those that may start, by name.
    """

    seed: int
    folder: Path
    faulty_seconds: float = 12.0
    faults: Mapping[str, Fault] = field(default_factory=lambda: FAULTS)


@dataclass(frozen=True)
class SoakResult:
    """Result of a run.

    :param problems: broken guarantees, empty if the run passed.
    :param outcomes: number of requests by outcome, and of those passed on.
    :param faults: names and durations in the order in which they started.
    """

    seed: int
    problems: tuple[str, ...]
    outcomes: dict[str, int]
    faults: tuple[str, ...]


def run_soak(settings: SoakSettings) -> SoakResult:
    """Run the soak test with one seed."""
    result: SoakResult = curio.run(_run, settings)
    return result


async def _run(settings: SoakSettings) -> SoakResult:
    rng = random.Random(settings.seed)
    settings.folder.mkdir(parents=True, exist_ok=True)
    callers: list[Caller] = []
    async with SoakEnvironment(rng, settings.folder) as environment:
        await _wait_ready(environment, 'at the start')
        tasks = []
        for index in range(_CALLERS_COUNT):
            caller = Caller(
                f'c{index}',
                environment,
                random.Random(rng.random()),
                keeps_connection=bool(index % 2),
            )
            callers.append(caller)
            tasks.append(await curio.spawn(caller.run, daemon=True))
        faults = await _inject_faults(environment, settings)
        await _recover(environment, callers)
        for task in tasks:
            await task.cancel()
        callers.extend(environment.flood_callers)
        problems = [
            *environment.problems,
            *_check_guarantees(environment, callers),
        ]
        problems += _error_lines(environment)
        outcomes = Counter(one.outcome.value for one in _records(callers))
        outcomes['passed on'] = _passed_on_count(environment)
    return SoakResult(
        settings.seed, tuple(problems), dict(outcomes), tuple(faults)
    )


async def _inject_faults(
    environment: SoakEnvironment, settings: SoakSettings
) -> list[str]:
    """Start random faults one after the other; they may overlap.

    :returns: their names and durations.
    """
    started = []
    running = []
    end_seconds = time.monotonic() + settings.faulty_seconds
    while time.monotonic() < end_seconds:
        name = environment.rng.choice(sorted(settings.faults))
        seconds = environment.rng.uniform(0.2, _MAX_FAULT_SECONDS)
        started.append(f'{name} {seconds:.1f} s')
        fault = settings.faults[name]
        running.append(await curio.spawn(fault, environment, seconds))
        await curio.sleep(environment.rng.uniform(0.1, _MAX_PAUSE_SECONDS))
    for task in running:
        await task.join()
    return started


async def _wait_ready(environment: SoakEnvironment, when: str) -> None:
    end_seconds = time.monotonic() + _READY_TIMEOUT_SECONDS
    for router in environment.routers:
        while not await environment.is_ready(router):
            if time.monotonic() > end_seconds:
                environment.problems.append(
                    f'{router.endpoints.name} not ready {when}'
                )
                return
            await curio.sleep(_POLL_SECONDS)


async def _recover(environment: SoakEnvironment, callers: list[Caller]) -> None:
    """Check that requests are served again within the recovery timeout."""
    end_seconds = time.monotonic() + _RECOVERY_TIMEOUT_SECONDS
    await _wait_ready(environment, 'after the last fault')
    served_ratio = 0.0
    while served_ratio < _MIN_SERVED_RATIO and time.monotonic() < end_seconds:
        since_seconds = time.monotonic()
        await curio.sleep(_SAMPLE_SECONDS)
        sample = [
            record
            for record in _records(callers)
            if record.sent_seconds > since_seconds
        ]
        served_count = sum(
            record.outcome is RequestOutcome.SERVED for record in sample
        )
        served_ratio = served_count / max(1, len(sample))
    if served_ratio < _MIN_SERVED_RATIO:
        environment.problems.append(
            f'only {served_ratio:.2f} of the requests served'
            f' {_RECOVERY_TIMEOUT_SECONDS:g} s after the last fault'
        )


def _check_guarantees(
    environment: SoakEnvironment, callers: list[Caller]
) -> Iterator[str]:
    for record in _records(callers):
        executions_count = len(
            environment.execution_log.executions.get(record.request_id, ())
        )
        if record.route in _AT_MOST_ONCE_ROUTES and executions_count > 1:
            yield f'{record.request_id} was executed {executions_count} times'
        is_rejected = record.outcome is RequestOutcome.REJECTED
        if (
            is_rejected
            and record.route in _AT_MOST_ONCE_ROUTES
            and executions_count
        ):
            yield (
                f'{record.request_id} was executed, but rejected:'
                f' {record.detail}'
            )
    for request_id, tenant in environment.execution_log.tenants.items():
        if tenant != TENANT:
            yield f'{request_id} was executed for {tenant}, not for {TENANT}'
    yield from _unexpected_executions(environment, callers)
    yield from _late_executions(environment)


def _unexpected_executions(
    environment: SoakEnvironment, callers: list[Caller]
) -> Iterator[str]:
    sent_ids = {record.request_id for record in _records(callers)}
    # A request in progress has no record yet.
    sent_ids |= {f'{caller.name}-{len(caller.records)}' for caller in callers}
    for request_id in environment.execution_log.executions.keys() - sent_ids:
        yield f'{request_id} was executed, but no caller sent it'


def _late_executions(environment: SoakEnvironment) -> Iterator[str]:
    """Find requests that reached a server long after its drain started."""
    for request_id, executions in environment.execution_log.executions.items():
        for execution in executions:
            late_seconds = _late_seconds(environment, execution)
            if (
                late_seconds
                > _MAX_DRAIN_DELAY_SECONDS + _DISPATCH_MARGIN_SECONDS
            ):
                yield (
                    f'{request_id} reached {execution.instance}'
                    f' {late_seconds:.1f} s after its drain started'
                )


def _late_seconds(environment: SoakEnvironment, execution: Execution) -> float:
    """Return how long a server had been draining when a request started.

    :returns: 0 if a fault may have delayed the notification of the drain.
    """
    drain_started_seconds = environment.servers[
        execution.instance
    ].drain_started_seconds
    if drain_started_seconds is None:
        return 0
    recent_faults_seconds = [
        fault_seconds
        for fault_seconds in environment.fault_times_seconds
        if drain_started_seconds - _FAULT_EFFECT_SECONDS
        <= fault_seconds
        <= execution.started_seconds
    ]
    return (
        0
        if recent_faults_seconds
        else execution.started_seconds - drain_started_seconds
    )


def _error_lines(environment: SoakEnvironment) -> Iterator[str]:
    for router in environment.routers:
        text = router.log_path.read_text(errors='replace')
        for line in text.splitlines():
            if any(marker in line for marker in _ERROR_MARKERS):
                yield f'{router.endpoints.name} logged: {line[:300]}'


def _passed_on_count(environment: SoakEnvironment) -> int:
    """Return how many requests routers have passed on to others."""
    logs = [router.log_path.read_text() for router in environment.routers]
    return sum(map(int, _PASSED_ON.findall('\n'.join(logs))))


def _records(callers: list[Caller]) -> list[RequestRecord]:
    return [record for caller in callers for record in caller.records]
