"""The router process: sockets, periodic tasks, signals and shutdown."""

import logging
import random
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Final, Self

import curio
import pydantic_core
from curio.task import ContextTask
from pydantic import JsonValue, TypeAdapter

from dotterelhatch.backing.http import (
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
)
from dotterelhatch.backing.interfaces import PlatformError
from dotterelhatch.broker import Broker
from dotterelhatch.callers import CallerHandler
from dotterelhatch.claimstore import ClaimStore
from dotterelhatch.configstore import ConfigStore
from dotterelhatch.core.claims import ClaimOwner, Identity
from dotterelhatch.core.events import (
    Action,
    ApplyConfig,
    CallFailed,
    ConfigInForce,
    ConfigStored,
    FrameReceived,
    HostsListed,
    LeaveRequested,
    ProbeTarget,
    ReplyFrame,
    SendFrame,
    TargetProbed,
    Ticked,
)
from dotterelhatch.core.node import Node
from dotterelhatch.core.placement import claim_cleaner_of
from dotterelhatch.core.retries import Backoff
from dotterelhatch.document import decode_document, effective_config
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.filters.authenticate import Authenticate
from dotterelhatch.filters.claim import Claim
from dotterelhatch.filters.disconnect import CancelOnDisconnect
from dotterelhatch.filters.dispatch import Dispatch
from dotterelhatch.filters.parse import Parse
from dotterelhatch.filters.pipeline import Pipeline
from dotterelhatch.filters.requestmetrics import RecordMetrics
from dotterelhatch.filters.respond import Respond
from dotterelhatch.fleet import FleetConfig
from dotterelhatch.gauges import update_gauges
from dotterelhatch.ids import Incarnation, RouterId
from dotterelhatch.logs import RateLimitFilter, configure_logging
from dotterelhatch.metrics import CallResult, Metrics
from dotterelhatch.net.http import HttpLimits, HttpServer, render_problem
from dotterelhatch.net.peers import (
    CallFailure,
    CallSucceeded,
    PeerEvent,
    PeerExchange,
    PendingReply,
)
from dotterelhatch.net.peers import CallFailed as PeerCallFailed
from dotterelhatch.net.peers import FrameReceived as PeerFrameReceived
from dotterelhatch.net.targets import TargetClient
from dotterelhatch.operations import OperationsHandler
from dotterelhatch.rates import MovingRate
from dotterelhatch.settings import RouterSettings
from dotterelhatch.signals import SignalReceiver
from dotterelhatch.status import FleetStatus
from dotterelhatch.statusbuilder import build_status

__all__ = ('NodeFactory', 'Router', 'run_router')

_LOGGER: Final = logging.getLogger(__name__)

_BUSY_TICK_SECONDS: Final = 0.02
_IDLE_TICK_SECONDS: Final = 0.1
_SETTLE_INTERVAL_SECONDS: Final = 1.0
# Cleaning reads at most 50 rows/s of the 2,000 that the table service permits.
_CLEAN_INTERVAL_SECONDS: Final = 2.0
_CLEAN_ROWS_COUNT: Final = 100
_SUPPRESSED_REPORT_INTERVAL_SECONDS: Final = 10.0
_MILLISECONDS_PER_SECOND: Final = 1000
_JSON_OBJECT: Final = TypeAdapter(dict[str, JsonValue])
_EXIT_STOPPED_EARLY: Final = 1
_RESULTS_BY_FAILURE: Final = {
    CallFailure.TIMEOUT: CallResult.TIMED_OUT,
    CallFailure.UNREACHABLE: CallResult.FAILED,
    CallFailure.REFUSED: CallResult.FAILED,
    CallFailure.INVALID_ANSWER: CallResult.FAILED,
}
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


# Creates the node. Benchmarks pass factories with other scheduling policies.
NodeFactory = Callable[
    [RouterSettings, Incarnation, random.Random, Callable[[bytes], bool]],
    Node,
]


