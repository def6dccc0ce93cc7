"""The router process: owns all parts and runs them."""

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
    AnswerFrame,
    ApplyConfig,
    CallFailed,
    ConfigInForce,
    ConfigStored,
    FrameReceived,
    HostsListed,
    LeaveRequested,
    ProbeTarget,
    SendFrame,
    TargetProbed,
    Ticked,
)
from dotterelhatch.core.node import Node
from dotterelhatch.core.placement import claim_cleaner_of
from dotterelhatch.core.retries import Backoff
from dotterelhatch.document import decode_document, effective
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
from dotterelhatch.operations import Operations
from dotterelhatch.rates import MovingRate
from dotterelhatch.settings import RouterSettings
from dotterelhatch.signals import SignalInbox
from dotterelhatch.status import FleetStatus
from dotterelhatch.statusview import build_status

__all__ = ('NodeFactory', 'Router', 'run_router')

_log: Final = logging.getLogger(__name__)

_BUSY_TICK_SECONDS: Final = 0.02
_IDLE_TICK_SECONDS: Final = 0.1
_SETTLE_INTERVAL_SECONDS: Final = 1.0
# Reads of at most 50 rows/s, of the 2,000 that the table service permits.
_CLEAN_INTERVAL_SECONDS: Final = 2.0
_CLEAN_ROWS_COUNT: Final = 100
_REPORT_INTERVAL_SECONDS: Final = 10.0
_MILLISECONDS: Final = 1000
_JSON_OBJECT: Final = TypeAdapter(dict[str, JsonValue])
_EXIT_STOPPED_EARLY: Final = 1
_RESULTS: Final = {
    CallFailure.TIMEOUT: CallResult.TIMED_OUT,
    CallFailure.UNREACHABLE: CallResult.FAILED,
    CallFailure.REFUSED: CallResult.FAILED,
    CallFailure.INVALID_ANSWER: CallResult.FAILED,
}
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


# Benchmarks run the same process with other scheduling policies.
NodeFactory = Callable[
    [RouterSettings, Incarnation, random.Random, Callable[[bytes], bool]],
    Node,
]


