"""Handling of one request: routing, authentication and disconnects."""

from functools import partial
from typing import Any, Final

import curio

from dotterelhatch.core.routes import RouteRule, ServiceSpec, pick_service
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.gateway.attempts import AttemptRunner
from dotterelhatch.gateway.crashes import CrashProber
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.intake import GatewayIntake
from dotterelhatch.gateway.request_records import (
    AttemptHistory,
    RoutedRequest,
    time_limit_seconds,
    usage_tokens,
)
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import RequestMetadata, WireFormat
from dotterelhatch.ids import OrganisationId
from dotterelhatch.net.bodies import HeldBody
from dotterelhatch.net.http import ServerExchange
from dotterelhatch.net.httptypes import DisconnectError
from dotterelhatch.net.targets import TargetClient

__all__ = ('GatewayHandler',)

# Callers should retry at once at another router; this is the delay for callers
# that have the address of this router only.
_OVERLOAD_RETRY_AFTER_SECONDS: Final = 0.2
_STOPPING_RETRY_AFTER_SECONDS: Final = 0.2
# A body is kept until its request has been answered. The spread keeps callers
# that were rejected together from returning together.
_NO_ROOM_RETRY_AFTER_SECONDS: Final = (0.5, 1.5)


class GatewayHandler:
    """HTTP handler of the caller address.

    :param state: of this gateway.
    :param wire: translates HTTP heads.
    :param targets: HTTP client for the targets.
    :param crash_prober: is notified of broken connections to targets.
    :param intake: is told of the requests that are read.
    """

    def __init__(
        self,
        state: GatewayState,
        wire: WireFormat,
        targets: TargetClient,
        crash_prober: CrashProber,
        intake: GatewayIntake,
    ) -> None:
        """Store the components."""
        self.state = state
        self.wire = wire
        self.targets = targets
        self.crash_prober = crash_prober
        self.intake = intake
        self._active: set[_ActiveRequest] = set()

    async def end_requests(self) -> None:
        """End the requests in progress, with an answer where that is possible.

        A response of which a part was sent can only be broken off.
        """
        for request in tuple(self._active):
            await request.end()

    async def __call__(self, exchange: ServerExchange) -> None:
        """Serve one request and log its outcome."""
        if self.state.count_arrival():
            exchange.close_after_response()
        request = _ActiveRequest(self, exchange)
        self._active.add(request)
        try:
            await request.serve()
        except DisconnectError as error:
            request.note(Decision.CALLER_LEFT, 'caller_left', detail=str(error))
            raise
        except DotterelhatchError as error:
            await self._send_error(request, error)
        finally:
            self._active.discard(request)

    async def _send_error(
        self, request: '_ActiveRequest', error: DotterelhatchError
    ) -> None:
        is_rejected = error.executed is Executed.NO
        request.note(
            Decision.REFUSED if is_rejected else Decision.FAILED,
            error.kind.value,
            detail=error.detail,
            executed=error.executed.value,
            status=error.spec.status,
            retry_after_seconds=error.retry_after_seconds,
        )
        exchange = request.exchange
        if exchange.started:
            exchange.abort()
            return
        await exchange.send(self.wire.render_error(error, request.request_id))


