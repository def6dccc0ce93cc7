"""Admission, placement, sending and retries of one request."""

import contextlib
import enum
from typing import Any, Final, Protocol

import curio

from dotterelhatch.core.admission import AdmissionFactors
from dotterelhatch.core.balancer import Placement, PlacementRequest, Rejection
from dotterelhatch.core.crashcauses import (
    SURVIVAL_SECONDS,
    CrashVerdict,
    format_cause,
)
from dotterelhatch.core.enginememory import FinishedStream, MemoryRoom
from dotterelhatch.core.fairshare import UsageSample
from dotterelhatch.core.load import TargetLoad
from dotterelhatch.core.prompts import SentPrompt
from dotterelhatch.core.targethealth import AttemptOutcome
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.fleet import ServiceLimits
from dotterelhatch.gateway.crashes import BrokenRun, CrashProber
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.notices import TargetNotices
from dotterelhatch.gateway.relay import Relay, is_success
from dotterelhatch.gateway.request_records import (
    Attempt,
    AttemptHistory,
    RoutedRequest,
)
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import ForwardingMetadata, WireFormat
from dotterelhatch.ids import TargetId
from dotterelhatch.net.http import ServerExchange
from dotterelhatch.net.targets import (
    FailureStage,
    TargetClient,
    TargetFailure,
    TargetResponse,
)

__all__ = ('ActiveRequest', 'AttemptRunner', 'GatewayComponents')

_SERVER_ERROR: Final = 500
# By these statuses callers know that a request has not run and never will.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# A connection opens within 1 ms. TCP retransmits a lost SYN only after 1 s;
# trying another target is faster.
_CONNECT_TIMEOUT_SECONDS: Final = 0.4
# A slow target does not end a request; the timeout of the route does.
_NO_TIMEOUT_SECONDS: Final = 600.0
_TARGET_LIMITS: Final = ServiceLimits(
    connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS,
    first_byte_timeout_seconds=_NO_TIMEOUT_SECONDS,
    progress_timeout_seconds=_NO_TIMEOUT_SECONDS,
)
# Targets that a request is sent to at most. When the last one sheds it too,
# the request is rejected.
_MAX_SENDS_COUNT: Final = 3
_MAX_UNREACHABLE_COUNT: Final = 4
# The body of a rejection is short and sent together with its head.
_DISCARD_TIMEOUT_SECONDS: Final = 0.1
# Requests are placed only on targets that are expected to start them within
# the objective of the route, which is 0.5 s or less. A target without a
# response after twice that time counts as unresponsive.
_UNRESPONSIVE_SECONDS: Final = 1.0
# Part of a measured time by which the event loop may be late.
_MAX_LAG_RATIO: Final = 0.25
# Outcomes of attempts that a target may not have begun.
_FAILED_OUTCOMES: Final = frozenset(
    (AttemptOutcome.SHED, AttemptOutcome.BROKEN, AttemptOutcome.UNREACHABLE)
)
# Callers choose the number and the length of these ids.
_MAX_LOGGED_PARTS_COUNT: Final = 8
_MAX_LOGGED_PART_ID_CHARS: Final = 32


class GatewayComponents(Protocol):
    """Components of a gateway that are needed to forward a request."""

    state: GatewayState
    wire: WireFormat
    targets: TargetClient
    crash_prober: CrashProber


class ActiveRequest(Protocol):
    """State of a request, shared by its attempts.

    :param received_seconds: clock time at which the request arrived.
    :param decision_facts: fields added to the decision line of the outcome.
    """

    exchange: ServerExchange
    received_seconds: float
    history: AttemptHistory
    decision_facts: dict[str, Any]

    def elapsed_seconds(self) -> float:
        """Return the time since the request arrived."""

    def note(self, decision: Decision, reason: str, **facts: Any) -> None:
        """Log the outcome of the request and count it in the metrics."""


