"""Prometheus metrics of a gateway."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from dotterelhatch.net.http import Response, ServerExchange

__all__ = ('GatewayMetrics', 'MetricsHandler')

_NAMESPACE: Final = 'dotterelhatch_gateway'
_BUCKETS: Final = (
    0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1.2, 2, 4, 8, 15,
)  # fmt: skip
_OK: Final = 200
_NOT_FOUND: Final = 404

_Handler = Callable[[ServerExchange], Awaitable[None]]


class GatewayMetrics:
    """Counters, gauges and histograms of one gateway process."""

    def __init__(self) -> None:
        """Register the metrics in a registry of their own."""
        registry = CollectorRegistry()
        self._registry = registry
        self.requests = Counter(
            'requests',
            'Requests of callers by how they ended.',
            ('outcome', 'reason'),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.organisation_requests = Counter(
            'organisation_requests',
            'Requests of each organisation by how they ended.',
            ('organisation', 'outcome', 'reason'),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.organisation_arrivals = Counter(
            'organisation_arrivals',
            'Requests of each organisation whose head was read.',
            ('organisation',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.organisation_tokens = Counter(
            'organisation_tokens',
            'Tokens, or requests to plain services, counted for fair shares.',
            ('service', 'organisation', 'event'),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.attempts = Counter(
            'attempts',
            'Requests sent to targets by how they ended.',
            ('service', 'outcome'),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.first_event_seconds = Histogram(
            'first_event_seconds',
            'Time from the arrival of a request to its first event or answer.',
            ('service',),
            namespace=_NAMESPACE,
            registry=registry,
            buckets=_BUCKETS,
        )
        self.response_seconds = Histogram(
            'response_seconds',
            'Time from the arrival of a request to the end of its response.',
            ('service',),
            namespace=_NAMESPACE,
            registry=registry,
            buckets=_BUCKETS,
        )
        self.sent_bytes = Counter(
            'sent_bytes',
            'Bytes sent by cause and by failure domain of the receiver.',
            ('cause', 'domain'),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.read_bytes = Counter(
            'read_bytes',
            'Bytes of tables read, by where they came from.',
            ('source',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.snapshot_version = Gauge(
            'snapshot_version',
            'Version of each document in force.',
            ('document',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.live_routers = Gauge(
            'live_routers',
            'Routers heard lately, this one included.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.ready_targets = Gauge(
            'ready_targets',
            'Targets that take new requests.',
            ('service',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.source_up = Gauge(
            'source_up',
            'Whether the source of a document answers.',
            ('document',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.ignored_rows = Gauge(
            'ignored_rows',
            'Malformed rows of each document, which are not used.',
            ('document',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.malformed_inputs = Counter(
            'malformed_inputs',
            'Messages of others, or parts of them, that were left out.',
            ('source',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.limited_targets = Gauge(
            'limited_targets',
            'Targets that name a request rate in their answers.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.learned_targets = Gauge(
            'learned_targets',
            'Targets whose own speed is learned and used.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.learned_rate = Gauge(
            'learned_rate',
            'Prompt tokens or requests that a target completes per second, by '
            'the quarter of its slots in use; the mean of a service.',
            ('service', 'utilisation'),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.paused_targets = Gauge(
            'paused_targets',
            'Targets that asked this router for a pause that is not over.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.cold_targets = Gauge(
            'cold_targets',
            'Targets that are cold and get few requests.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.cold_placements = Gauge(
            'cold_placements',
            'Requests that this router has placed on cold targets.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.unusable_targets = Gauge(
            'unusable_targets',
            'Targets listed as ready that leave or have lost their address.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.evacuated_domains = Gauge(
            'evacuated_domains',
            'Failure domains whose targets get no requests.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.lapsed_evacuations = Gauge(
            'lapsed_evacuations',
            'Evacuations in force that the source has lost.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.evacuated_targets = Gauge(
            'evacuated_targets',
            'Targets that get no requests because of an evacuation alone.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.shortened_heartbeats = Counter(
            'shortened_heartbeats',
            'Heartbeats without details, as they did not fit into a datagram.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.request_body_bytes = Gauge(
            'request_body_bytes',
            'Bytes for which long bodies of requests take room.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.cached_prefixes = Gauge(
            'cached_prefixes',
            'Prefixes of prompts that targets are estimated to have cached.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.memory_limited_services = Gauge(
            'memory_limited_services',
            'Services whose engines have memory for fewer requests than slots.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.lapsed_targets = Gauge(
            'lapsed_targets',
            'Targets in use whose entries have expired in an outage.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.rejected_crash_causes = Gauge(
            'rejected_crash_causes',
            'Sets of causes that crash targets, whose requests are rejected.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.held_bytes = Gauge(
            'held_bytes',
            'Bytes of responses of targets that are held in memory.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.dropped_responses = Gauge(
            'dropped_responses',
            'Responses dropped because all of them held too many bytes.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.loop_lag_seconds = Gauge(
            'loop_lag_seconds',
            'How far the process is behind its own events.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.busy_seconds = Counter(
            'busy_seconds',
            'Time in which the event loop did not wait for events.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.connections = Counter(
            'connections',
            'Connections of callers: accepted, closed_unread and rejected '
            'because of the limit, closed_idle to make room for others, '
            'rejected_unread for lack of processor time, passed_on to other '
            'routers, pass_failed of these without a complete response.',
            ('event',),
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.open_connections = Gauge(
            'open_connections',
            'Connections of callers that are open.',
            namespace=_NAMESPACE,
            registry=registry,
        )
        self.log_lines_dropped = Gauge(
            'log_lines_dropped',
            'Log lines that a slow reader did not take.',
            namespace=_NAMESPACE,
            registry=registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return bytes(generate_latest(self._registry))


class MetricsHandler:
    """HTTP handler of the metrics address, which operators reach.

    :param metrics: to be rendered.
    :param path: at which they are served.
    :param others: handlers of other paths.
    """

    def __init__(
        self,
        metrics: GatewayMetrics,
        path: str,
        others: Mapping[str, _Handler],
    ) -> None:
        """Store the metrics and their path."""
        self._metrics = metrics
        self._path = path
        self._others = others

    async def __call__(self, exchange: ServerExchange) -> None:
        """Respond with the metrics, or with 404 to any unknown path."""
        path = exchange.head.path.partition('?')[0]
        other = self._others.get(path)
        if other is not None:
            await other(exchange)
        elif path == self._path:
            headers = (('Content-Type', CONTENT_TYPE_LATEST),)
            await exchange.send(Response(_OK, headers, self._metrics.render()))
        else:
            await exchange.send(Response(_NOT_FOUND, (), b''))
