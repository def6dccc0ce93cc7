"""Prometheus metrics of one router."""

import enum
from collections.abc import Callable, Mapping
from typing import Final

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.metrics import MetricWrapperBase

from dotterelhatch.core.messages import MemberState
from dotterelhatch.core.retries import RetryAction
from dotterelhatch.core.service import GrantEvent
from dotterelhatch.fleet import FleetConfig
from dotterelhatch.ids import ConfigVersion, OrganisationId, ServiceId

__all__ = (
    'CallResult',
    'ClaimResult',
    'GrantEvent',
    'Metrics',
    'Outcome',
    'SlotState',
)

_NAMESPACE: Final = 'dotterelhatch'
_OTHER: Final = 'other'
_COUNTED: Final = (
    'protobuf frames and a constant for the HTTP/2 framing of each call, '
    'without TCP, IP and connection setup.'
)
_SERVICE: Final = ('service',)
_SERVICE_ORGANISATION: Final = ('service', 'organisation')
# 1.2 s is the target of the 95th percentile of the first token.
_BUCKETS: Final = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.8, 1.2, 2, 5, 10, 30, 60, 120,
)  # fmt: skip


class Outcome(enum.Enum):
    """How a request ended."""

    COMPLETED = 'completed'
    REPLAYED = 'replayed'
    REFUSED = 'refused'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class SlotState(enum.Enum):
    """Whether a slot that this router is home to runs a request."""

    FREE = 'free'
    IN_USE = 'in_use'


class CallResult(enum.Enum):
    """Result of an exchange call to another router."""

    ANSWERED = 'answered'
    TIMED_OUT = 'timed_out'
    FAILED = 'failed'


class ClaimResult(enum.Enum):
    """Result of an attempt to claim an idempotency key."""

    CLAIMED = 'claimed'
    HELD = 'held'
    UNAVAILABLE = 'unavailable'