class _NextStep(enum.Enum):
    """Whether a request is complete after an attempt or is sent again."""

    DONE = 'done'
    AGAIN = 'again'


class AttemptRunner:
    """Sends one request to targets, one at a time, until it is answered.

    :param gateway: components used to forward the request.
    :param request: state of the request, shared by all attempts.
    :param routed: the request with its route, service and body.
    """

    def __init__(
        self,
        gateway: GatewayComponents,
        request: ActiveRequest,
        routed: RoutedRequest,
    ) -> None:
        """Start without any attempt."""
        self._gateway = gateway
        self._state = gateway.state
        self._request = request
        self._routed = routed
        self._notices = TargetNotices(gateway.state, gateway.wire)
        self._held_seconds = 0.0

    def admit(self) -> Placement | None:
        """Choose the first target and return its placement.

        No load is counted yet, so the caller of this method has nothing to
        undo after a rejection.

        :returns: None for a request that has to wait because it may crash its
            target.
        :raises DotterelhatchError: when the request is rejected.
        """
        state = self._state
        state.retry_budget.on_request(self._routed.service.id, state.clock())
        factors = self._admission_factors()
        self._reject_if_crashing(state.clock())
        if self._hold_seconds():
            return None
        return self._place(self._placement_request(factors))

    async def run(self, placement: Placement | None) -> None:
        """Send the request to targets until it is answered.

        :param placement: the first target, chosen by :meth:`admit`.
        :raises DotterelhatchError: when the request fails.
        :raises DisconnectError: when the caller disconnects.
        """
        routed = self._routed
        relay = Relay(
            self._gateway.wire,
            self._request.exchange,
            routed.route,
            routed.metadata.last_event_id,
        )
        try:
            placement = placement or await self._place_again()
            while await self._run_attempt(placement, relay) is _NextStep.AGAIN:
                placement = await self._place_again()
        finally:
            self._state.crash_causes.release(self)

    async def _place_again(self) -> Placement:
        """Choose a target once the request may be sent.

        A request that was admitted once is not rejected for overload later, so
        the load-dependent factors keep their defaults.
        """
        started_seconds = self._state.clock()
        while hold_seconds := self._hold_seconds():
            await self._gateway.crash_prober.report_news()
            self._reject_if_held_too_long(hold_seconds)
            await curio.sleep(hold_seconds)
            self._state.decide_crash_causes()
        await self._gateway.crash_prober.report_news()
        await self._state.wait_confirmed()
        self._held_seconds += self._state.clock() - started_seconds
        self._reject_if_crashing(self._state.clock())
        return self._place(
            self._placement_request(AdmissionFactors(self._age_seconds()))
        )

    def _hold_seconds(self) -> float:
        return self._state.crash_causes.wait_seconds(
            self, self._routed.crash_causes, self._state.clock()
        )

    def _reject_if_held_too_long(self, hold_seconds: float) -> None:
        """Reject a request whose limit ends before it may be sent."""
        remaining_seconds = (
            self._routed.limit_seconds - self._request.elapsed_seconds()
        )
        if hold_seconds >= remaining_seconds:
            raise self._rejection_error(
                Rejection(Rejection.CRASH_SUSPECT, hold_seconds)
            )

    def _placement_request(self, factors: AdmissionFactors) -> PlacementRequest:
        routed = self._routed
        table = self._state.table
        shortest_seconds = routed.route.objective_seconds
        if table:
            shortest_seconds = table.shortest_objective_seconds(
                routed.service.id
            )
        isolation_key = self._isolation_key()
        return PlacementRequest(
            route=routed.route,
            service=routed.service,
            prompt=routed.metadata.prompt,
            remaining_seconds=routed.limit_seconds
            - self._request.elapsed_seconds(),
            shortest_objective_seconds=shortest_seconds,
            factors=factors,
            isolation_key=isolation_key,
            down_targets=self._state.crash_causes.down_targets(
                self._state.clock()
            )
            if isolation_key
            else frozenset(),
            is_continued=self._request.history.sends_count > 0,
        )

    def _isolation_key(self) -> str | None:
        cause = self._state.crash_causes.isolated_cause(
            self._routed.crash_causes
        )
        return None if cause is None else format_cause(cause)

    def _age_seconds(self) -> float:
        return self._state.rejected_requests.age_seconds(
            self._routed.fingerprint, self._state.clock()
        )

    def _admission_factors(self) -> AdmissionFactors:
        """Return the factors for admission; count the first arrival."""
        state = self._state
        age_seconds = self._age_seconds()
        if self._routed.organisation is None or not self._routed.tokens:
            return AdmissionFactors(age_seconds)
        now_seconds = state.clock()
        window = state.admission_window(self._routed.service.id)
        if not age_seconds:
            state.count_asked_tokens(
                self._routed.service,
                self._routed.organisation,
                self._routed.tokens,
            )
        fair_share_ratio = state.fair_share_tracker(
            self._routed.service
        ).fair_share_ratio(self._routed.organisation, now_seconds)
        return AdmissionFactors(
            age_seconds=age_seconds,
            fair_share_ratio=fair_share_ratio,
            rejection_rate=window.rejection_rate(now_seconds),
            route_admission_ratio=window.route_admission_ratio(
                self._routed.route.name, now_seconds
            ),
        )

    def _place(self, placement_request: PlacementRequest) -> Placement:
        state = self._state
        now_seconds = state.clock()
        chosen = state.balancer.place(
            placement_request, self._request.history.tried_targets, now_seconds
        )
        if (
            not placement_request.factors.age_seconds
            and not self._request.history.sends_count
        ):
            state.admission_window(self._routed.service.id).add(
                self._routed.route.name,
                now_seconds,
                admitted=not isinstance(chosen, Rejection),
            )
        if isinstance(chosen, Rejection):
            self._request.decision_facts = {
                **_admission_facts(placement_request, self._routed),
                **_memory_facts(chosen.room),
            }
            state.rejected_requests.on_rejected(
                self._routed.fingerprint, self._request.received_seconds
            )
            raise self._rejection_error(chosen)
        state.load_report.on_event(
            self._routed.organisation, Decision.PLACED.value
        )
        log_decision(
            Decision.PLACED,
            request_id=self._routed.metadata.request_id,
            target=chosen.entry.id,
            wait_ms=round(chosen.wait_seconds * 1000),
            expected_ms=round(chosen.expected_seconds * 1000),
            unread_tokens=chosen.load.unread_tokens,
            kept_tokens=chosen.cached_tokens,
            **_admission_facts(placement_request, self._routed),
            **_memory_facts(chosen.room),
            **self._suspicion_facts(),
            **self._cold_facts(chosen, now_seconds),
            attempt=self._request.history.sends_count + 1,
            table_version=state.table.version if state.table else None,
        )
        return chosen

    def _reject_if_crashing(self, now_seconds: float) -> None:
        """Reject a request that is known to crash the targets it runs on."""
        routed = self._routed
        verdict = self._state.crash_causes.verdict(
            routed.crash_causes, now_seconds
        )
        if verdict is CrashVerdict.CLEAR:
            return
        facts = {
            'route': routed.route.name,
            'organisation': routed.organisation,
            **_crash_facts(routed),
        }
        if verdict is CrashVerdict.TRIAL:
            log_decision(
                Decision.CRASH_CAUSE_TRIED,
                request_id=routed.metadata.request_id,
                **facts,
            )
            return
        self._request.decision_facts = facts
        may_have_run = self._request.history.possible_executions_count > 0
        raise DotterelhatchError(
            ErrorKind.REQUEST_CRASHES_TARGETS,
            'targets crashed while they executed this request or others with '
            'a part of its prompt',
            Executed.UNKNOWN if may_have_run else Executed.NO,
        )

    def _rejection_error(self, rejection: Rejection) -> DotterelhatchError:
        if self._request.history.possible_executions_count:
            return DotterelhatchError(
                ErrorKind.TARGET_FAILED,
                'the target failed and no other target can take the request',
                Executed.UNKNOWN,
            )
        no_target = rejection.reason in {
            Rejection.NO_TARGET,
            Rejection.CRASH_SUSPECT,
            Rejection.EVACUATED,
        }
        detail = rejection.reason
        if rejection.wait_seconds is not None:
            detail = f'{detail}: predicted wait {rejection.wait_seconds:.3f} s'
        return DotterelhatchError(
            ErrorKind.NO_TARGET if no_target else ErrorKind.QUEUE_FULL,
            detail,
            retry_after_seconds=rejection.retry_after_seconds,
        )

    def _suspicion_facts(self) -> dict[str, Any]:
        """Return what is known of crashes with the request."""
        suspicion = self._state.crash_causes.suspicion(
            self._routed.crash_causes
        )
        if suspicion is None:
            return {}
        return {
            'suspect_cause': format_cause(suspicion.cause),
            'known_crashes_count': suspicion.crashes_count,
            'known_events_count': suspicion.events_count,
            'held_ms': round(self._held_seconds * 1000),
        }

    def _cold_facts(
        self, placement: Placement, now_seconds: float
    ) -> dict[str, Any]:
        is_cold = self._state.warmup.is_cold(placement.entry, now_seconds)
        return {'is_cold': True} if is_cold else {}

    async def _run_attempt(
        self, placement: Placement, relay: Relay
    ) -> _NextStep:
        """Send the request to one target and relay its response."""
        state = self._state
        target = placement.entry.id
        started_seconds = state.clock()
        in_flight = state.load_tracker.start(
            target, placement.load, started_seconds
        )
        state.health.on_sent(target, started_seconds)
        if self._routed.metadata.prompt and self._routed.service.engine:
            state.record_sent_prompt(
                SentPrompt(
                    target,
                    self._routed.metadata.prompt.parts,
                    placement.spare_tokens,
                )
            )
        attempt = Attempt(placement, started_seconds, self._count_placed())
        self._request.history.tried_targets.add(target)
        try:
            next_step = await self._exchange(attempt, relay, in_flight)
        except TargetFailure as failure:
            next_step = await self._on_failure(attempt, relay, failure)
        finally:
            in_flight.end()
            self._end_attempt(attempt)
        return next_step

    def _count_placed(self) -> UsageSample | None:
        routed = self._routed
        if routed.organisation is None or not routed.tokens:
            return None
        return self._state.count_placed_tokens(
            routed.service, routed.organisation, routed.tokens
        )

    def _note_begun(self, attempt: Attempt) -> None:
        routed = self._routed
        attempt.has_begun = True
        if routed.organisation is not None and routed.tokens:
            self._state.report_begun_tokens(
                routed.service, routed.organisation, routed.tokens
            )

    def _withdraw_unbegun(self, attempt: Attempt) -> None:
        """Take back the usage of an attempt that its target has not begun.

        That of a caller that leaves early counts, because the target may have
        read its prompt.
        """
        if attempt.usage is not None and not attempt.has_begun:
            self._state.withdraw_placed_tokens(
                self._routed.service, attempt.usage
            )

    def _end_attempt(self, attempt: Attempt) -> None:
        state = self._state
        target = attempt.placement.entry.id
        outcome = attempt.outcome
        if not attempt.has_response:
            state.balancer.pauses.on_unanswered(
                attempt.placement.entry, attempt.started_seconds
            )
        if outcome is None:
            state.health.on_abandoned(target)
            if not attempt.has_response:
                self._mark_unresponsive(attempt)
        else:
            state.health.on_ended(target, outcome, state.clock())
        if outcome in _FAILED_OUTCOMES:
            self._withdraw_unbegun(attempt)
        state.metrics.attempts.labels(
            self._routed.service.id, outcome.value if outcome else 'abandoned'
        ).inc()

    def _mark_unresponsive(self, attempt: Attempt) -> None:
        """Mark a target unusable if it never began to respond."""
        state = self._state
        now_seconds = state.clock()
        if now_seconds - attempt.started_seconds > _UNRESPONSIVE_SECONDS:
            state.health.on_timeout(attempt.placement.entry.id, now_seconds)
            self._withdraw_unbegun(attempt)

    async def _exchange(
        self, attempt: Attempt, relay: Relay, in_flight: Any
    ) -> _NextStep:
        entry = attempt.placement.entry
        forwarding = ForwardingMetadata(
            target=entry.id,
            remaining_seconds=self._routed.limit_seconds
            - self._request.elapsed_seconds(),
            organisation=self._routed.organisation,
            last_event_id=relay.last_event_id,
        )
        head = self._gateway.wire.encode_request(
            self._request.exchange.head, self._routed.metadata, forwarding
        )
        # Counted before sending: unless the connection is refused, the target
        # may execute the request.
        self._request.history.sends_count += 1
        self._request.history.possible_executions_count += 1
        self._state.count_sent_bytes(
            'target_request', entry.failure_domain, len(self._routed.body)
        )
        response = await self._gateway.targets.open(
            entry.address, head, self._routed.body,
            self._routed.metadata.request_id, _TARGET_LIMITS,
        )  # fmt: skip
        async with response:
            return await self._on_response(attempt, relay, response, in_flight)

    async def _on_response(
        self,
        attempt: Attempt,
        relay: Relay,
        response: TargetResponse,
        in_flight: Any,
    ) -> _NextStep:
        state = self._state
        wire = self._gateway.wire
        target = attempt.placement.entry.id
        state.health.on_received(target, state.clock())
        attempt.has_response = True
        self._note_limit(attempt, response)
        self._notices.apply(attempt, response)
        if wire.is_not_executed(response.status, response.headers):
            self._note_shed(attempt, response)
            await _discard_body(response)
            return self._after_shed(attempt, response)
        self._check_status(attempt, response)
        if self._routed.route.is_stream and is_success(response.status):
            await self._relay_stream(attempt, relay, response, in_flight)
        else:
            self._note_begun(attempt)
            body = await response.read_all()
            failed = response.status >= _SERVER_ERROR
            attempt.outcome = (
                AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED
            )
            if failed and self._may_retry():
                return self._log_retry(attempt, 'server_error')
            if not self._routed.route.is_stream:
                self._learn_plain_speed(attempt, response.status)
            await relay.send_response(response, body)
        self._on_served(attempt, response.status)
        if is_success(response.status):
            await self._clear_crash_causes(attempt, response)
        return _NextStep.DONE

    def _check_status(self, attempt: Attempt, response: TargetResponse) -> None:
        """Reject a status that would say that a request has not run.

        The target does not say so itself, and the request must not be repeated.

        :raises DotterelhatchError: TARGET_FAILED.
        """
        is_retryable = self._routed.route.is_retryable
        if is_retryable or response.status not in _NOT_RUN_STATUSES:
            return
        attempt.outcome = AttemptOutcome.FAILED
        raise DotterelhatchError(
            ErrorKind.TARGET_FAILED,
            f'the target responded {response.status} without saying whether '
            'the request has run',
            Executed.UNKNOWN,
        )

    def _note_limit(self, attempt: Attempt, response: TargetResponse) -> None:
        """Apply the limit that a target names in its response.

        Rejections need not name it, so that one without a limit ends none.
        """
        wire = self._gateway.wire
        state = self._state
        limit = wire.limit_per_second(response.headers)
        attempt.limit_per_second = limit
        if limit is None and wire.is_not_executed(
            response.status, response.headers
        ):
            return
        entry = attempt.placement.entry
        if state.target_limits.on_answer(
            entry, limit, attempt.started_seconds, state.clock()
        ):
            state.on_limit_changed(entry.id, limit, state.settings.router_id)

    async def _clear_crash_causes(
        self, attempt: Attempt, response: TargetResponse
    ) -> None:
        causes = self._routed.crash_causes
        if response.is_delimited:
            state = self._state
            is_changed = state.crash_causes.on_completed(causes, state.clock())
            self._log_cleared(
                attempt.placement.entry.id, 'completed', is_changed=is_changed
            )
            await self._gateway.crash_prober.report_news()
        else:
            await self._gateway.crash_prober.on_connection_ended(
                attempt.placement.entry,
                BrokenRun(causes, attempt.started_seconds),
            )

    def _log_cleared(
        self, target: TargetId, reason: str, *, is_changed: bool
    ) -> None:
        if is_changed:
            log_decision(
                Decision.CRASH_CAUSE_CLEARED,
                request_id=self._routed.metadata.request_id,
                target=target,
                reason=reason,
                **_crash_facts(self._routed),
            )

    def _on_served(self, attempt: Attempt, status: int) -> None:
        state = self._state
        elapsed_seconds = self._request.elapsed_seconds()
        metrics = state.metrics
        service = self._routed.service.id
        metrics.response_seconds.labels(service).observe(elapsed_seconds)
        state.durations.on_served(self._routed.route.name, elapsed_seconds)
        first_seconds = attempt.first_event_seconds or state.clock()
        metrics.first_event_seconds.labels(service).observe(
            first_seconds - self._request.received_seconds
        )
        self._request.note(
            Decision.SERVED,
            'answered',
            status=status,
            target=attempt.placement.entry.id,
            target_limit_per_second=attempt.limit_per_second,
            first_event_ms=round(
                (first_seconds - self._request.received_seconds) * 1000
            ),
        )

    def _note_shed(self, attempt: Attempt, response: TargetResponse) -> None:
        state = self._state
        target = attempt.placement.entry.id
        self._request.history.possible_executions_count -= 1
        attempt.outcome = AttemptOutcome.SHED
        if self._gateway.wire.is_misdirected(response.status):
            state.registry.mark_replaced(target)
        elif not self._is_filled_here(attempt.placement):
            state.load_tracker.on_rejected(target, state.clock())

    def _is_filled_here(self, placement: Placement) -> bool:
        """Return whether requests of this router alone fill a target."""
        entry = placement.entry
        load = self._state.load_tracker.local_loads.get(entry.id, TargetLoad())
        engine = self._routed.service.engine
        if engine is None:
            return load.requests_count > entry.slots_count
        return (
            load.requests_count > engine.slots_count
            or load.memory_tokens > engine.memory_tokens
        )

    async def _relay_stream(
        self,
        attempt: Attempt,
        relay: Relay,
        response: TargetResponse,
        in_flight: Any,
    ) -> None:
        state = self._state
        target = attempt.placement.entry.id

        def on_chunk() -> None:  # noqa: WPS430
            now_seconds = state.clock()
            state.health.on_received(target, now_seconds)
            if attempt.first_event_seconds is None:
                attempt.first_event_seconds = now_seconds
                in_flight.on_first_event()
                self._note_begun(attempt)
                expected_seconds = attempt.placement.expected_seconds
                taken_seconds = now_seconds - attempt.started_seconds
                state.health.on_latency(target, expected_seconds, taken_seconds)
                state.load_tracker.on_begun(
                    target, taken_seconds - expected_seconds, now_seconds
                )
                self._learn_prompt_speed(attempt, now_seconds)
            elif not attempt.has_survived and (
                now_seconds - attempt.first_event_seconds >= SURVIVAL_SECONDS
            ):
                attempt.has_survived = True
                is_changed = state.crash_causes.on_survived(
                    self._routed.crash_causes, attempt.first_event_seconds
                )
                self._log_cleared(target, 'survived', is_changed=is_changed)

        await relay.relay_stream(response, on_chunk)
        attempt.outcome = AttemptOutcome.ANSWERED
        self._learn_memory(attempt, relay)

    def _learn_memory(self, attempt: Attempt, relay: Relay) -> None:
        """Learn the memory that a stream needed from one whole attempt.

        A stream that goes on after a part of it shows neither its length nor
        its time.
        """
        routed = self._routed
        prompt = routed.metadata.prompt
        if prompt is None or routed.service.engine is None:
            return
        is_whole = routed.metadata.last_event_id is None
        if is_whole and self._request.history.possible_executions_count == 1:
            self._state.balancer.memory.on_finished(
                FinishedStream(
                    routed.service.id,
                    routed.route.name,
                    prompt,
                    relay.events_count,
                    self._state.clock() - attempt.started_seconds,
                )
            )

    def _learn_prompt_speed(self, attempt: Attempt, now_seconds: float) -> None:
        """Add the time to a first event to what is known of the target."""
        placement = attempt.placement
        if self._is_measurable(attempt, now_seconds) and self._runs_prompt:
            self._state.target_speeds.on_first_event(
                placement.entry,
                self._routed.organisation,
                placement.queued_tokens + placement.load.unread_tokens,
                placement.running_count,
                now_seconds - attempt.started_seconds,
                now_seconds,
            )

    def _learn_plain_speed(self, attempt: Attempt, status: int) -> None:
        """Add the time of a response to what is known of the target.

        An error may take any time, and tells nothing of the speed.
        """
        state = self._state
        now_seconds = state.clock()
        state.balancer.on_plain_response(now_seconds - attempt.started_seconds)
        placement = attempt.placement
        if (
            is_success(status)
            and not self._runs_prompt
            and self._is_measurable(attempt, now_seconds)
        ):
            state.target_speeds.on_plain_response(
                placement.entry,
                self._routed.organisation,
                placement.running_count,
                now_seconds - attempt.started_seconds,
                now_seconds,
            )

    @property
    def _runs_prompt(self) -> bool:
        routed = self._routed
        return bool(routed.metadata.prompt and routed.service.engine)

    def _is_measurable(self, attempt: Attempt, now_seconds: float) -> bool:
        """Return whether a time is that of the target and not of the router."""
        state = self._state
        seconds = now_seconds - attempt.started_seconds
        return (
            state.learns_target_speeds
            and state.loop_lag.seconds <= _MAX_LAG_RATIO * seconds
        )

    def _after_shed(
        self, attempt: Attempt, response: TargetResponse
    ) -> _NextStep:
        sends_left = self._request.history.sends_count < _MAX_SENDS_COUNT
        if sends_left and self._take_retry():
            return self._log_retry(attempt, f'shed with {response.status}')
        state = self._state
        raise self._rejection_error(
            state.balancer.reject_if_paused(
                self._routed.service.id, state.clock()
            )
            or Rejection('shed by targets', state.rng.uniform(0.3, 1.0))
        )

    def _log_retry(self, attempt: Attempt, reason: str) -> _NextStep:
        log_decision(
            Decision.RETRIED,
            request_id=self._routed.metadata.request_id,
            target=attempt.placement.entry.id,
            reason=reason,
            target_limit_per_second=attempt.limit_per_second,
            sends_count=self._request.history.sends_count,
        )
        return _NextStep.AGAIN

    def _may_retry(self) -> bool:
        attempts_left = self._request.history.possible_executions_count < min(
            self._routed.route.max_attempts_count, _MAX_SENDS_COUNT
        )
        if not (self._routed.route.is_retryable and attempts_left):
            return False
        return self._take_retry()

    def _take_retry(self) -> bool:
        """Take one retry from the budget; return whether one was left.

        Without an untried target nothing is taken, and the response of the
        current target is passed on.
        """
        state = self._state
        if not state.balancer.has_untried_target(
            self._routed.service.id,
            self._request.history.tried_targets,
            state.clock(),
        ):
            return False
        return state.retry_budget.try_spend(
            self._routed.service.id, state.clock(), state.routers_count()
        )

    async def _on_failure(
        self,
        attempt: Attempt,
        relay: Relay,
        failure: TargetFailure,
    ) -> _NextStep:
        entry = attempt.placement.entry
        is_unsent = failure.stage is FailureStage.NOT_SENT
        attempt.outcome = (
            AttemptOutcome.UNREACHABLE if is_unsent else AttemptOutcome.BROKEN
        )
        log_decision(
            Decision.ATTEMPT_FAILED,
            request_id=self._routed.metadata.request_id,
            target=entry.id,
            address=entry.address,
            stage=failure.stage.value,
            reason=failure.reason.value,
            detail=failure.detail,
            sends_count=self._request.history.sends_count,
            answering_ms=attempt.answering_ms(self._state.clock()),
            route=self._routed.route.name,
            organisation=self._routed.organisation,
            **_crash_facts(self._routed),
            **self._suspicion_facts(),
        )
        if is_unsent:
            return self._after_unreachable()
        causes = () if attempt.has_survived else self._routed.crash_causes
        await self._gateway.crash_prober.on_connection_broken(
            entry, BrokenRun(causes, attempt.started_seconds)
        )
        if relay.can_resume and self._may_retry():
            relay.discard_partial_event()
            return self._log_retry(attempt, failure.reason.value)
        raise DotterelhatchError(
            ErrorKind.TARGET_FAILED,
            'the connection to the target failed before the response was '
            f'complete: {failure.reason.value}',
            Executed.UNKNOWN,
        ) from failure

    def _after_unreachable(self) -> _NextStep:
        """Try another target; as nothing was sent, this is not a retry."""
        history = self._request.history
        history.sends_count -= 1
        history.possible_executions_count -= 1
        history.unreachable_count += 1
        if history.unreachable_count < _MAX_UNREACHABLE_COUNT:
            return _NextStep.AGAIN
        raise self._rejection_error(
            Rejection(Rejection.NO_TARGET, self._state.rng.random())
        )


