"""Faults that the soak test injects, registered by name."""

import random
import signal
from collections.abc import Awaitable, Callable
from typing import Final

import curio

from soak.environment import SoakEnvironment
from soak.proxy import FaultProxy, NetworkFault
from soak.routers import RouterProcess
from soak.traffic import Caller
from standins.row_store import StoreFault

__all__ = ('FAULTS', 'FLOODS', 'REFUSALS', 'RESTORES', 'Fault')

Fault = Callable[[SoakEnvironment, float], Awaitable[None]]
FAULTS: Final[dict[str, Fault]] = {}
# The store refuses a router and answers the others, which excuses nothing. In
# runs of their own, as other faults would be an excuse nearly always.
REFUSALS: Final[dict[str, Fault]] = {}
# The store comes back from older copies of itself. In runs of their own, so
# that the seeds of the others stay what they are.
RESTORES: Final[dict[str, Fault]] = {}
# Many callers keep to one router, which passes requests on to the others.
FLOODS: Final[dict[str, Fault]] = {}
_FLOOD_CALLERS_COUNT: Final = 160
_FLOOD_PAUSE_SECONDS: Final = 0.02
_SLICE_SECONDS: Final = 0.1
_POLL_SECONDS = 0.1
_MIN_REFUSED_SECONDS = 3.0
_MAX_DEPARTURE_SECONDS = 0.6


def _fault(
    name: str, registry: dict[str, Fault] = FAULTS
) -> Callable[[Fault], Fault]:
    """Register a fault, called with the environment and its duration."""

    def register(fault: Fault) -> Fault:
        registry[name] = fault
        return fault

    return register


async def _wait_active(environment: SoakEnvironment, seconds: float) -> None:
    """Wait for the duration of a fault, recording that it is active."""
    for _ in range(int(seconds / _POLL_SECONDS) + 1):
        environment.record_fault_time()
        await curio.sleep(_POLL_SECONDS)


async def _apply_network_fault(
    environment: SoakEnvironment,
    proxy: FaultProxy,
    fault: NetworkFault,
    seconds: float,
) -> None:
    proxy.set_fault(fault)
    await _wait_active(environment, seconds)
    proxy.set_fault(None)
    if fault is NetworkFault.REFUSED:
        return
    # Dropped bytes are not sent again: such connections cannot continue.
    if fault is not NetworkFault.DELAY:
        proxy.reset_all()


@_fault('kill')
async def _kill_router(environment: SoakEnvironment, seconds: float) -> None:
    await environment.restart(
        environment.rng.choice(environment.routers), signal.SIGKILL
    )


@_fault('kill-all')
async def _kill_all_routers(
    environment: SoakEnvironment, seconds: float
) -> None:
    tasks = [
        await curio.spawn(environment.restart, router, signal.SIGKILL)
        for router in environment.routers
    ]
    for task in tasks:
        await task.join()


@_fault('stop')
async def _stop_router(environment: SoakEnvironment, seconds: float) -> None:
    await environment.restart(
        environment.rng.choice(environment.routers), signal.SIGTERM
    )


@_fault('roll')
async def _restart_in_turn(
    environment: SoakEnvironment, seconds: float
) -> None:
    for router in environment.routers:
        await environment.restart(router, signal.SIGTERM)


@_fault('pause')
async def _pause_router(environment: SoakEnvironment, seconds: float) -> None:
    router = environment.rng.choice(environment.routers)
    router.send_signal(signal.SIGSTOP)
    await _wait_active(environment, seconds)
    router.send_signal(signal.SIGCONT)


@_fault('reload')
async def _reload_routers(environment: SoakEnvironment, seconds: float) -> None:
    for router in environment.routers:
        router.send_signal(signal.SIGHUP)


@_fault('store-path')
async def _disturb_store_network(
    environment: SoakEnvironment, seconds: float
) -> None:
    proxy = environment.rng.choice(environment.store_proxies)
    await _apply_network_fault(
        environment, proxy, environment.rng.choice(list(NetworkFault)), seconds
    )


@_fault('store-reset')
async def _reset_store_connections(
    environment: SoakEnvironment, seconds: float
) -> None:
    environment.record_fault_time()
    for proxy in environment.store_proxies:
        proxy.reset_all()


@_fault('store')
async def _break_store(environment: SoakEnvironment, seconds: float) -> None:
    environment.store.fault = environment.rng.choice(list(StoreFault))
    await _wait_active(environment, seconds)
    environment.store.compact()
    environment.store.fault = None


@_fault('store-restore', RESTORES)
async def _restore_store(environment: SoakEnvironment, seconds: float) -> None:
    """Let the store come back from a copy; lost rows are written again."""
    store = environment.store
    copied, version = store.copy(), store.version
    await _wait_active(environment, seconds)
    store.restore(copied, version)
    await _wait_active(environment, environment.rng.random())
    environment.write_again()


