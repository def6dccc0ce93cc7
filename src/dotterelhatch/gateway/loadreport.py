"""Periodic log line and metrics about the load of a router."""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import Any, Final

from dotterelhatch.gateway.decisions import Decision, log_decision
from dotterelhatch.gateway.metrics import GatewayMetrics
from dotterelhatch.ids import OrganisationId
from dotterelhatch.net.http import ConnectionCounts

__all__ = ('REPORT_INTERVAL_SECONDS', 'LoadReport')

REPORT_INTERVAL_SECONDS: Final = 1.0
_MILLISECONDS_PER_SECOND: Final = 1000
# Organisations with the most arrivals that a line names.
_MAX_ORGANISATIONS_COUNT: Final = 8
_ARRIVED: Final = 'arrived'


class LoadReport:
    """Counts requests by organisation between two log lines.

    Lines of single requests are rate-limited, so they cannot show how many
    requests arrived and what became of them.

    :param metrics: counters that are updated with each line.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without requests."""
        self._metrics = metrics
        self._clock = clock
        self._written_seconds = clock()
        self._waited_seconds = 0.0
        self._connections: dict[str, int] = {}
        self._requests: dict[OrganisationId | None, Counter[str]] = {}
        self._tokens: dict[OrganisationId, Counter[str]] = {}

    def on_arrived(self, organisation: OrganisationId | None) -> None:
        """Count a request whose organisation is known."""
        self._count(organisation, _ARRIVED)
        if organisation is not None:
            self._metrics.organisation_arrivals.labels(organisation).inc()

    def on_event(self, organisation: OrganisationId | None, event: str) -> None:
        """Count a step in the handling of a request.

        :param event: ``placed``, or how the request ended.
        """
        self._count(organisation, event)

    def on_tokens(
        self, organisation: OrganisationId, event: str, tokens: int
    ) -> None:
        """Count the tokens of a step in the handling of a request.

        :param event: ``asked``, ``placed`` or ``begun``.
        """
        counts = self._tokens.setdefault(organisation, Counter())
        counts[f'{event}_tokens'] += tokens

    def write(
        self,
        counts: ConnectionCounts,
        waited_seconds: float,
        share_facts: Callable[[OrganisationId], Mapping[str, Any]],
        **facts: Any,
    ) -> None:
        """Log the counts since the last line and update the metrics.

        :param counts: of the connections of callers since the start.
        :param waited_seconds: time that the event loop has waited for events
            since the start.
        :param share_facts: returns the usage of an organisation in the whole
            fleet and its fair share.
        """
        now_seconds = self._clock()
        elapsed_seconds = now_seconds - self._written_seconds
        self._written_seconds = now_seconds
        busy_seconds = elapsed_seconds - waited_seconds + self._waited_seconds
        self._waited_seconds = waited_seconds
        connections = self._new_connections(counts)
        self._metrics.busy_seconds.inc(max(0, busy_seconds))
        for event, count in connections.items():
            self._metrics.connections.labels(event).inc(count)
        requests = self._requests
        self._requests = {}
        tokens = self._tokens
        self._tokens = {}
        log_decision(
            Decision.LOAD,
            elapsed_ms=round(elapsed_seconds * _MILLISECONDS_PER_SECOND),
            busy_ms=round(busy_seconds * _MILLISECONDS_PER_SECOND),
            connections=connections,
            requests=sum(requests.values(), Counter()),
            organisations={
                organisation: {
                    **counts,
                    **tokens.get(organisation, {}),
                    **share_facts(organisation),
                }
                for organisation, counts in _busiest(requests).items()
            },
            **facts,
        )

    def _new_connections(self, counts: ConnectionCounts) -> dict[str, int]:
        """Return the counts since the last line by event."""
        connections = {
            name.removesuffix('_count'): count
            for name, count in asdict(counts).items()
        }
        former = self._connections
        self._connections = connections
        return {
            event: count - former.get(event, 0)
            for event, count in connections.items()
        }

    def _count(self, organisation: OrganisationId | None, event: str) -> None:
        self._requests.setdefault(organisation, Counter())[event] += 1


def _busiest(
    requests: Mapping[OrganisationId | None, Counter[str]],
) -> dict[OrganisationId, Counter[str]]:
    """Return the counts of the organisations with the most arrivals."""
    known = [
        (organisation, counts)
        for organisation, counts in requests.items()
        if organisation is not None
    ]
    known.sort(key=lambda entry: entry[1][_ARRIVED], reverse=True)
    return dict(known[:_MAX_ORGANISATIONS_COUNT])