class Router:
    """A router, as an asynchronous context manager that runs it.

    It performs the actions of the sans-I/O core and passes events to it.

    :param make_node: creates the sans-I/O core.
    """

    def __init__(
        self, settings: RouterSettings, make_node: NodeFactory = Node
    ) -> None:
        """Create all components; nothing is opened yet."""
        self.settings = settings
        self._clock = time.monotonic
        rng = random.SystemRandom()
        incarnation = Incarnation(int(time.time() * _MILLISECONDS_PER_SECOND))
        self.node = make_node(
            settings, incarnation, rng, self._is_valid_document
        )
        self.metrics = Metrics()
        self.metrics.before_render = self._update_gauges
        self.sent_rate = MovingRate()
        self.received_rate = MovingRate()
        self.broker = Broker(self.node, self._clock, self._perform)
        platform = settings.platform
        timeout_seconds = platform.call_timeout_seconds
        tables = HttpTableService(platform.tables_url, timeout_seconds)
        objects = HttpObjectStore(platform.objects_url, timeout_seconds)
        self._hosts = HttpHostList(platform.hosts_url, timeout_seconds)
        self._configs = ConfigStore(tables, time.time)
        self._claims = ClaimStore(
            tables,
            objects,
            time.time,
            curio.sleep,
            Identity(
                ClaimOwner(
                    router_id=settings.router_id, incarnation=incarnation
                ),
                self._is_owner_live,
            ),
            rng,
        )
        self._target_client = TargetClient()
        self._peers = PeerExchange(settings)
        self._pending_reply: PendingReply | None = None
        self._is_drain_requested = False
        self._cached_config: tuple[bytes, FleetConfig] | None = None
        self._router_by_address: dict[str, RouterId] = {}
        self._caller_server = HttpServer(
            settings.caller_address,
            CallerHandler(
                self.node, settings, self._pipeline(rng), self._clock, rng
            ),
            HttpLimits(),
            render_error=render_problem,
        )
        self._operations_server = HttpServer(
            settings.operations_address,
            OperationsHandler(self, self.metrics),
            HttpLimits(),
        )
        self._stack = AsyncExitStack()
        self._tasks: list[curio.Task] = []

    async def __aenter__(self) -> Self:
        """Open all sockets and start the periodic tasks."""
        await self._stack.enter_async_context(self._target_client)
        await self._stack.enter_async_context(self._peers)
        for loop in (
            self._consume_peer_events,
            self._tick,
            self._poll_hosts,
            self._poll_config,
            self._settle_claims,
            self._clean_claims,
        ):
            self._tasks.append(await curio.spawn(loop, daemon=True))
        await self._stack.enter_async_context(self._operations_server)
        await self._stack.enter_async_context(self._caller_server)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the tasks and close all sockets."""
        for task in self._tasks:
            await task.cancel()
        await self._stack.aclose()

    def dump(self) -> dict[str, JsonValue]:
        """Return the internal state for the state dump."""
        state = self.node.dump(self._clock()) | {
            'peers': self._peers.dump(),
            'claims_pending_count': self._claims.pending_count,
            'requests_count': self._caller_server.exchanges_count,
        }
        return _JSON_OBJECT.validate_json(
            pydantic_core.to_json(state, fallback=str)
        )

    def on_status_viewed(self) -> None:
        """Collect status reports from the peers for some time."""
        self.node.status_collector.on_status_viewed(self._clock())

    def status(self) -> FleetStatus:
        """Return the status of the fleet as this router knows it."""
        now_seconds = self._clock()
        return build_status(
            self.node,
            now_seconds,
            self.sent_rate.per_second(now_seconds),
            self.received_rate.per_second(now_seconds),
        )

    def drain(self) -> None:
        """Leave the fleet at the next tick; the process keeps running."""
        self._is_drain_requested = True

    def undrain(self) -> None:
        """Raise an error: an incarnation that left cannot join again."""
        raise DotterelhatchError(
            ErrorKind.METHOD_NOT_ALLOWED,
            'a router that is leaving can only rejoin after a restart',
        )

    async def stop(self) -> None:
        """Leave the fleet and wait until no request is in progress.

        Connections are accepted until the addresses that callers cached have
        expired.
        """
        stop = self.settings.stop
        _LOGGER.info('leaving the fleet')
        await self.broker.submit(LeaveRequested())
        await curio.sleep(stop.address_ttl_seconds + stop.margin_seconds)
        await self._caller_server.stop_accepting()
        await self._caller_server.drain()
        _LOGGER.info('all requests have ended; stopping')

    def _pipeline(self, rng: random.Random) -> Pipeline:
        return Pipeline(
            (
                RecordMetrics(self.metrics, self._clock),
                Authenticate(),
                Parse(),
                CancelOnDisconnect(),
                Respond(),
                Claim(self._claims, self.metrics),
                Dispatch(
                    self.broker,
                    self.node,
                    self._target_client,
                    Backoff(rng),
                    self._clock,
                ),
            )
        )

    def _is_owner_live(
        self, router: RouterId, incarnation: Incarnation
    ) -> bool:
        membership = self.node.membership
        known = membership.incarnation_of(router)
        return membership.is_reachable(router) and known == incarnation

    def _is_valid_document(self, document: bytes) -> bool:
        try:
            self._effective_config(document)
        except DotterelhatchError as error:
            _LOGGER.error('received configuration is not valid: %s', error)
            return False
        return True

    def _effective_config(self, document: bytes) -> FleetConfig:
        """Return the configuration with the overlay of this site.

        The last result is cached, because each document is first checked and
        then applied, and building it takes 0.2 s for 2,300 targets.
        """
        if self._cached_config is None or self._cached_config[0] != document:
            config = effective_config(
                decode_document(document), self.settings.failure_domain
            )
            self._cached_config = (document, config)
        return self._cached_config[1]

    async def _perform(self, action: Action) -> None:
        match action:
            case SendFrame():
                self._router_by_address[action.address] = action.router
                self._peers.submit(action.address, action.frame)
            case ReplyFrame():
                self._send_reply(action)
            case ApplyConfig():
                await self._apply_config(action)
            case ProbeTarget():
                await curio.spawn(self._probe, action, daemon=True)

    def _send_reply(self, action: ReplyFrame) -> None:
        if self._pending_reply is not None:
            self._pending_reply.send(action.frame)
            self._count_control(self._pending_reply.sent_bytes, 0)
            self._pending_reply = None

    def _count_control(self, sent_bytes: int, received_bytes: int) -> None:
        now_seconds = self._clock()
        self.sent_rate.add(sent_bytes, now_seconds)
        self.received_rate.add(received_bytes, now_seconds)
        self.metrics.count_control_bytes(sent_bytes, received_bytes)

    def _update_gauges(self) -> None:
        update_gauges(self.metrics, self.node, self._clock())

    async def _apply_config(self, action: ApplyConfig) -> None:
        try:
            config = self._effective_config(action.document)
        except DotterelhatchError as error:
            _LOGGER.error(
                'configuration %d is not valid: %s', action.version, error
            )
            return
        _LOGGER.info('configuration %d is active', action.version)
        self.metrics.apply_config(action.version, config)
        await self.broker.submit(ConfigInForce(action.version, config))

    async def _probe(self, action: ProbeTarget) -> None:
        instance = await self._target_client.probe(action.address)
        await self.broker.submit(
            TargetProbed(action.target, healthy=instance is not None)
        )

    async def _consume_peer_events(self) -> None:
        while True:
            event = await self._peers.next_event()
            await self._run_step(self._handle_peer_event, event)

    async def _handle_peer_event(self, event: PeerEvent) -> None:
        match event:
            case PeerFrameReceived():
                self._pending_reply = event.pending_reply
                self._count_control(0, event.received_bytes)
                await self.broker.submit(
                    FrameReceived(event.frame, callee=None)
                )
            case CallSucceeded():
                router = self._router_by_address[event.peer_address]
                self.metrics.count_exchange_call(CallResult.ANSWERED)
                self._count_control(event.sent_bytes, event.received_bytes)
                await self.broker.submit(
                    FrameReceived(event.frame, callee=router)
                )
            case PeerCallFailed():
                router = self._router_by_address[event.peer_address]
                _LOGGER.warning(
                    'call to router %s failed: %s',
                    router,
                    event.reason.value,
                )
                self.metrics.count_exchange_call(
                    _RESULTS_BY_FAILURE[event.reason]
                )
                self._count_control(event.sent_bytes, 0)
                is_refused = event.reason is CallFailure.UNREACHABLE
                await self.broker.submit(CallFailed(router, is_refused))

    async def _tick(self) -> None:
        while True:
            await self._run_step(self._submit_tick)
            has_waiting_requests = self.node.waiting_count() > 0
            await curio.sleep(
                _BUSY_TICK_SECONDS
                if has_waiting_requests
                else _IDLE_TICK_SECONDS
            )

    async def _submit_tick(self) -> None:
        if self._is_drain_requested:
            self._is_drain_requested = False
            await self.broker.submit(LeaveRequested())
        await self.broker.submit(Ticked())

    async def _run_step(
        self, step: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run one step of a loop; if it fails, log that and continue."""
        try:
            await step(*arguments)
        except Exception:
            _LOGGER.exception('unexpected error in a router loop')

    async def _poll_hosts(self) -> None:
        await self._poll(
            'reading the host list',
            self._read_hosts,
            self.settings.platform.hosts_interval_seconds,
        )

    async def _read_hosts(self) -> None:
        hosts = await self._hosts.read_hosts()
        await self.broker.submit(HostsListed(hosts))

    async def _poll_config(self) -> None:
        await self._poll(
            'reading the configuration',
            self._read_config,
            self.settings.platform.config_interval_seconds,
        )

    async def _read_config(self) -> None:
        known_version = self.node.rollout.active_version
        stored = await self._configs.read_if_newer(known_version)
        if stored is not None:
            await self.broker.submit(
                ConfigStored(stored.version, stored.document)
            )

    async def _settle_claims(self) -> None:
        await self._poll(
            'settling of pending claims',
            self._claims.settle_pending,
            _SETTLE_INTERVAL_SECONDS,
        )

    async def _clean_claims(self) -> None:
        await self._poll(
            'deletion of expired claims',
            self._delete_expired,
            _CLEAN_INTERVAL_SECONDS,
        )

    async def _delete_expired(self) -> None:
        cleaner = claim_cleaner_of(self.node.membership.live())
        if cleaner == self.settings.router_id:
            await self._claims.delete_expired(_CLEAN_ROWS_COUNT)

    async def _poll(
        self,
        operation: str,
        call: Callable[[], Awaitable[object]],
        interval_seconds: float,
    ) -> None:
        while True:
            try:
                await call()
            except (PlatformError, DotterelhatchError) as error:
                _LOGGER.warning(
                    'platform call failed (%s): %s', operation, error
                )
            await curio.sleep(interval_seconds)


