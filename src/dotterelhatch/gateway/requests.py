"""The path of one request: identify, admit, place, relay."""

import enum
from dataclasses import dataclass
from typing import Any, Final

import curio
import mmh3

from dotterelhatch.core.admission import Claim
from dotterelhatch.core.balancer import Demand, Placement, Refusal
from dotterelhatch.core.prompts import SentPrompt
from dotterelhatch.core.retries import SuspectVerdict
from dotterelhatch.core.routes import RouteRule, ServiceSpec, pick_service
from dotterelhatch.core.targethealth import AttemptOutcome
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.fleet import ServiceLimits
from dotterelhatch.gateway.crashes import CrashWatch
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.relay import Relay, is_success
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import (
    Forwarding,
    RequestFacts,
    WireFormat,
)
from dotterelhatch.ids import Fingerprint, OrganisationId, TargetId
from dotterelhatch.net.heads import HangupError
from dotterelhatch.net.http import ServerExchange
from dotterelhatch.net.targets import (
    FailureStage,
    TargetClient,
    TargetFailure,
    TargetResponse,
)

__all__ = ('GatewayHandler',)

_SERVER_ERROR: Final = 500
# A connection takes 1 ms; a lost opening packet is sent again after 1 s, and
# by then another target has answered.
_CONNECT_TIMEOUT_SECONDS: Final = 0.4
# Silence of a target ends no request; the timeout of the route does.
_NO_TIMEOUT_SECONDS: Final = 600.0
_TARGET_LIMITS: Final = ServiceLimits(
    connect_timeout_seconds=_CONNECT_TIMEOUT_SECONDS,
    first_byte_timeout_seconds=_NO_TIMEOUT_SECONDS,
    progress_timeout_seconds=_NO_TIMEOUT_SECONDS,
)
# Targets that refused a request without running it, before the request is
# refused to its caller.
_MAX_SENDS_COUNT: Final = 3
_MAX_UNREACHABLE_COUNT: Final = 4
# Longest time a target may get beyond which it would outlive its caller.
_DEFAULT_DEADLINE_SECONDS: Final = 30.0
_OUTPUT_TOKEN_WEIGHT: Final = 2
# Another router takes the request at once; this is for callers that know none.
_BEHIND_RETRY_SECONDS: Final = 0.2


class _Next(enum.Enum):
    """What follows an attempt."""

    DONE = 'done'
    AGAIN = 'again'


@dataclass(slots=True)
class _Progress:
    """What has been tried for a request.

    :param sends_count: targets that received it.
    :param runs_count: targets that may have run it.
    """

    tried: set[TargetId]
    sends_count: int = 0
    runs_count: int = 0
    unreachable_count: int = 0


class GatewayHandler:
    """Handler of the caller address.

    :param state: what the gateway knows.
    :param wire: translates heads.
    :param targets: client of the targets.
    :param crashes: told of connections that targets broke.
    """

    def __init__(
        self,
        state: GatewayState,
        wire: WireFormat,
        targets: TargetClient,
        crashes: CrashWatch,
    ) -> None:
        """Keep the parts."""
        self.state = state
        self.wire = wire
        self.targets = targets
        self.crashes = crashes

    async def __call__(self, exchange: ServerExchange) -> None:
        """Answer one request."""
        run = _RequestRun(self, exchange)
        try:
            await run.serve()
        except HangupError as error:
            run.note(Decision.CALLER_LEFT, 'caller_left', detail=str(error))
            raise
        except DotterelhatchError as error:
            await self._answer_error(run, error)

    async def _answer_error(
        self, run: '_RequestRun', error: DotterelhatchError
    ) -> None:
        refused = error.executed is Executed.NO
        run.note(
            Decision.REFUSED if refused else Decision.FAILED,
            error.kind.value,
            detail=error.detail,
            executed=error.executed.value,
            status=error.answer.status,
            retry_after_seconds=error.retry_after_seconds,
        )
        exchange = run.exchange
        if exchange.started:
            exchange.abort()
            return
        await exchange.send(self.wire.render_error(error, run.request_id))


