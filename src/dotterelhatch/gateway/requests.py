"""The path of one request: identify it, and watch its caller."""

from typing import Any, Final

import curio

from dotterelhatch.core.routes import RouteRule, pick_service
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.gateway.attempts import AttemptRunner
from dotterelhatch.gateway.crashes import CrashProber
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.request_records import AttemptHistory, RoutedRequest
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import RequestMetadata, WireFormat
from dotterelhatch.ids import OrganisationId
from dotterelhatch.net.http import ServerExchange
from dotterelhatch.net.httptypes import DisconnectError
from dotterelhatch.net.targets import TargetClient

__all__ = ('GatewayHandler',)

# Another router takes the request at once; this is for callers that know none.
_BEHIND_RETRY_SECONDS: Final = 0.2


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
        crash_prober: CrashProber,
    ) -> None:
        """Keep the parts."""
        self.state = state
        self.wire = wire
        self.targets = targets
        self.crash_prober = crash_prober

    async def __call__(self, exchange: ServerExchange) -> None:
        """Answer one request."""
        if self.state.count_arrival():
            exchange.close_after_response()
        request = _ActiveRequest(self, exchange)
        try:
            await request.serve()
        except DisconnectError as error:
            request.note(Decision.CALLER_LEFT, 'caller_left', detail=str(error))
            raise
        except DotterelhatchError as error:
            await self._answer_error(request, error)

    async def _answer_error(
        self, request: '_ActiveRequest', error: DotterelhatchError
    ) -> None:
        refused = error.executed is Executed.NO
        request.note(
            Decision.REFUSED if refused else Decision.FAILED,
            error.kind.value,
            detail=error.detail,
            executed=error.executed.value,
            status=error.answer.status,
            retry_after_seconds=error.retry_after_seconds,
        )
        exchange = request.exchange
        if exchange.started:
            exchange.abort()
            return
        await exchange.send(self.wire.render_error(error, request.request_id))


class _ActiveRequest:
    """One request from its head to the end of its response."""

    def __init__(
        self, handler: GatewayHandler, exchange: ServerExchange
    ) -> None:
        self.exchange = exchange
        self._handler = handler
        self._state = handler.state
        self.received_seconds = handler.state.clock()
        self._metadata: RequestMetadata | None = None
        self.history = AttemptHistory(set())
        self.decision_facts: dict[str, Any] = {}

    @property
    def request_id(self) -> Any:
        """Return the id of the request, None before it is known."""
        return self._metadata.request_id if self._metadata else None

    async def serve(self) -> None:
        """Run the request.

        :raises DotterelhatchError: when it is refused or fails.
        :raises DisconnectError: when the caller leaves.
        """
        metadata = self._handler.wire.decode_request(self.exchange.head)
        self._metadata = metadata
        self._check_lag()
        route = self._find_route(metadata)
        organisation = self._authenticate(route, metadata)
        table = self._state.table
        if table is None:
            raise self._not_ready()
        body = await self.exchange.read_body(table.limits.max_body_bytes)
        service = table.services.get(pick_service(route, self._state.rng))
        if service is None:
            raise DotterelhatchError(
                ErrorKind.NO_TARGET, 'the service of the route is not defined'
            )
        self.decision_facts = {'service': service.id}
        routed = RoutedRequest(route, service, organisation, metadata, body)
        await self._attend(routed)

    def note(self, decision: Decision, reason: str, **facts: Any) -> None:
        """Log how the request ended and count it."""
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
        self._state.metrics.requests.labels(decision.value, reason).inc()

    def elapsed_seconds(self) -> float:
        """Return how long ago the request arrived."""
        return self._state.clock() - self.received_seconds

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
        if not lag.is_overloaded:
            return
        self.exchange.close_after_response()
        raise DotterelhatchError(
            ErrorKind.NOT_READY,
            f'this router is {lag.seconds:.2f} s behind',
            retry_after_seconds=_BEHIND_RETRY_SECONDS,
        )

    def _find_route(self, metadata: RequestMetadata) -> RouteRule:
        table = self._state.table
        if table is None:
            raise self._not_ready()
        route = table.find_route(metadata.host, metadata.path)
        if route is None:
            raise self._unknown(
                ErrorKind.NOT_FOUND, f'no route in version {table.version}'
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

    async def _attend(self, routed: RoutedRequest) -> None:
        """Run the attempts until the end, the timeout or a hang-up."""
        attempts = AttemptRunner(self._handler, self, routed)
        placement = attempts.admit()
        limit_seconds = routed.limit_seconds - self.elapsed_seconds()
        task = await curio.current_task()
        watch = await curio.spawn(
            _watch_hangup, self.exchange, task, daemon=True
        )
        try:
            async with curio.timeout_after(max(0, limit_seconds)):
                await attempts.run(placement)
        except curio.TaskTimeout:
            raise self._timed_out() from None
        except curio.CancelledError as error:
            if watch.terminated:
                raise DisconnectError(
                    'the caller closed the connection'
                ) from error
            raise
        finally:
            await watch.cancel()

    def _timed_out(self) -> DotterelhatchError:
        ran = self.history.sends_count > 0
        return DotterelhatchError(
            ErrorKind.DEADLINE_EXCEEDED,
            'no complete response within the time of the request',
            Executed.UNKNOWN if ran else Executed.NO,
        )


async def _watch_hangup(exchange: ServerExchange, task: Any) -> None:
    await exchange.wait_disconnect()
    await task.cancel(blocking=False)