def run_router(settings: RouterSettings, make_node: NodeFactory = Node) -> int:
    """Run a router until a stop signal and return the exit code."""
    rate_limit = configure_logging(settings)
    # Log records carry a request id from a context variable, so each task needs
    # its own context.
    exit_code = curio.run(
        _run, settings, make_node, rate_limit, taskcls=ContextTask
    )
    return int(exit_code)


async def _run(
    settings: RouterSettings,
    make_node: NodeFactory,
    rate_limit: RateLimitFilter,
) -> int:
    await curio.spawn(_report_suppressed, rate_limit, daemon=True)
    router = Router(settings, make_node)
    async with SignalReceiver(*_SIGNALS) as signals, router:
        while await signals.receive() is signal.SIGUSR1:
            _LOGGER.info('state dump', extra={'dump': router.dump()})
        return await _stop(router, settings.stop.stop_limit_seconds)


async def _report_suppressed(rate_limit: RateLimitFilter) -> None:
    while True:
        await curio.sleep(_SUPPRESSED_REPORT_INTERVAL_SECONDS)
        rate_limit.report_suppressed()


async def _stop(router: Router, limit_seconds: float | None) -> int:
    if limit_seconds is None:
        await router.stop()
        return 0
    try:
        await curio.timeout_after(limit_seconds, router.stop)
    except curio.TaskTimeout:
        _LOGGER.warning(
            'stop limit reached with requests in progress; aborting them'
        )
        return _EXIT_STOPPED_EARLY
    return 0
