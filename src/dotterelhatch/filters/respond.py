"""Sends a complete response to the caller."""

from dotterelhatch.filters.pipeline import Proceed, RequestContext

__all__ = ('Respond',)


class Respond:
    """Runs the later filters and sends the response in the context."""

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Send the response, unless it was already streamed."""
        await proceed()
        response = context.response
        if response is not None and not context.exchange.started:
            await context.exchange.send(response)