@_fault('server-path')
async def _disturb_server_network(
    environment: SoakEnvironment, seconds: float
) -> None:
    server = environment.rng.choice(list(environment.servers.values()))
    await _apply_network_fault(
        environment,
        server.proxy,
        environment.rng.choice(list(NetworkFault)),
        seconds,
    )


@_fault('server-reset')
async def _reset_server_connections(
    environment: SoakEnvironment, seconds: float
) -> None:
    environment.record_fault_time()
    for server in tuple(environment.servers.values()):
        server.proxy.reset_all()


@_fault('server-failing')
async def _fail_requests(environment: SoakEnvironment, seconds: float) -> None:
    stand_in = environment.rng.choice(
        list(environment.servers.values())
    ).stand_in
    stand_in.failure_ratio = environment.rng.uniform(0.1, 0.9)
    await _wait_active(environment, seconds)
    stand_in.failure_ratio = 0


@_fault('server-shedding')
async def _shed_requests(environment: SoakEnvironment, seconds: float) -> None:
    stand_in = environment.rng.choice(
        list(environment.servers.values())
    ).stand_in
    stand_in.shed_ratio = environment.rng.uniform(0.1, 1)
    await _wait_active(environment, seconds)
    stand_in.shed_ratio = 0


@_fault('replace')
async def _replace_server(environment: SoakEnvironment, seconds: float) -> None:
    """Start a new server, then drain another one, which keeps running."""
    service = environment.rng.choice(['model', 'app'])
    await environment.add_server(service)
    environment.drain_server(
        environment.rng.choice(environment.ready_servers(service)[:-1])
    )


@_fault('configure')
async def _change_config(environment: SoakEnvironment, seconds: float) -> None:
    for _ in range(environment.rng.randint(1, 4)):
        environment.write_config()
        await curio.sleep(_POLL_SECONDS)


@_fault('refuse-router', REFUSALS)
async def _refuse_router(environment: SoakEnvironment, seconds: float) -> None:
    """Refuse a router for seconds; a server leaves about when that ends."""
    rng = environment.rng
    if any(one.fault for one in environment.store_proxies):
        # Some router has to be answered, for the others to learn from it.
        return
    proxy = rng.choice(environment.store_proxies)
    proxy.set_fault(rng.choice((NetworkFault.REFUSED, NetworkFault.SILENT)))
    if proxy.fault is NetworkFault.REFUSED:
        proxy.reset_all()
    service = rng.choice(['model', 'app'])
    await environment.add_server(service)
    leaving = rng.choice(environment.ready_servers(service)[:-1])
    departure_seconds = rng.uniform(0, _MAX_DEPARTURE_SECONDS)
    await curio.sleep(_MIN_REFUSED_SECONDS + seconds)
    if rng.choice((True, False)):
        environment.remove_server(leaving)
        await curio.sleep(departure_seconds)
        proxy.set_fault(None)
    else:
        proxy.set_fault(None)
        await curio.sleep(departure_seconds)
        environment.remove_server(leaving)


@_fault('flood', FLOODS)
async def _flood_router(environment: SoakEnvironment, seconds: float) -> None:
    """Send more requests to a router than its processor can serve."""
    router = environment.rng.choice(environment.routers)
    first = len(environment.flood_callers)
    callers = [
        Caller(
            f'f{first + index}',
            environment,
            random.Random(environment.rng.random()),
            keeps_connection=bool(index % 2),
            address=router.endpoints.caller_address,
            max_pause_seconds=_FLOOD_PAUSE_SECONDS,
        )
        for index in range(_FLOOD_CALLERS_COUNT)
    ]
    environment.flood_callers.extend(callers)
    tasks = [await curio.spawn(caller.run, daemon=True) for caller in callers]
    for _ in range(int(seconds / (2 * _SLICE_SECONDS)) + 1):
        await _run_half_the_time(router)
    for task in tasks:
        await task.cancel()


async def _run_half_the_time(router: RouterProcess) -> None:
    router.send_signal(signal.SIGSTOP)
    await curio.sleep(_SLICE_SECONDS)
    router.send_signal(signal.SIGCONT)
    await curio.sleep(_SLICE_SECONDS)


@_fault('configure', REFUSALS)
async def _change_config_meanwhile(
    environment: SoakEnvironment, seconds: float
) -> None:
    await _change_config(environment, seconds)


FLOODS.update(
    {
        name: FAULTS[name]
        for name in ('kill', 'stop', 'roll', 'pause', 'replace', 'configure')
    }
)
RESTORES.update(
    {
        name: FAULTS[name]
        for name in ('kill', 'stop', 'store-path', 'replace', 'configure')
    }
)
