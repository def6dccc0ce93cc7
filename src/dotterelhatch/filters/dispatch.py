"""Runs a request on targets until one gives a whole answer."""

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

_log: Final = logging.getLogger(__name__)

_TIMEOUTS: Final = frozenset(
    (
        FailureReason.CONNECT_TIMEOUT,
        FailureReason.FIRST_BYTE_TIMEOUT,
        FailureReason.PROGRESS_TIMEOUT,
    )
)
# What callers read; addresses and causes are in the log only.
_DETAILS: Final[Mapping[FailureReason, str]] = MappingProxyType(
    {
        FailureReason.REFUSED: 'the target refused the connection',
        FailureReason.CONNECT_TIMEOUT: 'the target did not accept in time',
        FailureReason.RESET: 'the target broke the connection',
        FailureReason.FIRST_BYTE_TIMEOUT: 'the target did not answer in time',
        FailureReason.PROGRESS_TIMEOUT: 'the target stopped answering',
        FailureReason.TRUNCATED: 'the answer of the target is not whole',
        FailureReason.MISMATCH: 'the target gave the answer to another request',
        FailureReason.PROTOCOL: 'the answer of the target cannot be used',
    }
)
# The home probes the target after these before it grants again.
_SUSPICIOUS: Final = _TIMEOUTS | {
    FailureReason.REFUSED,
    FailureReason.RESET,
    FailureReason.TRUNCATED,
}
# Several round trips of the exchange between routers of one region.
_REPORT_SECONDS: Final = 0.1
_STAGES: Final = {
    TargetStage.NOT_SENT: FailureStage.NOTHING_SENT,
    TargetStage.SENT: FailureStage.SENT,
    TargetStage.ANSWERING: FailureStage.RESPONSE_BEGUN,
}


class Dispatch:
    """Waits for a slot, sends the request and retries where allowed."""

    def __init__(
        self,
        broker: Broker,
        node: Node,
        targets: TargetClient,
        backoff: Backoff,
        clock: Callable[[], float],
    ) -> None:
        """Keep the parts that are shared by all requests."""
        self._broker = broker
        self._node = node
        self._targets = targets
        self._backoff = backoff
        self._clock = clock
        self._budget = RetryBudget()
        self._estimator = CostEstimator()
        self._health = CrashDetector(targets)

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Run the request and keep or relay the answer."""
        self._budget.on_request(context.organisation)
        while True:
            verdict = self._verdict(context)
            pending = self._pending(context, verdict)
            granted = await self._broker.acquire(pending)
            if context.granted_seconds is None:
                context.granted_seconds = self._clock()
            failure = await self._attempt(context, pending, granted)
            if failure is None:
                break
            await self._retry_later(context, failure)
        await proceed()

    def _verdict(self, context: RequestContext) -> SuspectVerdict:
        fingerprint = context.outbound.fingerprint
        verdict = self._node.crash_suspects.verdict(fingerprint, self._clock())
        if verdict is SuspectVerdict.REJECT:
            raise DotterelhatchError(
                ErrorKind.REQUEST_CRASHES_TARGETS,
                'two targets crashed while they ran this request',
                Executed.UNKNOWN if context.was_dispatched else Executed.NO,
            )
        return verdict

    def _pending(
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
        """Run one attempt; return its failure when it may be retried."""
        relay = Relay(context, pending, self._broker, self._clock)
        failure: TargetFailure | None = None
        try:
            # Reports of a crash may have arrived while the request waited.
            self._check_class(context, pending)
            await self._exchange(context, pending, granted, relay)
        except TargetFailure as caught:
            failure = caught
            _log.warning(
                'attempt %s on target %s failed: %s',
                pending.request_id,
                granted.grant.target,
                caught,
            )
        finally:
            await self._broker.submit(
                RequestFinished(
                    pending.request_id, relay.units, _is_down(failure)
                ),
            )
        await self._learn(context, pending, granted, failure, relay)
        return failure

    def _check_class(
        self, context: RequestContext, pending: PendingRequest
    ) -> None:
        verdict = self._verdict(context)
        isolated = pending.request_class is RequestClass.ISOLATED
        if verdict is SuspectVerdict.ISOLATE and not isolated:
            raise TargetFailure(
                TargetStage.NOT_SENT,
                FailureReason.PROTOCOL,
                'the request became a crash suspect while it waited',
            )

    async def _exchange(
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
                'the target did not finish before the deadline',
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

    async def _learn(
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
            await self._health.remember_instance(granted.address)
            if pending.request_class is RequestClass.ISOLATED:
                await self._broker.submit(RequestCompleted(request.fingerprint))
        elif await self._health.has_crashed(granted.address, failure):
            await self._broker.submit(
                RequestCrashed(granted.grant.target, request.fingerprint)
            )
            # The caller or this router may send the request again at once,
            # so the reports to the other routers get a head start.
            await curio.sleep(_REPORT_SECONDS)

    async def _retry_later(
        self, context: RequestContext, failure: TargetFailure
    ) -> None:
        """Wait for the next attempt or raise the error for the caller."""
        request = context.outbound
        now = self._clock()
        attempt = FailedAttempt(
            context.organisation,
            request.is_idempotent,
            context.exchange.started,
            _STAGES[failure.stage],
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
                _DETAILS[failure.reason],
                decision.executed,
            )
        await curio.sleep(decision.delay_seconds)


def _is_down(failure: TargetFailure | None) -> bool:
    return failure is not None and failure.reason in _SUSPICIOUS


def _error_kind(decided: ErrorKind | None, failure: TargetFailure) -> ErrorKind:
    if decided is not ErrorKind.TARGET_FAILED:
        return decided or ErrorKind.TARGET_FAILED
    if failure.reason is FailureReason.MISMATCH:
        return ErrorKind.ANSWER_MISMATCH
    if failure.reason in _TIMEOUTS:
        return ErrorKind.TARGET_TIMEOUT
    return decided
