"""The sans-I/O core of a router: takes events and returns actions.

It passes each event to the member list, to the rollout of configurations, or
to the request queues and the grant scheduler of a service. The messages that
result are collected for each router and sent in frames.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any, Final

from dotterelhatch.backing.interfaces import HostEntry, HostRole, HostState
from dotterelhatch.core.events import (
    Action,
    ApplyConfig,
    CallFailed,
    ConfigInForce,
    ConfigStored,
    DispatchRequest,
    Event,
    FrameReceived,
    HostsListed,
    LeaveRequested,
    ProbeTarget,
    RejectRequest,
    ReplyFrame,
    RequestArrived,
    RequestCancelled,
    RequestCompleted,
    RequestCrashed,
    RequestFinished,
    RequestProgressed,
    SendFrame,
    TargetProbed,
    Ticked,
)
from dotterelhatch.core.leaving import LeavingTargets
from dotterelhatch.core.membership import ListedRouter, Membership
from dotterelhatch.core.messages import (
    ConfigAnnouncement,
    ConfigOffer,
    ConfigRequest,
    CrashReport,
    Demand,
    Frame,
    FreeSlots,
    Grant,
    HeldGrants,
    MemberRecord,
    Message,
    StatusReport,
    StatusRequest,
    TargetLeaving,
)
from dotterelhatch.core.outbox import Outboxes
from dotterelhatch.core.placement import candidates_of
from dotterelhatch.core.queues import GrantedRequest, PendingRequest
from dotterelhatch.core.retries import CrashSuspects
from dotterelhatch.core.rollout import ActivateVersion, Rollout, SendConfig
from dotterelhatch.core.service import ServiceRouter
from dotterelhatch.core.statuscollector import (
    StatusCollector,
    build_status_report,
)
from dotterelhatch.errors import ErrorKind
from dotterelhatch.fleet import FleetConfig, Target
from dotterelhatch.ids import (
    ConfigVersion,
    Incarnation,
    RequestId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.settings import RouterSettings

__all__ = ('Node',)

_Handler = Callable[['Node', Any, float], None]
_HANDLERS: Final[dict[type, _Handler]] = {}

# Deadlines and target probes need no finer resolution.
_HOUSEKEEPING_PERIOD_SECONDS: Final = 0.25


def _handles(event: type) -> Callable[[_Handler], _Handler]:
    """Return a decorator that registers the handler of an event type."""

    def register(handler: _Handler) -> _Handler:
        _HANDLERS[event] = handler
        return handler

    return register


class Node:
    """The sans-I/O core of a router process.

    It does no I/O and reads no clock: the process passes in events with the
    time, and carries out the actions that are returned.

    :param settings: settings of the process.
    :param incarnation: number that is higher after each start of the router.
    :param rng: source of all random choices.
    :param is_usable: whether a configuration document is valid at this
        router.
    """

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: Incarnation,
        rng: random.Random,
        is_usable: Callable[[bytes], bool],
    ) -> None:
        """Create a node without peers and without a configuration."""
        self.settings = settings
        self.membership = Membership(settings, incarnation, rng)
        self.rollout = Rollout(is_usable, rng)
        self.crash_suspects = CrashSuspects()
        self.leaving_targets = LeavingTargets()
        self.status_collector = StatusCollector(settings.router_id)
        self.services: dict[ServiceId, ServiceRouter] = {}
        self.config: FleetConfig | None = None
        self._rng = rng
        self._open_requests: dict[RequestId, PendingRequest] = {}
        self._outboxes = Outboxes()
        self._local_messages: list[Message] = []
        self._actions: list[Action] = []
        self._live_members: frozenset[RouterId] = frozenset()
        self._reachable: frozenset[RouterId] = frozenset()
        self._drained: frozenset[TargetId] = frozenset()
        self._incarnations: dict[RouterId, Incarnation] = {}
        self._sequences: dict[RouterId, tuple[Incarnation, int]] = {}
        self._assigned_state: tuple[int, frozenset[TargetId]] | None = None
        self._next_period_seconds = float('-inf')
        self._next_reconcile_seconds = float('-inf')
        self._next_housekeeping_seconds = float('-inf')
        self._discovery_end_seconds = float('inf')

    def handle(self, event: Event, now_seconds: float) -> list[Action]:
        """Handle an event and return the resulting actions.

        :param event: the event.
        :param now_seconds: time of a monotonic clock.
        :returns: actions in the order in which to carry them out.
        """
        _HANDLERS[type(event)](self, event, now_seconds)
        if not isinstance(event, FrameReceived):
            self._advance(now_seconds)
        actions = tuple(self._actions)
        self._actions.clear()
        return list(actions)

    def waiting_count(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(one.queues.waiting_count() for one in self.services.values())

    def dump(self, now_seconds: float) -> dict[str, object]:
        """Return the whole state for the state dump."""
        return {
            'router': self.settings.router_id,
            'membership': self.membership.dump(),
            'config': {
                'in_force': self.rollout.active_version,
                'held': self.rollout.latest_version,
            },
            'leaving_targets': self.leaving_targets.dump(),
            'services': {
                name: service.dump(now_seconds)
                for name, service in self.services.items()
            },
        }

    @_handles(RequestArrived)
    def _on_arrived(self, event: RequestArrived, _now: float) -> None:
        request = event.request
        service = self.services.get(request.service)
        if service is None:
            self._reject(request, ErrorKind.UNKNOWN_SERVICE, 'no such service')
        elif service.queues.add(request):
            self._open_requests[request.request_id] = request
        else:
            self._reject(
                request,
                ErrorKind.QUEUE_FULL,
                'the queue of the organisation is full',
            )

    @_handles(RequestCancelled)
    def _on_cancelled(
        self, event: RequestCancelled, now_seconds: float
    ) -> None:
        request = self._open_requests.get(event.request_id)
        service = request and self.services.get(request.service)
        if request is None or not service:
            return
        if service.queues.remove(request):
            self._open_requests.pop(request.request_id)
        else:
            self._on_finished(
                RequestFinished(event.request_id, event.units, False),
                now_seconds,
            )

    @_handles(RequestProgressed)
    def _on_progressed(self, event: RequestProgressed, _now: float) -> None:
        request = self._open_requests.get(event.request_id)
        if request is not None and request.service in self.services:
            queues = self.services[request.service].queues
            queues.record_cost(event.request_id, event.units)

    @_handles(RequestFinished)
    def _on_finished(self, event: RequestFinished, _now: float) -> None:
        request = self._open_requests.pop(event.request_id, None)
        if request is None or request.service not in self.services:
            return
        service = self.services[request.service]
        release = service.queues.finish(
            event.request_id,
            event.units,
            target_failed=event.target_failed,
            pause_seconds=event.pause_seconds,
        )
        if release is not None:
            service.release(release)

    @_handles(RequestCrashed)
    def _on_crashed(self, event: RequestCrashed, now_seconds: float) -> None:
        self._broadcast(
            self.crash_suspects.on_crash(
                event.target, (event.fingerprint,), now_seconds
            )
        )

    @_handles(RequestCompleted)
    def _on_completed(
        self, event: RequestCompleted, now_seconds: float
    ) -> None:
        self._broadcast(
            self.crash_suspects.on_completed(event.fingerprint, now_seconds)
        )

    @_handles(HostsListed)
    def _on_hosts(self, event: HostsListed, now_seconds: float) -> None:
        listed = [
            _listed_router(host)
            for host in event.hosts
            if host.role is HostRole.ENTRY
        ]
        self.membership.on_hosts(listed, now_seconds)
        self._broadcast(self.leaving_targets.on_hosts(event.hosts))
        self._assign_coordinators(now_seconds)

    @_handles(TargetProbed)
    def _on_probed(self, event: TargetProbed, _now: float) -> None:
        for service in self.services.values():
            service.scheduler.on_probe(event.target, healthy=event.healthy)

    @_handles(ConfigStored)
    def _on_stored(self, event: ConfigStored, now_seconds: float) -> None:
        self._run_rollout_actions(
            self.rollout.on_store_read(
                event.version, event.document, now_seconds
            )
        )

    @_handles(ConfigInForce)
    def _on_config_applied(
        self, event: ConfigInForce, now_seconds: float
    ) -> None:
        self.config = event.config
        weights = {one.id: one.weight for one in event.config.organisations}
        for removed in (
            self.services.keys() - event.config.services_by_id.keys()
        ):
            self._remove_service(removed)
        for service in event.config.services:
            service_router = self.services.get(service.id)
            if service_router is None:
                service_router = ServiceRouter(
                    service,
                    self.settings,
                    self._rng,
                    self._enqueue,
                    self._dispatch,
                )
                self.services[service.id] = service_router
            service_router.configure(service, weights)
        self._assign_coordinators(now_seconds, force=True)

    @_handles(LeaveRequested)
    def _on_leave(self, _event: LeaveRequested, now_seconds: float) -> None:
        self.membership.leave()
        self._assign_coordinators(now_seconds)
        for peer in sorted(self._live_members):
            self._outboxes.call_immediately(peer)

    @_handles(CallFailed)
    def _on_call_failed(self, event: CallFailed, now_seconds: float) -> None:
        self._outboxes.finish_call(event.router, failed=True)
        if self.membership.on_call_failed(
            event.router, now_seconds, refused=event.is_refused
        ):
            self._outboxes.call_immediately(event.router)
        elif not self.membership.is_reachable(event.router):
            # The slots of its grants were freed, so the grants must not be
            # sent again.
            self._outboxes.discard_all(event.router)
        for service in self.services.values():
            service.resynchronise(event.router, now_seconds)
        self._assign_coordinators(now_seconds)

    @_handles(FrameReceived)
    def _on_frame(self, event: FrameReceived, now_seconds: float) -> None:
        frame = event.frame
        if event.callee is None:
            self._outboxes.outbox_of(frame.sender).is_backing_off = False
            outcome = self.membership.on_frame(frame, now_seconds)
        else:
            self._outboxes.finish_call(event.callee, failed=False)
            outcome = self.membership.on_reply(event.callee, frame, now_seconds)
        if outcome.accepted:
            self._update_incarnation(frame, now_seconds)
            if outcome.sender_is_new:
                self._send_accumulated_reports(frame.sender, now_seconds)
            for message in self._usable_messages(frame):
                self._on_message(
                    frame.sender, frame.incarnation, message, now_seconds
                )
        self._assign_coordinators(now_seconds)
        self._advance(
            now_seconds, replying_to=frame if event.callee is None else None
        )

    def _send_accumulated_reports(
        self, router: RouterId, now_seconds: float
    ) -> None:
        """Send what a router has missed during a restart or a partition."""
        for leaving in self.leaving_targets.reports():
            self._outboxes.enqueue(router, leaving, urgent=True)
        for crash in self.crash_suspects.reports(now_seconds):
            self._outboxes.enqueue(router, crash, urgent=True)

    def _usable_messages(self, frame: Frame) -> Iterable[Message]:
        """Return the messages of a frame without the outdated ones."""
        own_incarnation = self.membership.own_record().incarnation
        is_addressed = frame.receiver_incarnation in {0, own_incarnation}
        latest = self._sequences.get(frame.sender, (frame.incarnation, 0))
        position = (frame.incarnation, frame.sequence)
        ignored_types: tuple[type, ...] = ()
        if not is_addressed or position < latest:
            # A later frame had newer state, or the sender sends the state
            # again after it has received the incarnation of this router.
            ignored_types += (Demand, FreeSlots, HeldGrants)
        if not is_addressed:
            # The coordinator has already freed the slots of these grants.
            ignored_types += (Grant,)
        self._sequences[frame.sender] = max(position, latest)
        return [
            one for one in frame.messages if not isinstance(one, ignored_types)
        ]

    @_handles(Ticked)
    def _on_tick(self, _event: Ticked, now_seconds: float) -> None:
        if self._discovery_end_seconds == float('inf'):
            dead_after = self.settings.exchange.dead_after_seconds
            self._discovery_end_seconds = now_seconds + dead_after
        if now_seconds < self._next_housekeeping_seconds:
            return
        self._next_housekeeping_seconds = (
            now_seconds + _HOUSEKEEPING_PERIOD_SECONDS
        )
        self._expire(now_seconds)
        exchange = self.settings.exchange
        if now_seconds >= self._next_period_seconds:
            self._next_period_seconds = now_seconds + exchange.period_seconds
            self._on_period(now_seconds)
        if now_seconds >= self._next_reconcile_seconds:
            self._next_reconcile_seconds = (
                now_seconds + exchange.held_period_seconds
            )
            for service in self.services.values():
                service.on_reconcile_period(now_seconds)

    def _on_period(self, now_seconds: float) -> None:
        probed = self.membership.on_tick(now_seconds)
        if self.membership.pop_resumed():
            self._on_resumed(now_seconds)
        self._assign_coordinators(now_seconds)
        for service in self.services.values():
            service.on_period(now_seconds)
        versions = {
            record.router: record.config_version
            for record in self.membership.records()[1:]
            if self.membership.is_reachable(record.router)
        }
        self._run_rollout_actions(self.rollout.on_tick(versions, now_seconds))
        for polled in self.status_collector.peers_to_poll(
            self.membership.reachable(), now_seconds
        ):
            self._outboxes.enqueue(polled, StatusRequest(), urgent=False)
        for router in (*probed, *self._outboxes.routers_with_messages()):
            self._outboxes.call_immediately(router)

    def _on_resumed(self, now_seconds: float) -> None:
        """Renew all state that may be outdated after a pause of the process."""
        until = now_seconds + 2 * self.settings.exchange.period_seconds
        for service in self.services.values():
            service.pause_scheduler(until)
            for router in sorted(set(service.coordinators.values())):
                service.resynchronise(router, now_seconds)

    def _expire(self, now_seconds: float) -> None:
        for service in self.services.values():
            for request in service.queues.expire(now_seconds):
                self._open_requests.pop(request.request_id, None)
                self._reject(
                    request,
                    ErrorKind.DEADLINE_EXCEEDED,
                    'no slot became free before the deadline',
                )
            for target in service.scheduler.probes_due(now_seconds):
                self._actions.append(ProbeTarget(target.id, target.address))

    def _reject(
        self, request: PendingRequest, kind: ErrorKind, detail: str
    ) -> None:
        self._actions.append(RejectRequest(request.request_id, kind, detail))

    def _remove_service(self, name: ServiceId) -> None:
        service = self.services.pop(name)
        for request in tuple(self._open_requests.values()):
            if request.service == name and service.queues.remove(request):
                self._open_requests.pop(request.request_id)
                self._reject(
                    request,
                    ErrorKind.UNKNOWN_SERVICE,
                    'the service was removed from the configuration',
                )

    def _update_incarnation(self, frame: Frame, now_seconds: float) -> None:
        """Discard what was exchanged with a former incarnation."""
        former = self._incarnations.get(frame.sender)
        if former is not None and frame.incarnation <= former:
            return
        self._incarnations[frame.sender] = frame.incarnation
        self._assigned_state = None
        if former is not None:
            # The slots of its grants are freed below, so the grants must not
            # be sent again.
            self._outboxes.remove_grants(frame.sender)
        for service in self.services.values():
            if former is not None:
                service.scheduler.remove_router(frame.sender, now_seconds)
            service.resynchronise(frame.sender, now_seconds)

    def _on_message(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        message: Message,
        now_seconds: float,
    ) -> None:
        match message:
            case ConfigOffer() | ConfigRequest() | ConfigAnnouncement():
                self._run_rollout_actions(
                    self.rollout.on_message(sender, message, now_seconds)
                )
            case CrashReport():
                self.crash_suspects.on_report(message, now_seconds)
            case TargetLeaving():
                self.leaving_targets.on_report(message)
                self._assign_coordinators(now_seconds)
            case StatusRequest():
                report = build_status_report(self.services.values())
                self._outboxes.enqueue(sender, report, urgent=False)
            case StatusReport():
                self.status_collector.on_report(sender, message, now_seconds)
            case _:
                self._on_service_message(
                    sender, incarnation, message, now_seconds
                )

    def _on_service_message(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        message: Any,
        now_seconds: float,
    ) -> None:
        """Pass a message to its service, found by name or by target."""
        name = getattr(message, 'service', None)
        for service in self.services.values():
            if name is None:
                is_affected = message.target in service.coordinators
            else:
                is_affected = service.service.id == name
            if is_affected:
                service.on_message(sender, incarnation, message, now_seconds)

    def _run_rollout_actions(
        self, rollout_actions: list[SendConfig | ActivateVersion]
    ) -> None:
        self.membership.set_config_version(self.rollout.latest_version)
        for one in rollout_actions:
            if isinstance(one, SendConfig):
                self._outboxes.enqueue(one.receiver, one.message, urgent=True)
            else:
                self._actions.append(ApplyConfig(one.version, one.document))

    def _broadcast(self, messages: list[Any]) -> None:
        for message in messages:
            for peer in sorted(self._live_members - {self.settings.router_id}):
                self._outboxes.enqueue(peer, message, urgent=True)

    def _enqueue(
        self, router: RouterId, message: Message, urgent: bool
    ) -> None:
        if router == self.settings.router_id:
            self._local_messages.append(message)
        else:
            self._outboxes.enqueue(router, message, urgent=urgent)

    def _dispatch(self, granted: GrantedRequest) -> None:
        service = self.services[granted.request.service].service
        target = _find_target(service.targets, granted.grant.target)
        self._actions.append(
            DispatchRequest(
                granted.request.request_id, target.address, granted.grant
            )
        )

    def _assign_coordinators(
        self, now_seconds: float, *, force: bool = False
    ) -> None:
        """Reassign coordinators if members or leaving targets have changed."""
        drained = self.leaving_targets.targets()
        state = (self.membership.changes_count, drained)
        if state == self._assigned_state and not force:
            return
        self._assigned_state = state
        self._remove_unreachable(now_seconds)
        members = self.membership.live()
        if (members, drained) == (
            self._live_members,
            self._drained,
        ) and not force:
            return
        self._live_members = members
        self._drained = drained
        reporters = self.membership.reachable()
        if now_seconds < self._discovery_end_seconds:
            # Shortly after the start there may be peers that this router has
            # not discovered yet. Without a host list, the empty id stands for
            # them: it never reports, so that takeovers last until their limit.
            reporters |= self.membership.listed() or {RouterId('')}
        counts = {
            name: len(service.service.targets)
            for name, service in self.services.items()
        }
        candidates = candidates_of(counts, members)
        for name, service_router in self.services.items():
            service_router.assign_coordinators(
                candidates[name], drained, now_seconds, reporters
            )

    def _remove_unreachable(self, now_seconds: float) -> None:
        """Remove the state of routers that have become unreachable."""
        reachable = frozenset(
            router
            for router in self._incarnations
            if self.membership.is_reachable(router)
        )
        for unreachable in sorted(self._reachable - reachable):
            self._outboxes.discard_all(unreachable)
            for service in self.services.values():
                service.remove_router(unreachable, now_seconds)
        self._reachable = reachable

    def _advance(
        self, now_seconds: float, replying_to: Frame | None = None
    ) -> None:
        """Deliver local messages and send all frames that are due."""
        own = self.settings.router_id
        incarnation = self.membership.own_record().incarnation
        for service in self.services.values():
            service.advance(now_seconds)
        while self._local_messages:
            messages = tuple(self._local_messages)
            self._local_messages.clear()
            for message in messages:
                self._on_message(own, incarnation, message, now_seconds)
            for changed in self.services.values():
                changed.advance(now_seconds)
        if replying_to is not None:
            self._reply(replying_to, now_seconds)
        for router in self._outboxes.routers_to_call():
            self._call(router, now_seconds)

    def _reply(self, call: Frame, now_seconds: float) -> None:
        self._put_free_slots(call.sender, now_seconds)
        outbox = self._outboxes.outbox_of(call.sender)
        messages = outbox.take_messages()
        self._actions.append(ReplyFrame(self._frame(call.sender, messages)))

    def _call(self, router: RouterId, now_seconds: float) -> None:
        address = self.membership.address_of(router)
        if address is None:
            self._outboxes.discard_all(router)
            return
        self._put_free_slots(router, now_seconds)
        messages = self._outboxes.start_call(router)
        self._actions.append(
            SendFrame(router, address, self._frame(router, messages))
        )

    def _put_free_slots(self, router: RouterId, now_seconds: float) -> None:
        for service in self.services.values():
            free = service.free_slots(router, now_seconds)
            if free is not None:
                self._outboxes.outbox_of(router).waiting.append(free)

    def _frame(
        self, receiver: RouterId, messages: tuple[Message, ...]
    ) -> Frame:
        own = self.membership.own_record()
        records: tuple[MemberRecord, ...] = self.membership.records_to_send(
            receiver
        )
        return Frame(
            own.router,
            own.incarnation,
            self._incarnations.get(receiver, Incarnation(0)),
            self._outboxes.outbox_of(receiver).sequence,
            ConfigVersion(own.config_version),
            records,
            messages,
        )


def _listed_router(host: HostEntry) -> ListedRouter:
    return ListedRouter(
        RouterId(host.name),
        host.address,
        host.failure_domain,
        leaving=host.state is HostState.LEAVING,
    )


def _find_target(targets: tuple[Target, ...], name: TargetId) -> Target:
    return next(target for target in targets if target.id == name)