class Metrics:
    """All metrics in a registry of their own.

    Label sets are bounded: services and organisations come from the
    configuration, anything else counts as ``other``, and the rest are
    closed enumerations.

    :ivar before_render: sets the gauges; called for each scrape, so that
        they cost nothing between scrapes.
    """

    def __init__(self) -> None:
        """Create the metrics without a configuration."""
        self.registry = CollectorRegistry()
        self.before_render: Callable[[], None] | None = None
        self._queues: dict[ServiceId, set[OrganisationId]] = {}
        self._services: frozenset[str] = frozenset()
        self._organisations: frozenset[str] = frozenset()
        ProcessCollector(registry=self.registry)
        self._create_request_metrics()
        self._create_scheduling_metrics()
        self._create_fleet_metrics()

    def apply_config(self, version: ConfigVersion, config: FleetConfig) -> None:
        """Take over the label values; drop series of removed ones."""
        services = frozenset(map(str, config.services_by_id))
        organisations = frozenset(map(str, config.organisations_by_id))
        for service in self._services - services:
            self._drop('service', service)
        for organisation in self._organisations - organisations:
            self._drop('organisation', organisation)
        self._services = services
        self._organisations = organisations
        self._config_version.set(version)

    def count_request(
        self, service: ServiceId, organisation: OrganisationId, outcome: Outcome
    ) -> None:
        """Count a request that ended."""
        labels = self._labels(service, organisation)
        self._requests.labels(*labels, outcome.value).inc()

    def count_tokens(
        self, service: ServiceId, organisation: OrganisationId, count: int
    ) -> None:
        """Count tokens relayed to a caller."""
        self._tokens.labels(*self._labels(service, organisation)).inc(count)

    def count_retry(self, service: ServiceId, action: RetryAction) -> None:
        """Count a decision after a failed attempt."""
        self._retries.labels(self._service(service), action.value).inc()

    def observe_queue_wait(self, service: ServiceId, seconds: float) -> None:
        """Record the time from arrival to dispatch."""
        self._wait.labels(self._service(service)).observe(seconds)

    def observe_first_token(self, service: ServiceId, seconds: float) -> None:
        """Record the time from arrival to the first token."""
        self._first_token.labels(self._service(service)).observe(seconds)

    def set_queue_length(
        self, service: ServiceId, organisation: OrganisationId, count: int
    ) -> None:
        """Set the number of requests that wait at this router.

        Organisations outside the configuration have no queue.
        """
        labels = self._labels(service, organisation)
        if _OTHER not in labels:
            self._queued.labels(*labels).set(count)

    def set_queue_lengths(
        self, service: ServiceId, counts: Mapping[OrganisationId, int]
    ) -> None:
        """Set all queues of a service; organisations left out have none."""
        known = self._queues.setdefault(service, set())
        known.update(counts)
        for organisation in known:
            self.set_queue_length(
                service, organisation, counts.get(organisation, 0)
            )

    def count_grant(
        self, service: ServiceId, event: GrantEvent, count: int = 1
    ) -> None:
        """Count events of grants."""
        self._grants.labels(self._service(service), event.value).inc(count)

    def set_slots(self, service: ServiceId, free: int, in_use: int) -> None:
        """Set the slots of the targets that this router is home to."""
        label = self._service(service)
        self._slots.labels(label, SlotState.FREE.value).set(free)
        self._slots.labels(label, SlotState.IN_USE.value).set(in_use)

    def count_exchange_call(self, result: CallResult) -> None:
        """Count an exchange call that this router made."""
        self._calls.labels(result.value).inc()

    def count_control_bytes(self, sent_bytes: int, received_bytes: int) -> None:
        """Count control traffic with other routers."""
        self._sent.inc(sent_bytes)
        self._received.inc(received_bytes)

    def set_member_count(self, state: MemberState, count: int) -> None:
        """Set the number of routers in a state, as seen here."""
        self._members.labels(state.name.lower()).set(count)

    def count_claim(self, result: ClaimResult) -> None:
        """Count an attempt to claim an idempotency key."""
        self._claims.labels(result.value).inc()

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the text for a scraper."""
        if self.before_render is not None:
            self.before_render()
        return CONTENT_TYPE_LATEST, generate_latest(self.registry)

    def _create_request_metrics(self) -> None:
        self._requests = self._counter(
            'requests', 'Requests ended.', (*_SERVICE_ORGANISATION, 'outcome')
        )
        self._tokens = self._counter(
            'relayed_tokens',
            'Tokens relayed, counted when the request ends.',
            _SERVICE_ORGANISATION,
        )
        self._retries = self._counter(
            'retries',
            'Decisions after a failed attempt.',
            ('service', 'action'),
        )
        self._wait = self._histogram(
            'queue_wait_seconds', 'Time from arrival to the first grant.'
        )
        self._first_token = self._histogram(
            'first_token_seconds',
            'Time from arrival to the first token of a stream.',
        )
        self._claims = self._counter(
            'claims', 'Attempts to claim an idempotency key.', ('result',)
        )

    def _create_scheduling_metrics(self) -> None:
        self._queued = self._gauge(
            'queued_requests', 'Requests waiting here.', _SERVICE_ORGANISATION
        )
        self._grants = self._counter(
            'grants', 'Grants by what happened.', ('service', 'event')
        )
        self._slots = self._gauge(
            'slots',
            'Slots this router is home to; free ones can be granted now.',
            ('service', 'state'),
        )

    def _create_fleet_metrics(self) -> None:
        self._sent = self._counter(
            'control_sent_bytes', f'Bytes sent to other routers: {_COUNTED}', ()
        )
        self._received = self._counter(
            'control_received_bytes',
            f'Bytes received from other routers: {_COUNTED}',
            (),
        )
        self._calls = self._counter(
            'exchange_calls', 'Calls made to other routers.', ('result',)
        )
        self._config_version = self._gauge(
            'config_version', 'Configuration version in force.', ()
        )
        self._members = self._gauge(
            'members', 'Routers by state, as seen here.', ('state',)
        )

    def _counter(
        self, name: str, documentation: str, labels: tuple[str, ...]
    ) -> Counter:
        return Counter(
            name,
            documentation,
            labels,
            namespace=_NAMESPACE,
            registry=self.registry,
        )

    def _gauge(
        self, name: str, documentation: str, labels: tuple[str, ...]
    ) -> Gauge:
        return Gauge(
            name,
            documentation,
            labels,
            namespace=_NAMESPACE,
            registry=self.registry,
        )

    def _histogram(self, name: str, documentation: str) -> Histogram:
        return Histogram(
            name,
            documentation,
            _SERVICE,
            namespace=_NAMESPACE,
            registry=self.registry,
            buckets=_BUCKETS,
        )

    def _service(self, service: ServiceId) -> str:
        return service if service in self._services else _OTHER

    def _labels(
        self, service: ServiceId, organisation: OrganisationId
    ) -> tuple[str, str]:
        known = organisation in self._organisations
        return self._service(service), organisation if known else _OTHER

    def _drop(self, label: str, label_value: str) -> None:
        metrics: list[MetricWrapperBase] = [
            self._requests,
            self._tokens,
            self._queued,
        ]
        if label == 'service':
            metrics += [
                self._retries,
                self._wait,
                self._first_token,
                self._grants,
                self._slots,
            ]
        for metric in metrics:
            metric.remove_by_labels({label: label_value})