class _RequestRun:
    """One request from its head to the end of its response."""

    def __init__(
        self, handler: GatewayHandler, exchange: ServerExchange
    ) -> None:
        self.exchange = exchange
        self._handler = handler
        self._state = handler.state
        self._received_seconds = handler.state.clock()
        self._facts: RequestFacts | None = None
        self._progress = _Progress(set())
        self._decided_by: dict[str, Any] = {}

    @property
    def request_id(self) -> Any:
        """Return the id of the request, None before it is known."""
        return self._facts.request_id if self._facts else None

    async def serve(self) -> None:
        """Run the request.

        :raises DotterelhatchError: when it is refused or fails.
        :raises HangupError: when the caller leaves.
        """
        facts = self._handler.wire.decode_request(self.exchange.head)
        self._facts = facts
        self._check_lag()
        route = self._find_route(facts)
        organisation = self._authenticate(route, facts)
        table = self._state.table
        if table is None:
            raise self._not_ready()
        body = await self.exchange.read_body(table.limits.max_body_bytes)
        service = table.services.get(pick_service(route, self._state.rng))
        if service is None:
            raise DotterelhatchError(
                ErrorKind.NO_TARGET, 'the service of the route is not defined'
            )
        self._decided_by = {'service': service.id}
        work = _Work(route, service, organisation, facts, body)
        await self._attend(work)

    def note(self, decision: Decision, reason: str, **facts: Any) -> None:
        """Log how the request ended and count it."""
        table = self._state.table
        log_decision(
            decision,
            request_id=self.request_id,
            reason=reason,
            seconds=round(self._elapsed_seconds(), 4),
            sends_count=self._progress.sends_count,
            table_version=table.version if table else None,
            is_source_current=self._state.is_source_current,
            **{**self._decided_by, **facts},
        )
        self._state.metrics.requests.labels(decision.value, reason).inc()

    def _elapsed_seconds(self) -> float:
        return self._state.clock() - self._received_seconds

    def _not_ready(self) -> DotterelhatchError:
        return DotterelhatchError(
            ErrorKind.NOT_READY, 'this router has no routing table yet'
        )

    def _check_lag(self) -> None:
        """Send callers elsewhere while this process is behind.

        A caller may keep one connection for many requests, so the connection
        is closed with the refusal.
        """
        lag = self._state.lag
        if not lag.is_behind:
            return
        self.exchange.close_after_response()
        raise DotterelhatchError(
            ErrorKind.NOT_READY,
            f'this router is {lag.seconds:.2f} s behind',
            retry_after_seconds=_BEHIND_RETRY_SECONDS,
        )

    def _find_route(self, facts: RequestFacts) -> RouteRule:
        table = self._state.table
        if table is None:
            raise self._not_ready()
        route = table.find_route(facts.host, facts.path)
        if route is None:
            raise self._unknown(
                ErrorKind.NOT_FOUND, f'no route in version {table.version}'
            )
        return route

    def _authenticate(
        self, route: RouteRule, facts: RequestFacts
    ) -> OrganisationId | None:
        table = self._state.table
        if table is None or not table.needs_key(route):
            return None
        organisation = None
        if facts.api_key is not None:
            organisation = table.find_organisation(facts.api_key)
        if organisation is None:
            raise self._unknown(
                ErrorKind.UNAUTHORISED,
                f'the key is unknown in version {table.version}',
            )
        return organisation

    def _unknown(self, kind: ErrorKind, detail: str) -> DotterelhatchError:
        """Return the error for what the routing table does not hold.

        A table that may be out of date can't tell that something is unknown.
        """
        if self._state.is_source_current:
            return DotterelhatchError(kind, detail)
        return DotterelhatchError(
            ErrorKind.NOT_READY, f'{detail}, which may be out of date'
        )

    async def _attend(self, work: '_Work') -> None:
        """Run the attempts until the end, the timeout or a hang-up."""
        limit_seconds = work.limit_seconds - self._elapsed_seconds()
        task = await curio.current_task()
        watch = await curio.spawn(
            _watch_hangup, self.exchange, task, daemon=True
        )
        try:
            async with curio.timeout_after(max(0, limit_seconds)):
                await self._run_attempts(work)
        except curio.TaskTimeout:
            raise self._timed_out() from None
        except curio.CancelledError as error:
            if watch.terminated:
                raise HangupError('the caller closed the connection') from error
            raise
        finally:
            await watch.cancel()

    def _timed_out(self) -> DotterelhatchError:
        ran = self._progress.sends_count > 0
        return DotterelhatchError(
            ErrorKind.DEADLINE_EXCEEDED,
            'no complete response within the time of the request',
            Executed.UNKNOWN if ran else Executed.NO,
        )

    async def _run_attempts(self, work: '_Work') -> None:
        state = self._state
        state.allowance.on_request(work.service.id, state.clock())
        relay = Relay(self.exchange, work.route, work.facts.last_event_id)
        claim = self._claim(work)
        table = state.table
        following = _Next.AGAIN
        while following is _Next.AGAIN:
            demand = Demand(
                route=work.route,
                service=work.service,
                prompt=work.facts.prompt,
                remaining_seconds=work.limit_seconds - self._elapsed_seconds(),
                shortest_objective_seconds=(
                    table.shortest_objective_seconds(work.service.id)
                    if table
                    else work.route.objective_seconds
                ),
                claim=claim,
            )
            placement = self._place(demand, work)
            following = await self._attempt(placement, work, relay)
            # What was admitted once is not refused for the load any more.
            claim = Claim(claim.age_seconds)

    def _claim(self, work: '_Work') -> Claim:
        """Return what speaks for the request, and count it."""
        state = self._state
        age_seconds = state.refused.age_seconds(work.fingerprint, state.clock())
        if work.organisation is None or not work.tokens:
            return Claim(age_seconds)
        now_seconds = state.clock()
        window = state.admission(work.service.id)
        if not age_seconds:
            state.shares.on_asked(work.organisation, work.tokens, now_seconds)
        used_share = state.shares.used_share(work.organisation, now_seconds)
        return Claim(
            age_seconds=age_seconds,
            used_share=used_share,
            pressure=window.pressure(now_seconds),
            kind_share=window.kind_share(work.route.name, now_seconds),
        )

    def _place(self, demand: Demand, work: '_Work') -> Placement:
        state = self._state
        now_seconds = state.clock()
        verdict = state.suspects.verdict(work.fingerprint, now_seconds)
        if verdict is SuspectVerdict.REFUSE:
            raise DotterelhatchError(
                ErrorKind.REQUEST_CRASHES_TARGETS,
                'targets crashed while they ran this request',
            )
        chosen = state.balancer.place(demand, self._progress.tried, now_seconds)
        if not demand.claim.age_seconds and not self._progress.sends_count:
            state.admission(work.service.id).add(
                work.route.name,
                now_seconds,
                admitted=not isinstance(chosen, Refusal),
            )
        if isinstance(chosen, Refusal):
            self._decided_by = _claim_facts(demand, work)
            state.refused.on_refused(work.fingerprint, self._received_seconds)
            raise self._refuse(chosen)
        log_decision(
            Decision.PLACED,
            request_id=work.facts.request_id,
            target=chosen.entry.id,
            wait_ms=round(chosen.wait_seconds * 1000),
            expected_ms=round(chosen.expected_seconds * 1000),
            unread_tokens=chosen.load.unread_tokens,
            kept_tokens=chosen.kept_tokens,
            **_claim_facts(demand, work),
            attempt=self._progress.sends_count + 1,
            table_version=state.table.version if state.table else None,
        )
        return chosen

    def _refuse(self, refusal: Refusal) -> DotterelhatchError:
        if self._progress.runs_count:
            return DotterelhatchError(
                ErrorKind.TARGET_FAILED,
                'the target failed and no other can take the request',
                Executed.UNKNOWN,
            )
        no_target = refusal.reason == 'no_target'
        detail = refusal.reason
        if refusal.wait_seconds is not None:
            detail = f'{detail}: predicted wait {refusal.wait_seconds:.3f} s'
        return DotterelhatchError(
            ErrorKind.NO_TARGET if no_target else ErrorKind.QUEUE_FULL,
            detail,
            retry_after_seconds=refusal.retry_after_seconds,
        )

    async def _attempt(
        self, placement: Placement, work: '_Work', relay: Relay
    ) -> _Next:
        """Send the request to one target and relay its answer."""
        state = self._state
        target = placement.entry.id
        started_seconds = state.clock()
        flight = state.board.start(target, placement.load, started_seconds)
        state.health.on_sent(target, started_seconds)
        if work.facts.prompt and work.service.engine:
            state.note_prompt(
                SentPrompt(
                    target, work.facts.prompt.parts, placement.spare_tokens
                )
            )
        if work.organisation is not None and work.tokens:
            state.shares.on_begun(
                work.organisation, work.tokens, started_seconds
            )
        attempt = _Attempt(placement, started_seconds)
        self._progress.tried.add(target)
        try:
            following = await self._exchange(attempt, work, relay, flight)
        except TargetFailure as failure:
            following = await self._on_failure(attempt, work, relay, failure)
        finally:
            flight.end()
            self._end_attempt(attempt, work)
        return following

    def _end_attempt(self, attempt: '_Attempt', work: '_Work') -> None:
        state = self._state
        target = attempt.placement.entry.id
        outcome = attempt.outcome
        if outcome is None:
            state.health.on_abandoned(target)
        else:
            state.health.on_ended(target, outcome, state.clock())
        state.metrics.attempts.labels(
            work.service.id, outcome.value if outcome else 'abandoned'
        ).inc()

    async def _exchange(
        self, attempt: '_Attempt', work: '_Work', relay: Relay, flight: Any
    ) -> _Next:
        entry = attempt.placement.entry
        forwarding = Forwarding(
            target=entry.id,
            remaining_seconds=work.limit_seconds - self._elapsed_seconds(),
            organisation=work.organisation,
            last_event_id=relay.last_event_id,
        )
        head = self._handler.wire.encode_request(
            self.exchange.head, work.facts, forwarding
        )
        # Unless the connection is refused, the target may run the request.
        self._progress.sends_count += 1
        self._progress.runs_count += 1
        response = await self._handler.targets.open(
            entry.address, head, work.body, work.facts.request_id,
            _TARGET_LIMITS,
        )  # fmt: skip
        async with response:
            return await self._on_response(
                attempt, work, relay, response, flight
            )

    async def _on_response(
        self,
        attempt: '_Attempt',
        work: '_Work',
        relay: Relay,
        response: TargetResponse,
        flight: Any,
    ) -> _Next:
        state = self._state
        wire = self._handler.wire
        target = attempt.placement.entry.id
        state.health.on_heard(target, state.clock())
        if wire.is_not_executed(response.status, response.headers):
            self._progress.runs_count -= 1
            attempt.outcome = AttemptOutcome.SHED
            if wire.is_other_instance(response.status):
                state.registry.mark_replaced(target)
            await response.read_all()
            return self._after_shed(attempt, work, response)
        if work.route.is_stream and is_success(response.status):
            await self._relay_stream(attempt, work, relay, response, flight)
        else:
            body = await response.read_all()
            failed = response.status >= _SERVER_ERROR
            attempt.outcome = (
                AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED
            )
            if failed and self._may_repeat(work):
                return self._again(work, attempt, 'server_error')
            state.balancer.on_plain_answered(
                state.clock() - attempt.started_seconds
            )
            await relay.send_whole(response, body)
        self._on_served(attempt, work, response.status)
        return _Next.DONE

    def _on_served(
        self, attempt: '_Attempt', work: '_Work', status: int
    ) -> None:
        state = self._state
        elapsed_seconds = self._elapsed_seconds()
        metrics = state.metrics
        service = work.service.id
        metrics.response_seconds.labels(service).observe(elapsed_seconds)
        first = attempt.first_event_seconds or state.clock()
        metrics.first_event_seconds.labels(service).observe(
            first - self._received_seconds
        )
        self.note(
            Decision.SERVED,
            'answered',
            status=status,
            target=attempt.placement.entry.id,
            first_event_ms=round((first - self._received_seconds) * 1000),
        )
        state.suspects.on_completed(work.fingerprint, state.clock())

    async def _relay_stream(
        self,
        attempt: '_Attempt',
        work: '_Work',
        relay: Relay,
        response: TargetResponse,
        flight: Any,
    ) -> None:
        state = self._state
        target = attempt.placement.entry.id

        def on_chunk() -> None:  # noqa: WPS430
            now_seconds = state.clock()
            state.health.on_heard(target, now_seconds)
            if attempt.first_event_seconds is None:
                attempt.first_event_seconds = now_seconds
                flight.on_first_event()
                state.health.on_timed(
                    target,
                    attempt.placement.expected_seconds,
                    now_seconds - attempt.started_seconds,
                )

        await relay.stream(response, on_chunk)
        attempt.outcome = AttemptOutcome.ANSWERED

    def _after_shed(
        self, attempt: '_Attempt', work: '_Work', response: TargetResponse
    ) -> _Next:
        sends_left = self._progress.sends_count < _MAX_SENDS_COUNT
        if sends_left and self._spend_repeat(work):
            return self._again(work, attempt, f'shed with {response.status}')
        raise self._refuse(
            Refusal('shed by targets', self._state.rng.uniform(0.3, 1.0))
        )

    def _again(self, work: '_Work', attempt: '_Attempt', reason: str) -> _Next:
        log_decision(
            Decision.RETRIED,
            request_id=work.facts.request_id,
            target=attempt.placement.entry.id,
            reason=reason,
            sends_count=self._progress.sends_count,
        )
        return _Next.AGAIN

    def _may_repeat(self, work: '_Work') -> bool:
        attempts_left = self._progress.runs_count < min(
            work.route.max_attempts_count, _MAX_SENDS_COUNT
        )
        if not (work.route.is_repeatable and attempts_left):
            return False
        return self._spend_repeat(work)

    def _spend_repeat(self, work: '_Work') -> bool:
        state = self._state
        return state.allowance.try_spend(
            work.service.id, state.clock(), state.routers_count()
        )

    async def _on_failure(
        self,
        attempt: '_Attempt',
        work: '_Work',
        relay: Relay,
        failure: TargetFailure,
    ) -> _Next:
        entry = attempt.placement.entry
        unsent = failure.stage is FailureStage.NOT_SENT
        attempt.outcome = (
            AttemptOutcome.UNREACHABLE if unsent else AttemptOutcome.BROKEN
        )
        log_decision(
            Decision.ATTEMPT_FAILED,
            request_id=work.facts.request_id,
            target=entry.id,
            address=entry.address,
            stage=failure.stage.value,
            reason=failure.reason.value,
            detail=failure.detail,
            sends_count=self._progress.sends_count,
        )
        if unsent:
            return self._after_unreachable(work, relay)
        await self._handler.crashes.on_broken(entry, work.fingerprint)
        if self._may_repeat(work):
            relay.prepare_resume()
            return self._again(work, attempt, failure.reason.value)
        raise DotterelhatchError(
            ErrorKind.TARGET_FAILED,
            f'the target broke off: {failure.reason.value}',
            Executed.UNKNOWN,
        ) from failure

    def _after_unreachable(self, work: '_Work', relay: Relay) -> _Next:
        """Go on to another target; nothing was sent, so nothing repeats."""
        progress = self._progress
        progress.sends_count -= 1
        progress.runs_count -= 1
        progress.unreachable_count += 1
        if progress.unreachable_count < _MAX_UNREACHABLE_COUNT:
            return _Next.AGAIN
        raise self._refuse(Refusal('no_target', self._state.rng.random()))