class _ActiveRequest:
    """State of a request from its head to the end of its response."""

    def __init__(
        self, handler: GatewayHandler, exchange: ServerExchange
    ) -> None:
        self.exchange = exchange
        self._handler = handler
        self._state = handler.state
        self.received_seconds = handler.state.clock()
        self._metadata: RequestMetadata | None = None
        self._organisation: OrganisationId | None = None
        self.history = AttemptHistory(set())
        self.decision_facts: dict[str, Any] = {}
        self._attempts_task: Any = None
        self._is_ended = False

    @property
    def request_id(self) -> Any:
        """Return the request ID, None before the head is decoded."""
        return self._metadata.request_id if self._metadata else None

    async def serve(self) -> None:
        """Route, authenticate and forward the request.

        :raises DotterelhatchError: when it is rejected or fails.
        :raises DisconnectError: when the caller disconnects.
        """
        metadata = self._handler.wire.decode_request(self.exchange.head)
        self._metadata = metadata
        await self._state.wait_confirmed()
        route = self._find_route(metadata)
        organisation = self._authenticate(route, metadata)
        self._organisation = organisation
        self._state.load_report.on_arrived(organisation)
        table = self._state.table
        if table is None:
            raise self._not_ready_error()
        service = table.services.get(pick_service(route, self._state.rng))
        if service is None:
            raise DotterelhatchError(
                ErrorKind.NO_TARGET, 'the route names an undefined service'
            )
        self.exchange.assign_flow(organisation)
        if organisation is not None:
            self._handler.intake.on_read(
                organisation,
                partial(
                    self._state.count_rejected_demand,
                    service,
                    organisation,
                    usage_tokens(service, metadata),
                ),
            )
        self.decision_facts = {'service': service.id}
        if not time_limit_seconds(route, metadata):
            raise self._timeout_error()
        self._reject_if_stopping(route, metadata)
        self._reject_if_overloaded(route, service, metadata)
        with HeldBody(
            self._state.request_bodies,
            organisation or '',
            partial(self._state.rng.uniform, *_NO_ROOM_RETRY_AFTER_SECONDS),
        ) as held:
            body = await self._read_body(
                held,
                table.limits.max_body_bytes,
                time_limit_seconds(route, metadata),
            )
            routed = RoutedRequest(route, service, organisation, metadata, body)
            await self._run_attempts(routed)

    async def _read_body(
        self, held: HeldBody, max_bytes: int, limit_seconds: float
    ) -> bytes:
        """Return the body, which may arrive until the time limit.

        A caller that sends a byte now and then would otherwise hold a request
        for longer than its route allows.
        """
        remaining_seconds = max(0, limit_seconds - self.elapsed_seconds())
        try:
            async with curio.timeout_after(remaining_seconds):
                return await self.exchange.read_body(max_bytes, held)
        except curio.TaskTimeout:
            raise self._timeout_error() from None

    async def end(self) -> None:
        """End the attempts, because the process stops."""
        if self._attempts_task is not None:
            self._is_ended = True
            await self._attempts_task.cancel(blocking=False)

    def note(self, decision: Decision, reason: str, **facts: Any) -> None:
        """Log the outcome of the request and count it in the metrics."""
        table = self._state.table
        log_decision(
            decision,
            request_id=self.request_id,
            reason=reason,
            seconds=round(self.elapsed_seconds(), 4),
            sends_count=self.history.sends_count,
            table_version=table.version if table else None,
            is_source_current=self._state.is_source_current,
            **{**self.decision_facts, **facts},
        )
        self._state.load_report.on_event(self._organisation, reason)
        metrics = self._state.metrics
        metrics.requests.labels(decision.value, reason).inc()
        if self._organisation is not None:
            metrics.organisation_requests.labels(
                self._organisation, decision.value, reason
            ).inc()

    def elapsed_seconds(self) -> float:
        """Return the time since the request arrived."""
        return self._state.clock() - self.received_seconds

    def _not_ready_error(self) -> DotterelhatchError:
        return DotterelhatchError(
            ErrorKind.NOT_READY, 'this router has no routing table yet'
        )

    def _reject_if_stopping(
        self, route: RouteRule, metadata: RequestMetadata
    ) -> None:
        """Reject a request that may not end before this process does."""
        state = self._state
        remaining_seconds = state.ends_seconds - state.clock()
        needed_seconds = state.durations.most_seconds(
            route.name, time_limit_seconds(route, metadata)
        )
        if needed_seconds <= remaining_seconds:
            return
        self.decision_facts = {
            **self.decision_facts,
            'route': route.name,
            'needed_ms': round(needed_seconds * 1000),
            'remaining_ms': round(remaining_seconds * 1000),
        }
        raise DotterelhatchError(
            ErrorKind.STOPPING,
            'this router stops before the response would be complete',
            retry_after_seconds=_STOPPING_RETRY_AFTER_SECONDS,
        )

    def _reject_if_overloaded(
        self, route: RouteRule, service: ServiceSpec, metadata: RequestMetadata
    ) -> None:
        """Reject a request whose response would come after its time limit.

        A caller may reuse one connection for many requests, so some connections
        are closed to make their callers connect to other routers.
        """
        state = self._state
        loop_lag = state.loop_lag
        if not loop_lag.exceeds(time_limit_seconds(route, metadata)):
            return
        if state.may_close_connection():
            self.exchange.close_after_response()
        tokens = usage_tokens(service, metadata)
        state.count_rejected_demand(service, self._organisation, tokens)
        self.decision_facts = {
            **self.decision_facts,
            'route': route.name,
            'organisation': self._organisation,
            'tokens': tokens,
            'loop_lag_ms': round(loop_lag.seconds * 1000),
        }
        raise DotterelhatchError(
            ErrorKind.ROUTER_OVERLOADED,
            f'this router is overloaded: loop lag {loop_lag.seconds:.2f} s',
            retry_after_seconds=_OVERLOAD_RETRY_AFTER_SECONDS,
        )

    def _find_route(self, metadata: RequestMetadata) -> RouteRule:
        table = self._state.table
        if table is None:
            raise self._not_ready_error()
        route = table.find_route(metadata.host, metadata.path)
        if route is None:
            raise self._lookup_error(
                ErrorKind.NOT_FOUND,
                f'no matching route in routing table version {table.version}',
            )
        return route

    def _authenticate(
        self, route: RouteRule, metadata: RequestMetadata
    ) -> OrganisationId | None:
        table = self._state.table
        if table is None or not table.needs_key(route):
            return None
        organisation = None
        if metadata.api_key is not None:
            organisation = table.find_organisation(metadata.api_key)
        if organisation is None:
            raise self._lookup_error(
                ErrorKind.UNAUTHORISED,
                f'unknown API key in routing table version {table.version}',
            )
        return organisation

    def _lookup_error(self, kind: ErrorKind, detail: str) -> DotterelhatchError:
        """Return the error for a route or key missing in the routing table.

        A newer table may contain it, so NOT_READY is returned instead while
        the table may be out of date.
        """
        if self._state.is_source_current:
            return DotterelhatchError(kind, detail)
        return DotterelhatchError(
            ErrorKind.NOT_READY, f'{detail}, which may be out of date'
        )

    async def _run_attempts(self, routed: RoutedRequest) -> None:
        """Run attempts until a response, the timeout or a disconnect."""
        await self._state.wait_confirmed()
        runner = AttemptRunner(self._handler, self, routed)
        placement = runner.admit()
        limit_seconds = routed.limit_seconds - self.elapsed_seconds()
        task = await curio.current_task()
        self._attempts_task = task
        disconnect_task = await curio.spawn(
            _cancel_on_disconnect, self.exchange, task, daemon=True
        )
        try:
            async with curio.timeout_after(max(0, limit_seconds)):
                await runner.run(placement)
        except curio.TaskTimeout:
            raise self._timeout_error() from None
        except curio.CancelledError as error:
            cause = self._cause_of_cancellation(task, disconnect_task)
            if cause is None:
                raise
            raise cause from error
        finally:
            self._attempts_task = None
            await disconnect_task.cancel()

    def _cause_of_cancellation(
        self, task: Any, disconnect_task: Any
    ) -> Exception | None:
        if self._is_ended:
            # The task goes on with the answer.
            task.cancelled = False
            return self._stopping_error()
        if disconnect_task.terminated:
            return DisconnectError('the caller closed the connection')
        return None

    def _stopping_error(self) -> DotterelhatchError:
        if self.history.sends_count:
            return DotterelhatchError(
                ErrorKind.DEADLINE_EXCEEDED,
                'this router stopped before the response was complete',
                Executed.UNKNOWN,
            )
        return DotterelhatchError(
            ErrorKind.STOPPING, 'this router stopped before it sent the request'
        )

    def _timeout_error(self) -> DotterelhatchError:
        was_sent = self.history.sends_count > 0
        return DotterelhatchError(
            ErrorKind.DEADLINE_EXCEEDED,
            'no complete response within the deadline of the request',
            Executed.UNKNOWN if was_sent else Executed.NO,
        )


async def _cancel_on_disconnect(exchange: ServerExchange, task: Any) -> None:
    await exchange.wait_disconnect()
    await task.cancel(blocking=False)
