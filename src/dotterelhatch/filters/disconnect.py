"""Stops a request whose caller has hung up."""

import curio

from dotterelhatch.filters.pipeline import Proceed, RequestContext
from dotterelhatch.net.http import DisconnectError

__all__ = ('CancelOnDisconnect',)


class CancelOnDisconnect:
    """Watches the caller's connection while the request is handled."""

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Run the rest of the path, and cancel it after a hang-up.

        :raises DisconnectError: when the caller hung up.
        """
        work = await curio.current_task()
        watch = await curio.spawn(_watch, context, work, daemon=True)
        try:
            await proceed()
        except curio.CancelledError as error:
            if watch.terminated:
                raise DisconnectError('the caller hung up') from error
            raise
        finally:
            await watch.cancel()


async def _watch(context: RequestContext, work: curio.Task) -> None:
    await context.exchange.wait_disconnect()
    # A claimed request goes on, so that its answer is stored for the repeat.
    if not context.is_detached:
        await work.cancel(blocking=False)
