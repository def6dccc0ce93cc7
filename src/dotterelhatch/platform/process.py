"""Runs a router on the platform until a signal stops it."""

import logging
import os
import signal
import sys
from pathlib import Path
from typing import Final

import curio

from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.gateway.daemon import Gateway
from dotterelhatch.gateway.decisions import (
    Decision,
    NonBlockingHandler,
    configure_gateway_logging,
    log_decision,
)
from dotterelhatch.gateway.lag import TimedSelector
from dotterelhatch.gateway.state import boottime_seconds
from dotterelhatch.gateway.suspension import SuspensionDetector
from dotterelhatch.net.http import HttpServer
from dotterelhatch.platform.endpoints import DirectoryHandler, ReadinessHandler
from dotterelhatch.platform.feeds import RouterDiscovery, StoreWatcher
from dotterelhatch.platform.settings import ProcessSettings, load_settings
from dotterelhatch.platform.store import Store
from dotterelhatch.platform.wire import PlatformWireFormat
from dotterelhatch.signals import SignalReceiver
from dotterelhatch.version import VERSION

__all__ = ('main',)

_LOGGER: Final = logging.getLogger(__name__)
_SETTINGS_VARIABLE: Final = 'DOTTERELHATCH_CONFIG'
_DEFAULT_PATH: Final = '/etc/dotterelhatch/settings.toml'
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def _serve(
    path: Path,
    process: ProcessSettings,
    handler: NonBlockingHandler,
    selector: TimedSelector,
) -> int:
    settings = process.gateway
    gateway = Gateway(settings, PlatformWireFormat(), handler, selector)
    metrics = gateway.state.metrics
    store = Store(process.store_address, metrics.read_bytes.labels('store').inc)
    watcher = StoreWatcher(store, gateway, process.renewal_seconds)
    discovery = RouterDiscovery(store, gateway)
    readiness = HttpServer(process.ready_address, ReadinessHandler(gateway))
    directory = HttpServer(process.directory_address, DirectoryHandler(gateway))
    log_decision(
        Decision.STARTED,
        version=VERSION,
        failure_domain=settings.failure_domain,
        caller_address=settings.caller_address,
        seeds=settings.seed_addresses,
    )
    async with (
        SignalReceiver(*_SIGNALS) as signals,
        gateway,
        readiness,
        directory,
    ):
        for task in (
            watcher.watch_config,
            watcher.watch_targets,
            watcher.abort_outdated_polls,
            discovery.run,
        ):
            await curio.spawn(task, daemon=True)
        while await signals.receive() is signal.SIGHUP:
            _reload(path, gateway)
        unregister_task = await curio.spawn(discovery.unregister, daemon=True)
        await gateway.leave()
        await unregister_task.cancel()
    return 0


def _reload(path: Path, gateway: Gateway) -> None:
    """Reload the settings file; keep the settings if it is invalid."""
    try:
        settings = load_settings(path).gateway
        gateway.reload(settings)
    except DotterelhatchError as error:
        log_decision(Decision.RELOADED, outcome='kept', reason=str(error))
    except Exception as unforeseen:
        # The requests in progress would end with the process.
        _LOGGER.exception('the settings could not be reloaded')
        log_decision(Decision.RELOADED, outcome='kept', reason=repr(unforeseen))


def main() -> int:
    """Run the process and return its exit code."""
    path = Path(os.environ.get(_SETTINGS_VARIABLE, _DEFAULT_PATH))
    try:
        process = load_settings(path)
    except DotterelhatchError as error:
        sys.stderr.write(f'error: {error}\n')
        return error.spec.exit_code
    handler = configure_gateway_logging(process.gateway)
    selector = TimedSelector(suspensions=SuspensionDetector(boottime_seconds))
    return int(
        curio.run(_serve, path, process, handler, selector, selector=selector)
    )
