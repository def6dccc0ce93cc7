"""Sends a request to targets until one returns a complete response."""

import logging
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

import curio

from dotterelhatch.broker import Broker
from dotterelhatch.core.estimates import CostEstimator
from dotterelhatch.core.events import (
    DispatchRequest,
    RequestCompleted,
    RequestCrashed,
    RequestFinished,
)
from dotterelhatch.core.messages import RequestClass
from dotterelhatch.core.node import Node
from dotterelhatch.core.queues import PendingRequest
from dotterelhatch.core.retries import (
    Backoff,
    FailedAttempt,
    FailureStage,
    RetryAction,
    RetryBudget,
    SuspectVerdict,
    decide_retry,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.filters.crashdetector import CrashDetector
from dotterelhatch.filters.pipeline import Proceed, RequestContext
from dotterelhatch.filters.relay import Relay
from dotterelhatch.ids import RequestId, TargetId
from dotterelhatch.net.targets import FailureReason, TargetClient, TargetFailure
from dotterelhatch.net.targets import FailureStage as TargetStage

__all__ = ('Dispatch',)

_LOGGER: Final = logging.getLogger(__name__)

_TIMEOUTS: Final = frozenset(
    (
        FailureReason.CONNECT_TIMEOUT,
        FailureReason.FIRST_BYTE_TIMEOUT,
        FailureReason.PROGRESS_TIMEOUT,
    )
)
# Error details for callers. Addresses and causes are only logged.
_CALLER_DETAILS: Final[Mapping[FailureReason, str]] = MappingProxyType(
    {
        FailureReason.REFUSED: 'the target refused the connection',
        FailureReason.CONNECT_TIMEOUT: 'connecting to the target timed out',
        FailureReason.RESET: 'the connection to the target was lost',
        FailureReason.FIRST_BYTE_TIMEOUT: 'no response from the target in time',
        FailureReason.PROGRESS_TIMEOUT: 'the response of the target stalled',
        FailureReason.TRUNCATED: 'the response of the target is incomplete',
        FailureReason.MISMATCH: 'the response belongs to another request',
        FailureReason.PROTOCOL: 'the response of the target is malformed',
        FailureReason.OVERSIZED: 'the response of the target is too long',
    }
)
# After these failures the coordinator probes the target before it grants
# requests to it again.
_SUSPECT_REASONS: Final = _TIMEOUTS | {
    FailureReason.REFUSED,
    FailureReason.RESET,
    FailureReason.TRUNCATED,
}
# Several round trips between routers of one region, so that reports of a crash
# arrive before the next attempt.
_CRASH_REPORT_DELAY_SECONDS: Final = 0.1
_RETRY_STAGES: Final = {
    TargetStage.NOT_SENT: FailureStage.NOTHING_SENT,
    TargetStage.SENT: FailureStage.SENT,
    TargetStage.ANSWERING: FailureStage.RESPONSE_BEGUN,
}


class Dispatch:
    """Waits for a grant, sends the request and retries where allowed."""

    def __init__(
        self,
        broker: Broker,
        node: Node,
        targets: TargetClient,
        backoff: Backoff,
        clock: Callable[[], float],
    ) -> None:
        """Store the components that all requests share."""
        self._broker = broker
        self._node = node
        self._targets = targets
        self._backoff = backoff
        self._clock = clock
        self._budget = RetryBudget()
        self._estimator = CostEstimator()
        self._crash_detector = CrashDetector(targets)

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Run attempts until one returns a complete response.

        :raises DotterelhatchError: when no further attempt is allowed.
        """
        self._budget.on_request(context.organisation)
        while True:
            verdict = self._crash_verdict(context)
            pending = self._next_pending(context, verdict)
            granted = await self._broker.acquire(pending)
            if context.granted_seconds is None:
                context.granted_seconds = self._clock()
            failure = await self._attempt(context, pending, granted)
            if failure is None:
                break
            await self._wait_for_retry(context, failure)
        await proceed()

    def _crash_verdict(self, context: RequestContext) -> SuspectVerdict:
        fingerprint = context.outbound.fingerprint
        verdict = self._node.crash_suspects.verdict(fingerprint, self._clock())
        if verdict is SuspectVerdict.REJECT:
            raise DotterelhatchError(
                ErrorKind.REQUEST_CRASHES_TARGETS,
                'two targets crashed while they executed this request',
                Executed.UNKNOWN if context.was_dispatched else Executed.NO,
            )
        return verdict

    def _next_pending(
        self, context: RequestContext, verdict: SuspectVerdict
    ) -> PendingRequest:
        request = context.outbound
        service = request.service
        estimate = request.prompt_units + self._estimator.estimate(
            service.id, context.organisation, request.hint_units
        )
        is_short = estimate <= service.short_request_units
        request_class = RequestClass.SHORT if is_short else RequestClass.LONG
        isolation_target = None
        if verdict is SuspectVerdict.ISOLATE:
            request_class = RequestClass.ISOLATED
            isolation_target = self._isolation_target(context)
        now = self._clock()
        context.attempts_count += 1
        return PendingRequest(
            RequestId(f'{context.request_id}.{context.attempts_count}'),
            service.id,
            context.organisation,
            request_class,
            estimate,
            context.deadline_seconds,
            now,
            isolation_target,
        )

    def _isolation_target(self, context: RequestContext) -> TargetId | None:
        request = context.outbound
        drained = self._node.leaving_targets.targets()
        usable = [
            target.id
            for target in request.service.targets
            if not target.drained and target.id not in drained
        ]
        return self._node.crash_suspects.isolation_target(
            request.fingerprint, usable, self._clock()
        )

    async def _attempt(
        self,
        context: RequestContext,
        pending: PendingRequest,
        granted: DispatchRequest,
    ) -> TargetFailure | None:
        """Run one attempt and return its failure, None on success."""
        relay = Relay(context, pending, self._broker, self._clock)
        failure: TargetFailure | None = None
        try:
            # Crash reports may have arrived while the request was queued.
            self._check_isolation(context, pending)
            await self._send_before_deadline(context, pending, granted, relay)
        except TargetFailure as caught:
            failure = caught
            _LOGGER.warning(
                'attempt %s on target %s failed: %s',
                pending.request_id,
                granted.grant.target,
                caught,
            )
        finally:
            await self._broker.submit(
                RequestFinished(
                    pending.request_id,
                    relay.units,
                    _makes_target_suspect(failure),
                    relay.pause_seconds,
                ),
            )
        await self._record_result(context, pending, granted, failure, relay)
        return failure

    def _check_isolation(
        self, context: RequestContext, pending: PendingRequest
    ) -> None:
        verdict = self._crash_verdict(context)
        isolated = pending.request_class is RequestClass.ISOLATED
        if verdict is SuspectVerdict.ISOLATE and not isolated:
            raise TargetFailure(
                TargetStage.NOT_SENT,
                FailureReason.PROTOCOL,
                'the request became a crash suspect while it was queued',
            )

    async def _send_before_deadline(
        self,
        context: RequestContext,
        pending: PendingRequest,
        granted: DispatchRequest,
        relay: Relay,
    ) -> None:
        remaining = context.deadline_seconds - self._clock()
        if remaining <= 0:
            raise DotterelhatchError(
                ErrorKind.DEADLINE_EXCEEDED,
                'the deadline passed before the request was sent',
                Executed.UNKNOWN if context.sent_count else Executed.NO,
            )
        try:
            await curio.timeout_after(
                remaining, self._send, context, pending, granted, relay
            )
        except curio.TaskTimeout as error:
            raise DotterelhatchError(
                ErrorKind.DEADLINE_EXCEEDED,
                'the target did not finish its response before the deadline',
                Executed.UNKNOWN,
            ) from error

    async def _send(
        self,
        context: RequestContext,
        pending: PendingRequest,
        granted: DispatchRequest,
        relay: Relay,
    ) -> None:
        request = context.outbound
        context.was_dispatched = True
        try:
            response = await self._targets.open(
                granted.address,
                request.head,
                request.body,
                pending.request_id,
                request.service.limits,
                fresh=not request.is_idempotent,
            )
        except TargetFailure as failure:
            if failure.stage is TargetStage.NOT_SENT:
                context.was_dispatched = bool(context.sent_count)
            raise
        async with response:
            await relay.run(response)

    async def _record_result(
        self,
        context: RequestContext,
        pending: PendingRequest,
        granted: DispatchRequest,
        failure: TargetFailure | None,
        relay: Relay,
    ) -> None:
        request = context.outbound
        if failure is None:
            cost = max(0, relay.units - request.prompt_units)
            self._estimator.observe(
                request.service.id,
                context.organisation,
                request.hint_units,
                cost,
            )
            await self._crash_detector.remember_instance(granted.address)
            if pending.request_class is RequestClass.ISOLATED:
                await self._broker.submit(RequestCompleted(request.fingerprint))
        elif await self._crash_detector.has_crashed(granted.address, failure):
            await self._broker.submit(
                RequestCrashed(granted.grant.target, request.fingerprint)
            )
            # The caller or this router may retry the request at once. The
            # delay lets the crash report reach the other routers first.
            await curio.sleep(_CRASH_REPORT_DELAY_SECONDS)

    async def _wait_for_retry(
        self, context: RequestContext, failure: TargetFailure
    ) -> None:
        """Wait until the next attempt, or raise the error for the caller."""
        request = context.outbound
        now = self._clock()
        attempt = FailedAttempt(
            context.organisation,
            request.is_idempotent,
            context.exchange.started,
            _RETRY_STAGES[failure.stage],
            context.attempts_count,
            now,
            context.deadline_seconds,
            self._node.crash_suspects.verdict(request.fingerprint, now),
            context.sent_count,
        )
        context.sent_count += failure.stage is not TargetStage.NOT_SENT
        decision = decide_retry(attempt, self._budget, self._backoff)
        context.retry_actions.append(decision.action)
        if decision.action is RetryAction.GIVE_UP:
            raise DotterelhatchError(
                _error_kind(decision.error_kind, failure),
                _CALLER_DETAILS[failure.reason],
                decision.executed,
            )
        await curio.sleep(decision.delay_seconds)


def _makes_target_suspect(failure: TargetFailure | None) -> bool:
    return failure is not None and failure.reason in _SUSPECT_REASONS


def _error_kind(decided: ErrorKind | None, failure: TargetFailure) -> ErrorKind:
    if decided is not ErrorKind.TARGET_FAILED:
        return decided or ErrorKind.TARGET_FAILED
    if failure.reason is FailureReason.MISMATCH:
        return ErrorKind.ANSWER_MISMATCH
    if failure.reason in _TIMEOUTS:
        return ErrorKind.TARGET_TIMEOUT
    return decided