class Router:
    """One router process, a context manager that owns all its parts.

    :param make_node: builds the pure layer.
    """

    def __init__(
        self, settings: RouterSettings, make_node: NodeFactory = Node
    ) -> None:
        """Build the parts without opening anything."""
        self.settings = settings
        self._clock = time.monotonic
        rng = random.SystemRandom()
        incarnation = Incarnation(int(time.time() * _MILLISECONDS))
        self.node = make_node(settings, incarnation, rng, self._is_usable)
        self.metrics = Metrics()
        self.metrics.before_render = self._update_gauges
        self.sent_rate = MovingRate()
        self.received_rate = MovingRate()
        self.broker = Broker(self.node, self._clock, self._perform)
        platform = settings.platform
        timeout = platform.call_timeout_seconds
        tables = HttpTableService(platform.tables_url, timeout)
        objects = HttpObjectStore(platform.objects_url, timeout)
        self._hosts = HttpHostList(platform.hosts_url, timeout)
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
        self._targets = TargetClient()
        self._peers = PeerExchange(settings)
        self._reply_slot: PendingReply | None = None
        self._is_drain_wanted = False
        self._last_effective: tuple[bytes, FleetConfig] | None = None
        self._peer_of_address: dict[str, RouterId] = {}
        self._callers = HttpServer(
            settings.caller_address,
            CallerHandler(
                self.node, settings, self._pipeline(rng), self._clock, rng
            ),
            HttpLimits(),
            render_error=render_problem,
        )
        self._operations = HttpServer(
            settings.operations_address,
            Operations(self, self.metrics),
            HttpLimits(),
        )
        self._stack = AsyncExitStack()
        self._tasks: list[curio.Task] = []

    async def __aenter__(self) -> Self:
        """Open all sockets and start the periodic tasks."""
        await self._stack.enter_async_context(self._targets)
        await self._stack.enter_async_context(self._peers)
        for work in (
            self._consume_peers,
            self._tick,
            self._poll_hosts,
            self._poll_config,
            self._settle_claims,
            self._clean_claims,
        ):
            self._tasks.append(await curio.spawn(work, daemon=True))
        await self._stack.enter_async_context(self._operations)
        await self._stack.enter_async_context(self._callers)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the tasks and close everything."""
        for task in self._tasks:
            await task.cancel()
        await self._stack.aclose()

    def dump(self) -> dict[str, JsonValue]:
        """Return the state of this process."""
        state = self.node.dump(self._clock()) | {
            'peers': self._peers.dump(),
            'claims_pending_count': self._claims.pending_count,
            'requests_count': self._callers.exchanges_count,
        }
        return _JSON_OBJECT.validate_json(
            pydantic_core.to_json(state, fallback=str)
        )

    def watch(self) -> None:
        """Ask the peers for their figures for some time."""
        self.node.status_collector.on_status_viewed(self._clock())

    def status(self) -> FleetStatus:
        """Return the figures that people watch."""
        now_seconds = self._clock()
        return build_status(
            self.node,
            now_seconds,
            self.sent_rate.per_second(now_seconds),
            self.received_rate.per_second(now_seconds),
        )

    def drain(self) -> None:
        """Leave the fleet and keep running until the process is stopped."""
        self._is_drain_wanted = True

    def undrain(self) -> None:
        """Refuse, because the leaving state lasts for a process."""
        raise DotterelhatchError(
            ErrorKind.METHOD_NOT_ALLOWED,
            'a router that is leaving returns only by a restart',
        )

    async def stop(self) -> None:
        """Leave the fleet and return when no request is in progress."""
        stop = self.settings.stop
        _log.info('leaving the fleet')
        await self.broker.submit(LeaveRequested())
        await curio.sleep(stop.address_ttl_seconds + stop.margin_seconds)
        await self._callers.stop_accepting()
        await self._callers.drain()
        _log.info('all requests have ended')

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
                    self._targets,
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

    def _is_usable(self, document: bytes) -> bool:
        try:
            self._effective(document)
        except DotterelhatchError as error:
            _log.error('the offered configuration is not valid: %s', error)
            return False
        return True

    def _effective(self, document: bytes) -> FleetConfig:
        """Return the configuration of this site.

        The last one is kept, because each is checked and then applied, and
        the work takes 0.2 s for 2,300 targets.
        """
        if self._last_effective is None or self._last_effective[0] != document:
            config = effective(
                decode_document(document), self.settings.failure_domain
            )
            self._last_effective = (document, config)
        return self._last_effective[1]

    async def _perform(self, action: Action) -> None:
        match action:
            case SendFrame():
                self._peer_of_address[action.address] = action.router
                self._peers.submit(action.address, action.frame)
            case AnswerFrame():
                self._answer_call(action)
            case ApplyConfig():
                await self._apply_config(action)
            case ProbeTarget():
                await curio.spawn(self._probe, action, daemon=True)

    def _answer_call(self, action: AnswerFrame) -> None:
        if self._reply_slot is not None:
            self._reply_slot.send(action.frame)
            self._count_control(self._reply_slot.sent_bytes, 0)
            self._reply_slot = None

    def _count_control(self, sent_bytes: int, received_bytes: int) -> None:
        now_seconds = self._clock()
        self.sent_rate.add(sent_bytes, now_seconds)
        self.received_rate.add(received_bytes, now_seconds)
        self.metrics.count_control(sent_bytes, received_bytes)

    def _update_gauges(self) -> None:
        update_gauges(self.metrics, self.node, self._clock())

    async def _apply_config(self, action: ApplyConfig) -> None:
        try:
            config = self._effective(action.document)
        except DotterelhatchError as error:
            _log.error(
                'configuration %d is not valid: %s', action.version, error
            )
            return
        _log.info('configuration %d is in force', action.version)
        self.metrics.apply_config(action.version, config)
        await self.broker.submit(ConfigInForce(action.version, config))

    async def _probe(self, action: ProbeTarget) -> None:
        instance = await self._targets.probe(action.address)
        await self.broker.submit(
            TargetProbed(action.target, healthy=instance is not None)
        )

    async def _consume_peers(self) -> None:
        while True:
            event = await self._peers.next_event()
            await self._guard(self._take_peer_event, event)

    async def _take_peer_event(self, event: PeerEvent) -> None:
        match event:
            case PeerFrameReceived():
                self._reply_slot = event.pending_reply
                self._count_control(0, event.received_bytes)
                await self.broker.submit(
                    FrameReceived(event.frame, callee=None)
                )
            case CallSucceeded():
                router = self._peer_of_address[event.peer_address]
                self.metrics.count_call(CallResult.ANSWERED)
                self._count_control(event.sent_bytes, event.received_bytes)
                await self.broker.submit(
                    FrameReceived(event.frame, callee=router)
                )
            case PeerCallFailed():
                router = self._peer_of_address[event.peer_address]
                _log.warning(
                    'call to router %s failed: %s',
                    router,
                    event.reason.value,
                )
                self.metrics.count_call(_RESULTS[event.reason])
                self._count_control(event.sent_bytes, 0)
                refused = event.reason is CallFailure.UNREACHABLE
                await self.broker.submit(CallFailed(router, refused))

    async def _tick(self) -> None:
        while True:
            await self._guard(self._submit_tick)
            busy = self.node.waiting_count() > 0
            await curio.sleep(
                _BUSY_TICK_SECONDS if busy else _IDLE_TICK_SECONDS
            )

    async def _submit_tick(self) -> None:
        if self._is_drain_wanted:
            self._is_drain_wanted = False
            await self.broker.submit(LeaveRequested())
        await self.broker.submit(Ticked())

    async def _guard(
        self, work: Callable[..., Awaitable[None]], *arguments: object
    ) -> None:
        """Run one step of a loop that must not end with a failed step."""
        try:
            await work(*arguments)
        except Exception:
            _log.exception('a step of the router failed')

    async def _poll_hosts(self) -> None:
        await self._poll(
            'host list',
            self._read_hosts,
            self.settings.platform.hosts_interval_seconds,
        )

    async def _read_hosts(self) -> None:
        hosts = await self._hosts.read_hosts()
        await self.broker.submit(HostsListed(hosts))

    async def _poll_config(self) -> None:
        await self._poll(
            'configuration',
            self._read_config,
            self.settings.platform.config_interval_seconds,
        )

    async def _read_config(self) -> None:
        in_force = self.node.rollout.active_version
        stored = await self._configs.read_if_newer(in_force)
        if stored is not None:
            await self.broker.submit(
                ConfigStored(stored.version, stored.document)
            )

    async def _settle_claims(self) -> None:
        await self._poll(
            'settlement of claims',
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
        subject: str,
        work: Callable[[], Awaitable[object]],
        interval_seconds: float,
    ) -> None:
        while True:
            try:
                await work()
            except (PlatformError, DotterelhatchError) as error:
                _log.warning('platform: %s failed: %s', subject, error)
            await curio.sleep(interval_seconds)


def run_router(settings: RouterSettings, make_node: NodeFactory = Node) -> int:
    """Run a router until it is told to stop and return its exit code."""
    rate_limit = configure_logging(settings)
    # Each task needs its own context for the request id in log records.
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
    async with SignalInbox(*_SIGNALS) as signals, router:
        while await signals.receive() is signal.SIGUSR1:
            _log.info('state dump', extra={'dump': router.dump()})
        return await _stop(router, settings.stop.stop_limit_seconds)


async def _report_suppressed(rate_limit: RateLimitFilter) -> None:
    while True:
        await curio.sleep(_REPORT_INTERVAL_SECONDS)
        rate_limit.report_suppressed()


async def _stop(router: Router, limit_seconds: float | None) -> int:
    if limit_seconds is None:
        await router.stop()
        return 0
    try:
        await curio.timeout_after(limit_seconds, router.stop)
    except curio.TaskTimeout:
        _log.warning('requests were still in progress at the stop limit')
        return _EXIT_STOPPED_EARLY
    return 0
