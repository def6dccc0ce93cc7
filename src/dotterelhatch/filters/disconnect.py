"""Cancels the request of a caller that disconnects."""

import curio

from dotterelhatch.filters.pipeline import Proceed, RequestContext
from dotterelhatch.net.http import DisconnectError

__all__ = ('CancelOnDisconnect',)


class CancelOnDisconnect:
    """Monitors the caller's connection while the request is handled."""

    async def run(self, context: RequestContext, proceed: Proceed) -> None:
        """Run the later filters and cancel them if the caller disconnects.

        :raises DisconnectError: when the caller disconnected.
        """
        task = await curio.current_task()
        monitor = await curio.spawn(
            _cancel_after_disconnect, context, task, daemon=True
        )
        try:
            await proceed()
        except curio.CancelledError as error:
            if monitor.terminated:
                raise DisconnectError('the caller disconnected') from error
            raise
        finally:
            await monitor.cancel()


async def _cancel_after_disconnect(
    context: RequestContext, task: curio.Task
) -> None:
    await context.exchange.wait_disconnect()
    # A claimed request continues, so that its response is stored and can be
    # replayed when the caller retries.
    if not context.is_detached:
        await task.cancel(blocking=False)
