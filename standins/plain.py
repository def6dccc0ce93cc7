"""Simulated plain service with random service times for any request."""

import hashlib
import random
from typing import Annotated, Any

import curio
import typer

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.net.http import DisconnectError, ServerExchange
from standins.common import JournalEntry, TargetStandIn, run_until_stopped

__all__ = ('PlainService',)


class PlainService:
    """Waits for the service time and returns a description of the request.

    The header ``X-Emulated-Milliseconds`` sets the service time.

    :param mean_milliseconds: mean of the random service time.
    :param slots: reported with the load; not enforced.
    :param seed: of the random service times.
    """

    def __init__(
        self, mean_milliseconds: float = 20.0, slots: int = 16, seed: int = 1
    ) -> None:
        """Create a service without running requests."""
        self._mean_milliseconds = mean_milliseconds
        self._slots = slots
        self._seed = seed
        self._running_count = 0

    def report_load(self) -> dict[str, Any]:
        """Return the number of running requests and slots."""
        return {
            'running_count': self._running_count,
            'slots_count': self._slots,
        }

    async def handle_request(
        self, stand_in: TargetStandIn, exchange: ServerExchange, body: bytes
    ) -> None:
        """Execute one request."""
        delay_seconds = self._delay_seconds(exchange)
        digest = hashlib.sha256(body).hexdigest()
        entry = JournalEntry(exchange, digest, stand_in.instance)
        stand_in.journal.begin(entry)
        self._running_count += 1
        try:
            await _wait_or_disconnect(
                exchange, delay_seconds * stand_in.faults.slow_factor
            )
            await stand_in.hang_if_silent(exchange)
            document = {**entry.as_dict(), 'body_bytes': len(body)}
            await stand_in.send_json(exchange, 200, document)
        except BaseException:
            entry.outcome = 'cancelled'
            raise
        finally:
            self._running_count -= 1
        entry.outcome = 'complete'

    def _delay_seconds(self, exchange: ServerExchange) -> float:
        requested_text = exchange.head.header('X-Emulated-Milliseconds')
        if requested_text is not None:
            return _parse_milliseconds(requested_text) / 1000
        request_id = exchange.head.header('X-Request-Id') or 'none'
        # Seeded by the request id: the time must not depend on the order of
        # arrival.
        rng = random.Random(f'{self._seed}:{request_id}')
        return rng.expovariate(1 / self._mean_milliseconds) / 1000


def _parse_milliseconds(text: str) -> float:
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = -1
    if not 0 <= milliseconds <= 3_600_000:
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST,
            'X-Emulated-Milliseconds must be a number from 0 to 3600000',
        )
    return milliseconds


async def _wait_or_disconnect(
    exchange: ServerExchange, delay_seconds: float
) -> None:
    """Wait for the service time.

    :raises DisconnectError: if the caller disconnects before its end.
    """
    try:
        async with curio.timeout_after(delay_seconds):
            await exchange.wait_disconnect()
    except curio.TaskTimeout:
        return
    raise DisconnectError('the caller disconnected')


def main(
    port: Annotated[
        int, typer.Option(help='Service port; 0 selects a free one.')
    ] = 0,
    control_port: Annotated[
        int, typer.Option(help='Control port; 0 selects a free one.')
    ] = 0,
    slots: Annotated[int, typer.Option()] = 16,
    mean_milliseconds: Annotated[float, typer.Option()] = 20.0,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Run a simulated plain service until SIGTERM."""
    service = PlainService(mean_milliseconds, slots, seed)
    stand_in = TargetStandIn(
        service.handle_request, service.report_load, port, control_port
    )
    curio.run(run_until_stopped, stand_in)


if __name__ == '__main__':
    typer.run(main)