async def _discard_body(response: TargetResponse) -> None:
    """Read a body that is not used, so that its connection can be reused.

    A connection on which the body does not end soon is closed.
    """
    with contextlib.suppress(TargetFailure):
        await curio.ignore_after(_DISCARD_TIMEOUT_SECONDS, response.skip_all)


def _crash_facts(routed: RoutedRequest) -> dict[str, Any]:
    """Return what may crash a target in a request, in the length of a line.

    The causes are those of the shared parts, in their order, and the one of
    the request as a whole.
    """
    prompt = routed.metadata.prompt
    parts = prompt.shared_parts[:_MAX_LOGGED_PARTS_COUNT] if prompt else ()
    *part_causes, request_cause = routed.crash_causes
    causes = (*part_causes[: len(parts)], request_cause)
    return {
        'shared_parts': [part.id[:_MAX_LOGGED_PART_ID_CHARS] for part in parts],
        'crash_causes': [format_cause(cause) for cause in causes],
    }


def _admission_facts(
    placement_request: PlacementRequest, routed: RoutedRequest
) -> dict[str, Any]:
    """Return the inputs of an admission decision for its decision line."""
    factors = placement_request.factors
    return {
        'service': routed.service.id,
        'organisation': routed.organisation,
        'tokens': routed.tokens,
        'used_share': round(factors.fair_share_ratio, 2),
        'age_ms': round(factors.age_seconds * 1000),
        'deadline_ms': round((routed.metadata.deadline_seconds or 0) * 1000),
        'route': routed.route.name,
        'pressure': round(factors.rejection_rate, 2),
        'kind_share': round(factors.route_admission_ratio, 2),
    }


def _memory_facts(room: MemoryRoom | None) -> dict[str, Any]:
    """Return the memory of the target where it limits the requests."""
    if room is None:
        return {}
    return {
        'memory_need': room.need_tokens,
        'memory_used': room.used_tokens,
        'memory_capacity': room.capacity_tokens,
    }