@dataclass(slots=True)
class _Attempt:
    """One request at one target."""

    placement: Placement
    started_seconds: float
    first_event_seconds: float | None = None
    outcome: AttemptOutcome | None = None


class _Work:
    """What is to be done for a request, fixed once its body has arrived."""

    def __init__(
        self,
        route: RouteRule,
        service: ServiceSpec,
        organisation: OrganisationId | None,
        facts: RequestFacts,
        body: bytes,
    ) -> None:
        self.route = route
        self.service = service
        self.organisation = organisation
        self.facts = facts
        self.body = body
        deadline = facts.deadline_seconds or _DEFAULT_DEADLINE_SECONDS
        self.limit_seconds = min(deadline, route.timeout_seconds)
        # What organisations are compared by: tokens generated take about twice
        # the time of tokens read.
        self.tokens = 0
        if facts.prompt is not None:
            self.tokens = facts.prompt.input_tokens
            self.tokens += _OUTPUT_TOKEN_WEIGHT * facts.prompt.max_output_tokens
        # Equal for the same request sent again under another id.
        key = f'{facts.api_key}\0{facts.host}{facts.path}\0'
        digest = mmh3.hash_bytes(key.encode('latin-1', 'replace') + body)
        self.fingerprint = Fingerprint(digest.hex())


def _claim_facts(demand: Demand, work: _Work) -> dict[str, Any]:
    """Return what the admission of a request was decided by."""
    claim = demand.claim
    return {
        'service': work.service.id,
        'organisation': work.organisation,
        'tokens': work.tokens,
        'used_share': round(claim.used_share, 2),
        'age_ms': round(claim.age_seconds * 1000),
        'deadline_ms': round((work.facts.deadline_seconds or 0) * 1000),
        'route': work.route.name,
        'pressure': round(claim.pressure, 2),
        'kind_share': round(claim.kind_share, 2),
    }


async def _watch_hangup(exchange: ServerExchange, task: Any) -> None:
    await exchange.wait_hangup()
    await task.cancel(blocking=False)
