"""The path of one request: identify it, and watch its caller."""

from typing import Any, Final

import curio

from dotterelhatch.core.routes import RouteRule, pick_service
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.gateway.attempts import Attempts
from dotterelhatch.gateway.crashes import CrashWatch
from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.state import GatewayState
from dotterelhatch.gateway.wireformat import RequestFacts, WireFormat
from dotterelhatch.gateway.work import Progress, Work
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
        crashes: CrashWatch,
    ) -> None:
        """Keep the parts."""
        self.state = state
        self.wire = wire
        self.targets = targets
        self.crashes = crashes

    async def __call__(self, exchange: ServerExchange) -> None:
        """Answer one request."""
        if self.state.note_arrival():
            exchange.close_after_response()
        run = _RequestRun(self, exchange)
        try:
            await run.serve()
        except DisconnectError as error:
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
        self.received_seconds = handler.state.clock()
        self._facts: RequestFacts | None = None
        self.progress = Progress(set())
        self.decided_by: dict[str, Any] = {}

    @property
    def request_id(self) -> Any:
        """Return the id of the request, None before it is known."""
        return self._facts.request_id if self._facts else None

    async def serve(self) -> None:
        """Run the request.

        :raises DotterelhatchError: when it is refused or fails.
        :raises DisconnectError: when the caller leaves.
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
        self.decided_by = {'service': service.id}
        work = Work(route, service, organisation, facts, body)
        await self._attend(work)

    def note(self, decision: Decision, reason: str, **facts: Any) -> None:
        """Log how the request ended and count it."""
        table = self._state.table
        log_decision(
            decision,
            request_id=self.request_id,
            reason=reason,
            seconds=round(self.elapsed_seconds(), 4),
            sends_count=self.progress.sends_count,
            table_version=table.version if table else None,
            is_source_current=self._state.is_source_current,
            **{**self.decided_by, **facts},
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

    async def _attend(self, work: Work) -> None:
        """Run the attempts until the end, the timeout or a hang-up."""
        attempts = Attempts(self._handler, self, work)
        placement = attempts.admit()
        limit_seconds = work.limit_seconds - self.elapsed_seconds()
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
        ran = self.progress.sends_count > 0
        return DotterelhatchError(
            ErrorKind.DEADLINE_EXCEEDED,
            'no complete response within the time of the request',
            Executed.UNKNOWN if ran else Executed.NO,
        )


async def _watch_hangup(exchange: ServerExchange, task: Any) -> None:
    await exchange.wait_disconnect()
    await task.cancel(blocking=False)
