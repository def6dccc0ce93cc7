"""At-most-once execution of requests with an idempotency key."""

from typing import Final

from dotterelhatch.claimstore import ClaimStore
from dotterelhatch.core.claims import ClaimToken, StartedClaim, StoredResponse
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.filters.pipeline import Proceed, RequestContext
from dotterelhatch.metrics import ClaimResult, Metrics
from dotterelhatch.net.http import Response

__all__ = ('Claim',)

_REPLAYED: Final = ('Idempotent-Replayed', 'true')


class Claim:
    """Claims the idempotency key before dispatch and stores the response."""

    def __init__(self, claims: ClaimStore, metrics: Metrics) -> None:
        """Store the components that all requests share."""
        self._claims = claims
        self._metrics = metrics

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Execute the request once per key or replay the stored response."""
        request = context.outbound
        if request.is_idempotent or request.idempotency_key is None:
            await proceed()
            return
        # A disconnect must not cancel the request between its claim and the
        # recording of its outcome, so it is detached before the claim.
        context.is_detached = True
        claim = await self._begin(context, request.idempotency_key)
        if isinstance(claim, StoredResponse):
            context.is_replayed = True
            context.response = Response(
                claim.status, (*claim.headers, _REPLAYED), claim.body
            )
            return
        await self._run_claimed(context, claim, proceed)

    async def _begin(
        self, context: RequestContext, key: str
    ) -> StartedClaim | StoredResponse:
        request = context.outbound
        try:
            claim = await self._claims.begin(
                context.organisation,
                request.service.id,
                key,
                request.fingerprint,
                ClaimToken(context.request_id),
            )
        except DotterelhatchError as error:
            is_down = error.kind is ErrorKind.STORE_UNAVAILABLE
            self._metrics.count_claim(
                ClaimResult.UNAVAILABLE if is_down else ClaimResult.HELD
            )
            raise
        is_new = isinstance(claim, StartedClaim)
        self._metrics.count_claim(
            ClaimResult.CLAIMED if is_new else ClaimResult.HELD
        )
        return claim

    async def _run_claimed(
        self, context: RequestContext, claim: StartedClaim, proceed: Proceed
    ) -> None:
        try:
            await proceed()
        except DotterelhatchError as error:
            if error.executed is Executed.NO:
                await self._claims.abandon(claim)
            else:
                await self._claims.mark_unknown(claim)
            raise
        except BaseException:
            if context.was_dispatched:
                await self._claims.mark_unknown(claim)
            else:
                await self._claims.abandon(claim)
            raise
        response = context.response
        if response is None:
            await self._claims.mark_unknown(claim)
            raise DotterelhatchError(
                ErrorKind.INTERNAL,
                'the request produced no response to store',
                Executed.UNKNOWN,
            )
        await self._claims.finish(
            claim,
            StoredResponse(response.status, response.headers, response.body),
        )
