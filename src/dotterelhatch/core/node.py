"""All decisions of one router: events and a time in, actions out."""

import random
from collections.abc import Callable, Iterable
from typing import Any, Final

from dotterelhatch.backing.interfaces import HostEntry, HostRole, HostState
from dotterelhatch.core.events import (
    Action,
    AnswerFrame,
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
    RefuseRequest,
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
    ConfigAcknowledgement,
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
from dotterelhatch.core.rollout import ApplyConfig as RolloutApply
from dotterelhatch.core.rollout import Rollout, SendConfig
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

# Deadlines and probes need no finer resolution than this.
_HOUSEKEEPING_SECONDS: Final = 0.25


def _handles(event: type) -> Callable[[_Handler], _Handler]:
    """Register the handler of an event type."""

    def register(handler: _Handler) -> _Handler:
        _HANDLERS[event] = handler
        return handler

    return register


class Node:
    """The pure layer of a router process.

    :param settings: settings of the process.
    :param incarnation: grows with each start of this router.
    :param rng: source of all random choices.
    :param is_usable: whether a configuration document is valid here.
    """

    def __init__(
        self,
        settings: RouterSettings,
        incarnation: Incarnation,
        rng: random.Random,
        is_usable: Callable[[bytes], bool],
    ) -> None:
        """Start without peers and without configuration."""
        self.settings = settings
        self.membership = Membership(settings, incarnation, rng)
        self.rollout = Rollout(is_usable, rng)
        self.crash_suspects = CrashSuspects()
        self.leaving_targets = LeavingTargets()
        self.status_collector = StatusCollector(settings.router_id)
        self.services: dict[ServiceId, ServiceRouter] = {}
        self.config: FleetConfig | None = None
        self._rng = rng
        self._pending: dict[RequestId, PendingRequest] = {}
        self._outboxes = Outboxes()
        self._local: list[Message] = []
        self._actions: list[Action] = []
        self._members: frozenset[RouterId] = frozenset()
        self._reachable: frozenset[RouterId] = frozenset()
        self._drained: frozenset[TargetId] = frozenset()
        self._incarnations: dict[RouterId, Incarnation] = {}
        self._sequences: dict[RouterId, tuple[Incarnation, int]] = {}
        self._state_placed: tuple[int, frozenset[TargetId]] | None = None
        self._period_at_seconds = float('-inf')
        self._held_at_seconds = float('-inf')
        self._housekeeping_at_seconds = float('-inf')
        self._settled_at_seconds = float('inf')

    def handle(self, event: Event, now_seconds: float) -> list[Action]:
        """Take an event and return the actions that follow from it.

        :param event: what happened.
        :param now_seconds: monotonic time, never decreasing.
        :returns: actions in the order in which they are to be taken.
        """
        _HANDLERS[type(event)](self, event, now_seconds)
        if not isinstance(event, FrameReceived):
            self._advance(now_seconds)
        actions = tuple(self._actions)
        self._actions.clear()
        return list(actions)

    def waiting_count(self) -> int:
        """Return how many requests wait for a slot."""
        return sum(one.queues.waiting_count() for one in self.services.values())

    def dump(self, now_seconds: float) -> dict[str, object]:
        """Return all state for the state dump."""
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
            self._refuse(request, ErrorKind.UNKNOWN_SERVICE, 'no such service')
        elif service.queues.add(request):
            self._pending[request.request_id] = request
        else:
            self._refuse(
                request,
                ErrorKind.QUEUE_FULL,
                'the queue of the organisation is full',
            )

    @_handles(RequestCancelled)
    def _on_cancelled(
        self, event: RequestCancelled, now_seconds: float
    ) -> None:
        request = self._pending.get(event.request_id)
        service = request and self.services.get(request.service)
        if request is None or not service:
            return
        if service.queues.remove(request):
            self._pending.pop(request.request_id)
        else:
            self._on_finished(
                RequestFinished(event.request_id, event.units, False),
                now_seconds,
            )

    @_handles(RequestProgressed)
    def _on_progressed(self, event: RequestProgressed, _now: float) -> None:
        request = self._pending.get(event.request_id)
        if request is not None and request.service in self.services:
            queues = self.services[request.service].queues
            queues.progress(event.request_id, event.units)

    @_handles(RequestFinished)
    def _on_finished(self, event: RequestFinished, _now: float) -> None:
        request = self._pending.pop(event.request_id, None)
        if request is None or request.service not in self.services:
            return
        service = self.services[request.service]
        release = service.queues.finish(
            event.request_id, event.units, target_failed=event.target_failed
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
        self._place(now_seconds)

    @_handles(TargetProbed)
    def _on_probed(self, event: TargetProbed, _now: float) -> None:
        for service in self.services.values():
            service.scheduler.on_probe(event.target, healthy=event.healthy)

    @_handles(ConfigStored)
    def _on_stored(self, event: ConfigStored, now_seconds: float) -> None:
        self._roll_out(
            self.rollout.on_store_read(
                event.version, event.document, now_seconds
            )
        )

    @_handles(ConfigInForce)
    def _on_in_force(self, event: ConfigInForce, now_seconds: float) -> None:
        self.config = event.config
        weights = {one.id: one.weight for one in event.config.organisations}
        for removed in (
            self.services.keys() - event.config.services_by_id.keys()
        ):
            self._drop_service(removed)
        for service in event.config.services:
            router = self.services.get(service.id)
            if router is None:
                router = ServiceRouter(
                    service,
                    self.settings,
                    self._rng,
                    self._post,
                    self._dispatch,
                )
                self.services[service.id] = router
            router.configure(service, weights)
        self._place(now_seconds, force=True)

    @_handles(LeaveRequested)
    def _on_leave(self, _event: LeaveRequested, now_seconds: float) -> None:
        self.membership.leave()
        self._place(now_seconds)
        for peer in sorted(self._members):
            self._outboxes.start_soon(peer)

    @_handles(CallFailed)
    def _on_call_failed(self, event: CallFailed, now_seconds: float) -> None:
        self._outboxes.finish_call(event.router, failed=True)
        if self.membership.on_call_failed(
            event.router, now_seconds, refused=event.is_refused
        ):
            self._outboxes.start_soon(event.router)
        elif not self.membership.is_reachable(event.router):
            # Its grants have been freed, so they must not be sent again.
            self._outboxes.drop(event.router)
        for service in self.services.values():
            service.resynchronise(event.router, now_seconds)
        self._place(now_seconds)

    @_handles(FrameReceived)
    def _on_frame(self, event: FrameReceived, now_seconds: float) -> None:
        frame = event.frame
        if event.callee is None:
            self._outboxes.box(frame.sender).is_held = False
            outcome = self.membership.on_frame(frame, now_seconds)
        else:
            self._outboxes.finish_call(event.callee, failed=False)
            outcome = self.membership.on_reply(event.callee, frame, now_seconds)
        if outcome.accepted:
            self._note_incarnation(frame, now_seconds)
            if outcome.sender_is_new:
                self._inform(frame.sender, now_seconds)
            for message in self._usable_messages(frame):
                self._on_message(
                    frame.sender, frame.incarnation, message, now_seconds
                )
        self._place(now_seconds)
        self._advance(
            now_seconds, answering=frame if event.callee is None else None
        )

    def _inform(self, router: RouterId, now_seconds: float) -> None:
        """Tell a router what it can't know after a restart or a partition."""
        for leaving in self.leaving_targets.reports():
            self._outboxes.put(router, leaving, urgent=True)
        for crash in self.crash_suspects.reports(now_seconds):
            self._outboxes.put(router, crash, urgent=True)

    def _usable_messages(self, frame: Frame) -> Iterable[Message]:
        """Leave out what is out of date in a frame that arrived late."""
        own_incarnation = self.membership.own_record().incarnation
        is_meant = frame.receiver_incarnation in {0, own_incarnation}
        latest = self._sequences.get(frame.sender, (frame.incarnation, 0))
        number = (frame.incarnation, frame.sequence)
        left_out: tuple[type, ...] = ()
        if not is_meant or number < latest:
            # The sender states these again when it has a later frame or
            # learns of this lifetime.
            left_out += (Demand, FreeSlots, HeldGrants)
        if not is_meant:
            # The home of these grants has freed them.
            left_out += (Grant,)
        self._sequences[frame.sender] = max(number, latest)
        return [one for one in frame.messages if not isinstance(one, left_out)]

    @_handles(Ticked)
    def _on_tick(self, _event: Ticked, now_seconds: float) -> None:
        if self._settled_at_seconds == float('inf'):
            dead_after = self.settings.exchange.dead_after_seconds
            self._settled_at_seconds = now_seconds + dead_after
        if now_seconds < self._housekeeping_at_seconds:
            return
        self._housekeeping_at_seconds = now_seconds + _HOUSEKEEPING_SECONDS
        self._expire(now_seconds)
        exchange = self.settings.exchange
        if now_seconds >= self._period_at_seconds:
            self._period_at_seconds = now_seconds + exchange.period_seconds
            self._on_period(now_seconds)
        if now_seconds >= self._held_at_seconds:
            self._held_at_seconds = now_seconds + exchange.held_period_seconds
            for service in self.services.values():
                service.on_reconcile_period(now_seconds)

    def _on_period(self, now_seconds: float) -> None:
        probed = self.membership.on_tick(now_seconds)
        if self.membership.pop_resumed():
            self._on_resumed(now_seconds)
        self._place(now_seconds)
        for service in self.services.values():
            service.on_period(now_seconds)
        versions = {
            record.router: record.config_version
            for record in self.membership.records()[1:]
            if self.membership.is_reachable(record.router)
        }
        self._roll_out(self.rollout.on_tick(versions, now_seconds))
        for asked in self.status_collector.peers_to_poll(
            self.membership.reachable(), now_seconds
        ):
            self._outboxes.put(asked, StatusRequest(), urgent=False)
        for router in (*probed, *self._outboxes.waiting()):
            self._outboxes.start_soon(router)

    def _on_resumed(self, now_seconds: float) -> None:
        """Distrust everything that is older than a pause of this process."""
        until = now_seconds + 2 * self.settings.exchange.period_seconds
        for service in self.services.values():
            service.pause_scheduler(until)
            for router in sorted(set(service.coordinators.values())):
                service.resynchronise(router, now_seconds)

    def _expire(self, now_seconds: float) -> None:
        for service in self.services.values():
            for request in service.queues.expire(now_seconds):
                self._pending.pop(request.request_id, None)
                self._refuse(
                    request,
                    ErrorKind.DEADLINE_EXCEEDED,
                    'no slot became free before the deadline',
                )
            for target in service.scheduler.probes_due(now_seconds):
                self._actions.append(ProbeTarget(target.id, target.address))

    def _refuse(
        self, request: PendingRequest, kind: ErrorKind, detail: str
    ) -> None:
        self._actions.append(RefuseRequest(request.request_id, kind, detail))

    def _drop_service(self, name: ServiceId) -> None:
        service = self.services.pop(name)
        for request in tuple(self._pending.values()):
            if request.service == name and service.queues.remove(request):
                self._pending.pop(request.request_id)
                self._refuse(
                    request,
                    ErrorKind.UNKNOWN_SERVICE,
                    'the service was removed from the configuration',
                )

    def _note_incarnation(self, frame: Frame, now_seconds: float) -> None:
        """Forget what a former incarnation of the sender was told."""
        known = self._incarnations.get(frame.sender)
        if known is not None and frame.incarnation <= known:
            return
        self._incarnations[frame.sender] = frame.incarnation
        self._state_placed = None
        if known is not None:
            # Its grants are freed below and must not be sent again.
            self._outboxes.forget_grants(frame.sender)
        for service in self.services.values():
            if known is not None:
                service.scheduler.forget_router(frame.sender, now_seconds)
            service.resynchronise(frame.sender, now_seconds)

    def _on_message(
        self,
        sender: RouterId,
        incarnation: Incarnation,
        message: Message,
        now_seconds: float,
    ) -> None:
        match message:
            case ConfigOffer() | ConfigRequest() | ConfigAcknowledgement():
                self._roll_out(
                    self.rollout.on_message(sender, message, now_seconds)
                )
            case CrashReport():
                self.crash_suspects.on_report(message, now_seconds)
            case TargetLeaving():
                self.leaving_targets.on_message(message)
                self._place(now_seconds)
            case StatusRequest():
                report = build_status_report(self.services.values())
                self._outboxes.put(sender, report, urgent=False)
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
        """Route a message to its service, by name or by target."""
        name = getattr(message, 'service', None)
        for service in self.services.values():
            if name is None:
                concerned = message.target in service.coordinators
            else:
                concerned = service.service.id == name
            if concerned:
                service.on_message(sender, incarnation, message, now_seconds)

    def _roll_out(self, steps: list[SendConfig | RolloutApply]) -> None:
        self.membership.set_config_version(self.rollout.latest_version)
        for step in steps:
            if isinstance(step, SendConfig):
                self._outboxes.put(step.receiver, step.message, urgent=True)
            else:
                self._actions.append(ApplyConfig(step.version, step.document))

    def _broadcast(self, messages: list[Any]) -> None:
        for message in messages:
            for peer in sorted(self._members - {self.settings.router_id}):
                self._outboxes.put(peer, message, urgent=True)

    def _post(self, router: RouterId, message: Message, urgent: bool) -> None:
        if router == self.settings.router_id:
            self._local.append(message)
        else:
            self._outboxes.put(router, message, urgent=urgent)

    def _dispatch(self, granted: GrantedRequest) -> None:
        service = self.services[granted.request.service].service
        target = _find_target(service.targets, granted.grant.target)
        self._actions.append(
            DispatchRequest(
                granted.request.request_id, target.address, granted.grant
            )
        )

    def _place(self, now_seconds: float, *, force: bool = False) -> None:
        """Compute homes anew when members or leaving targets have changed."""
        drained = self.leaving_targets.targets()
        state = (self.membership.changes_count, drained)
        if state == self._state_placed and not force:
            return
        self._state_placed = state
        self._forget_unreachable(now_seconds)
        members = self.membership.live()
        if (members, drained) == (self._members, self._drained) and not force:
            return
        self._members = members
        self._drained = drained
        reporters = self.membership.reachable()
        if now_seconds < self._settled_at_seconds:
            # Peers may exist that this router has not reached yet.
            reporters |= self.membership.listed() or {RouterId('')}
        counts = {
            name: len(service.service.targets)
            for name, service in self.services.items()
        }
        subsets = candidates_of(counts, members)
        for name, placed in self.services.items():
            placed.assign_coordinators(
                subsets[name], drained, now_seconds, reporters
            )

    def _forget_unreachable(self, now_seconds: float) -> None:
        """Drop what belongs to routers that have become unreachable."""
        reachable = frozenset(
            router
            for router in self._incarnations
            if self.membership.is_reachable(router)
        )
        for lost in sorted(self._reachable - reachable):
            self._outboxes.drop(lost)
            for service in self.services.values():
                service.forget_router(lost, now_seconds)
        self._reachable = reachable

    def _advance(
        self, now_seconds: float, answering: Frame | None = None
    ) -> None:
        """Deliver local messages and send the frames that are due."""
        own = self.settings.router_id
        incarnation = self.membership.own_record().incarnation
        for service in self.services.values():
            service.advance(now_seconds)
        while self._local:
            messages = tuple(self._local)
            self._local.clear()
            for message in messages:
                self._on_message(own, incarnation, message, now_seconds)
            for changed in self.services.values():
                changed.advance(now_seconds)
        if answering is not None:
            self._answer(answering, now_seconds)
        for router in self._outboxes.due():
            self._call(router, now_seconds)

    def _answer(self, call: Frame, now_seconds: float) -> None:
        self._put_free_slots(call.sender, now_seconds)
        box = self._outboxes.box(call.sender)
        messages = box.take()
        self._actions.append(AnswerFrame(self._frame(call.sender, messages)))

    def _call(self, router: RouterId, now_seconds: float) -> None:
        address = self.membership.address_of(router)
        if address is None:
            self._outboxes.drop(router)
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
                self._outboxes.box(router).waiting.append(free)

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
            self._outboxes.box(receiver).sequence,
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
