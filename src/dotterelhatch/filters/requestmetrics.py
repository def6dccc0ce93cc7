"""Records the metrics of each request when it ends."""

from collections.abc import Callable

import curio

from dotterelhatch.errors import DotterelhatchError, Executed
from dotterelhatch.filters.pipeline import Proceed, RequestContext
from dotterelhatch.ids import OrganisationId, ServiceId
from dotterelhatch.metrics import Metrics, Outcome
from dotterelhatch.net.http import DisconnectError

__all__ = ('RecordMetrics',)


class RecordMetrics:
    """Counts each request once, from the context that later filters fill."""

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        """Store the metrics.

        :param clock: must be the clock of ``RequestContext.arrived_seconds``.
        """
        self._metrics = metrics
        self._clock = clock

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Run the later filters and record the outcome."""
        outcome = Outcome.FAILED
        try:
            await proceed()
        except (DisconnectError, curio.CancelledError):
            outcome = Outcome.CANCELLED
            raise
        except DotterelhatchError as error:
            outcome = _outcome_of(error)
            raise
        else:
            replayed = context.is_replayed
            outcome = Outcome.REPLAYED if replayed else Outcome.COMPLETED
        finally:
            self._record(context, outcome)

    def _record(self, context: RequestContext, outcome: Outcome) -> None:
        # The metrics count a request under "other" if it was rejected before
        # its service or organisation was known.
        request = context.target_request
        service = ServiceId('') if request is None else request.service.id
        organisation = context.organisation_id or OrganisationId('')
        metrics = self._metrics
        metrics.count_request(service, organisation, outcome)
        metrics.count_tokens(service, organisation, context.tokens_count)
        for action in context.retry_actions:
            metrics.count_retry(service, action)
        if context.granted_seconds is not None:
            metrics.observe_queue_wait(
                service, context.granted_seconds - context.arrived_seconds
            )
        if context.first_token_seconds is not None:
            metrics.observe_first_token(
                service, context.first_token_seconds - context.arrived_seconds
            )


def _outcome_of(error: DotterelhatchError) -> Outcome:
    if error.executed is Executed.NO:
        return Outcome.REFUSED
    return Outcome.FAILED
