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
_COUNTED_BYTES_HELP: Final = (
    'protobuf frames and a constant for the HTTP/2 framing of each call, '
    'without TCP, IP and connection setup.'
)
_SERVICE_LABELS: Final = ('service',)
_ORGANISATION_LABELS: Final = ('service', 'organisation')
# 1.2 s is the objective for the 95th percentile of the time to first token.
_BUCKET_BOUNDS_SECONDS: Final = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.8, 1.2, 2, 5, 10, 30, 60, 120,
)  # fmt: skip


class Outcome(enum.Enum):
    """How a request ended.

    REFUSED: it failed and no target executed it. FAILED: it failed and a
    target has executed it or may have done so.
    """

    COMPLETED = 'completed'
    REPLAYED = 'replayed'
    REFUSED = 'refused'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class SlotState(enum.Enum):
    """State of the slots of the targets that this router coordinates."""

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
    """The metrics of a router, in a registry of their own.

    The number of series is bounded: services and organisations that are not
    in the configuration are counted under ``other``, and all other labels
    are enumerations.

    :ivar before_render: sets the gauges; called at each scrape, so that
        gauges cost nothing between scrapes.
    """

    def __init__(self) -> None:
        """Create the metrics without services and organisations."""
        self.registry = CollectorRegistry()
        self.before_render: Callable[[], None] | None = None
        self._queued_organisations: dict[ServiceId, set[OrganisationId]] = {}
        self._services: frozenset[str] = frozenset()
        self._organisations: frozenset[str] = frozenset()
        ProcessCollector(registry=self.registry)
        self._create_request_metrics()
        self._create_scheduling_metrics()
        self._create_fleet_metrics()

    def apply_config(self, version: ConfigVersion, config: FleetConfig) -> None:
        """Take the label values from a configuration.

        The series of services and organisations that it no longer has are
        removed.
        """
        services = frozenset(map(str, config.services_by_id))
        organisations = frozenset(map(str, config.organisations_by_id))
        for service in self._services - services:
            self._remove_series('service', service)
        for organisation in self._organisations - organisations:
            self._remove_series('organisation', organisation)
        self._services = services
        self._organisations = organisations
        self._config_version.set(version)

    def count_request(
        self, service: ServiceId, organisation: OrganisationId, outcome: Outcome
    ) -> None:
        """Count a request that has ended."""
        labels = self._label_values(service, organisation)
        self._requests.labels(*labels, outcome.value).inc()

    def count_tokens(
        self, service: ServiceId, organisation: OrganisationId, count: int
    ) -> None:
        """Count tokens that were relayed to a caller."""
        self._tokens.labels(*self._label_values(service, organisation)).inc(
            count
        )

    def count_retry(self, service: ServiceId, action: RetryAction) -> None:
        """Count a retry decision after a failed attempt."""
        self._retries.labels(self._service_label(service), action.value).inc()

    def observe_queue_wait(self, service: ServiceId, seconds: float) -> None:
        """Record the time from arrival to the first grant."""
        self._queue_wait_seconds.labels(self._service_label(service)).observe(
            seconds
        )

    def observe_first_token(self, service: ServiceId, seconds: float) -> None:
        """Record the time from arrival to the first token."""
        self._first_token_seconds.labels(self._service_label(service)).observe(
            seconds
        )

    def set_queue_length(
        self, service: ServiceId, organisation: OrganisationId, count: int
    ) -> None:
        """Set the number of requests queued at this router.

        Organisations that are not in the configuration have no queue.
        """
        labels = self._label_values(service, organisation)
        if _OTHER not in labels:
            self._queued.labels(*labels).set(count)

    def set_queue_lengths(
        self, service: ServiceId, counts: Mapping[OrganisationId, int]
    ) -> None:
        """Set all queue lengths of a service.

        :param counts: queue lengths; an organisation left out has length 0.
        """
        organisations = self._queued_organisations.setdefault(service, set())
        organisations.update(counts)
        for organisation in organisations:
            self.set_queue_length(
                service, organisation, counts.get(organisation, 0)
            )

    def count_grant(
        self, service: ServiceId, event: GrantEvent, count: int = 1
    ) -> None:
        """Count grant events of one kind."""
        self._grants.labels(self._service_label(service), event.value).inc(
            count
        )

    def set_slots(self, service: ServiceId, free: int, in_use: int) -> None:
        """Set the slots of the targets that this router coordinates."""
        label = self._service_label(service)
        self._slots.labels(label, SlotState.FREE.value).set(free)
        self._slots.labels(label, SlotState.IN_USE.value).set(in_use)

    def count_exchange_call(self, result: CallResult) -> None:
        """Count an exchange call that this router made."""
        self._exchange_calls.labels(result.value).inc()

    def count_control_bytes(self, sent_bytes: int, received_bytes: int) -> None:
        """Count bytes exchanged with other routers."""
        self._sent_bytes.inc(sent_bytes)
        self._received_bytes.inc(received_bytes)

    def set_member_count(self, state: MemberState, count: int) -> None:
        """Set the number of routers that this router sees in a state."""
        self._members.labels(state.name.lower()).set(count)

    def count_claim(self, result: ClaimResult) -> None:
        """Count an attempt to claim an idempotency key."""
        self._claims.labels(result.value).inc()

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the body for a scrape."""
        if self.before_render is not None:
            self.before_render()
        return CONTENT_TYPE_LATEST, generate_latest(self.registry)

    def _create_request_metrics(self) -> None:
        self._requests = self._counter(
            'requests',
            'Requests ended.',
            (*_ORGANISATION_LABELS, 'outcome'),
        )
        self._tokens = self._counter(
            'relayed_tokens',
            'Tokens relayed, counted when the request ends.',
            _ORGANISATION_LABELS,
        )
        self._retries = self._counter(
            'retries',
            'Decisions after a failed attempt.',
            ('service', 'action'),
        )
        self._queue_wait_seconds = self._histogram(
            'queue_wait_seconds', 'Time from arrival to the first grant.'
        )
        self._first_token_seconds = self._histogram(
            'first_token_seconds',
            'Time from arrival to the first token of a stream.',
        )
        self._claims = self._counter(
            'claims', 'Attempts to claim an idempotency key.', ('result',)
        )

    def _create_scheduling_metrics(self) -> None:
        self._queued = self._gauge(
            'queued_requests',
            'Requests waiting here.',
            _ORGANISATION_LABELS,
        )
        self._grants = self._counter(
            'grants', 'Grants by what happened.', ('service', 'event')
        )
        self._slots = self._gauge(
            'slots',
            # Home: the router that coordinates the target of the slots.
            'Slots this router is home to; free ones can be granted now.',
            ('service', 'state'),
        )

    def _create_fleet_metrics(self) -> None:
        self._sent_bytes = self._counter(
            'control_sent_bytes',
            f'Bytes sent to other routers: {_COUNTED_BYTES_HELP}',
            (),
        )
        self._received_bytes = self._counter(
            'control_received_bytes',
            f'Bytes received from other routers: {_COUNTED_BYTES_HELP}',
            (),
        )
        self._exchange_calls = self._counter(
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
            _SERVICE_LABELS,
            namespace=_NAMESPACE,
            registry=self.registry,
            buckets=_BUCKET_BOUNDS_SECONDS,
        )

    def _service_label(self, service: ServiceId) -> str:
        return service if service in self._services else _OTHER

    def _label_values(
        self, service: ServiceId, organisation: OrganisationId
    ) -> tuple[str, str]:
        known = organisation in self._organisations
        return self._service_label(service), organisation if known else _OTHER

    def _remove_series(self, label: str, label_value: str) -> None:
        metrics: list[MetricWrapperBase] = [
            self._requests,
            self._tokens,
            self._queued,
        ]
        if label == 'service':
            metrics += [
                self._retries,
                self._queue_wait_seconds,
                self._first_token_seconds,
                self._grants,
                self._slots,
            ]
        for metric in metrics:
            metric.remove_by_labels({label: label_value})
