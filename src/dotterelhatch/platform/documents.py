"""Decodes the store rows of the operator and of the servers."""

import functools
import logging
import re
from collections.abc import Hashable, Iterable
from typing import Annotated, Final, Literal

from pydantic import Field

from dotterelhatch.core.registry import TargetEntry, TargetState
from dotterelhatch.core.routes import (
    EngineSpec,
    RequestLimits,
    RouteKind,
    RouteRule,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
    WarmupSpec,
)
from dotterelhatch.fleet import RemoteAddress
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    OrganisationId,
    ServiceId,
    TargetId,
)
from dotterelhatch.jsonmodel import MAX_INTEGER, InvalidDocumentError, JsonModel
from dotterelhatch.platform.store import RowChange

__all__ = (
    'configuration_version',
    'decode_evacuations',
    'decode_routing_table',
    'decode_targets',
    'operator_row_identity',
    'server_start',
)

_LOGGER: Final = logging.getLogger(__name__)
_MILLISECONDS_PER_SECOND: Final = 1000
_DEFAULT_BODY_BYTES: Final = 4_194_304
_DEFAULT_HEADER_BYTES: Final = 65_536
# Sums and products of such numbers stay finite and exact enough.
_Number = Annotated[float, Field(ge=0, le=1e15)]
# In the year 33658; the start time is passed on in heartbeats.
_MAX_START_MS: Final = 10**15
_MAX_SLOTS_COUNT: Final = 1_000_000
# A row with a wrong unit would keep its server limited for days.
_MAX_COLD_SECONDS: Final = 3600.0
# The id of a server is sent to it in a header.
_ID_PATTERN: Final = re.compile('[!-~]{1,200}')
_EVACUATION_PREFIX: Final = 'evacuate/'
_MAX_DOMAIN_CHARS: Final = 200
_STATES: Final = {
    'ready': TargetState.READY,
    'draining': TargetState.LEAVING,
}


def decode_routing_table(content: bytes) -> RoutingTable:
    """Decode the operator's row as a routing table.

    :raises InvalidDocumentError: when it is malformed.
    """
    document = _Configuration.decode(content)
    services = [_service(entry) for entry in document.services]
    return RoutingTable(
        version=ConfigVersion(document.version),
        routes=tuple(_route(entry) for entry in document.routes),
        services={service.id: service for service in services},
        limits=_limits(document.limits or _Limits()),
        organisations_by_key=_organisations(document),
    )


def configuration_version(row: RowChange) -> int:
    """Return the operator's version of a row, 0 if it is no valid table."""
    return _valid_version(row.content or b'')


@functools.lru_cache(maxsize=2)
def _valid_version(content: bytes) -> int:
    try:
        return decode_routing_table(content).version
    except InvalidDocumentError:
        return 0


def operator_row_identity(row: RowChange) -> Hashable:
    """Return the key of a row, with its version if it asks for an evacuation.

    An evacuation may be requested again after it was withdrawn, with the same
    key and content; only the version distinguishes the two requests.
    """
    if row.key.startswith(_EVACUATION_PREFIX):
        return row.key, row.version
    return row.key


def decode_evacuations(
    rows: Iterable[RowChange],
) -> tuple[frozenset[FailureDomain], int]:
    """Return the failure domains to evacuate and the number of ignored rows.

    The key says what is asked for. A row with other content than a JSON object
    counts as well: sending requests to a domain that is to be evacuated is
    worse than sparing one until its row is removed.
    """
    domains = set()
    ignored_count = 0
    for row in rows:
        if not row.key.startswith(_EVACUATION_PREFIX) or row.content is None:
            continue
        domain = row.key.removeprefix(_EVACUATION_PREFIX)
        if not 1 <= len(domain) <= _MAX_DOMAIN_CHARS:
            ignored_count += 1
            _LOGGER.error(
                'ignored an evacuation whose zone is empty or too long',
                extra={'key': row.key[:_MAX_DOMAIN_CHARS]},
            )
            continue
        try:
            _EvacuationRow.decode(row.content)
        except InvalidDocumentError as error:
            _LOGGER.warning(
                'the content of an evacuation is malformed; its zone is '
                'evacuated',
                extra={'key': row.key, 'reason': str(error)},
            )
        domains.add(FailureDomain(domain))
    return frozenset(domains), ignored_count


def server_start(row: RowChange) -> tuple[str, int]:
    """Return the id of a server and its start, 0 if the row is malformed."""
    try:
        return row.key, _ServerRow.decode(row.content or b'').born
    except InvalidDocumentError:
        return row.key, 0


def decode_targets(rows: Iterable[RowChange]) -> list[TargetEntry]:
    """Decode the rows of the servers as targets; skip malformed rows.

    Other programs write to this table too, so one bad row must not hide the
    other targets.
    """
    entries = []
    for row in rows:
        try:
            entries.append(_target(row))
        except InvalidDocumentError as error:
            _LOGGER.warning(
                'ignored a malformed server row',
                extra={'key': row.key, 'reason': str(error)},
            )
    return entries


class _ServerRow(JsonModel):
    """Row of a server: the fields that are used, and the types of others.

    :param born: start time in Unix milliseconds; it distinguishes two
        incarnations of a server with the same id.
    """

    service: str
    address: RemoteAddress
    zone: str
    state: Literal['ready', 'draining']
    slots: int = Field(ge=1, le=_MAX_SLOTS_COUNT)
    born: int = Field(default=0, ge=0, le=_MAX_START_MS)
    version: str = ''
    seq: int = 0
    cold_left_ms: float = Field(alias='cold-left-ms', default=0)


class _EvacuationRow(JsonModel):
    """Row of an evacuation, of which no field is used."""


class _Split(JsonModel):
    service: str
    weight: _Number


class _Route(JsonModel):
    """Route of the configuration.

    ``slo-ms`` limits the time to the first event of a stream, and to the
    complete response otherwise. ``sticky`` marks requests with a prompt; it
    is not needed, as their headers show the prompt.
    """

    name: str = ''
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: _Number = Field(alias='timeout-ms', default=30_000)
    slo_ms: _Number = Field(alias='slo-ms', default=1000)
    service: str | None = None
    split: tuple[_Split, ...] | None = None
    max_attempts: _Number = Field(alias='max-attempts', default=1)
    public: bool = False
    resumable: bool = False


class _Engine(JsonModel):
    slots: _Number = 1
    memory_tokens: _Number = Field(alias='kv-capacity-tokens')


class _Service(JsonModel):
    name: str
    engine: _Engine | None = None
    warmup_s: _Number | None = Field(alias='warmup-s', default=None)
    cold_per_s: _Number | None = Field(alias='cold-per-s', default=None)


class _Limits(JsonModel):
    max_header_bytes: _Number = Field(
        alias='max-header-bytes', default=_DEFAULT_HEADER_BYTES
    )
    max_body_bytes: _Number = Field(
        alias='max-body-bytes', default=_DEFAULT_BODY_BYTES
    )
    tokens_per_s: _Number | None = Field(alias='tokens-per-s', default=None)


class _Tenant(JsonModel):
    name: str
    api_keys: tuple[str, ...] = Field(alias='api-keys', default=())


class _Configuration(JsonModel):
    """Row of the operator: the fields that are used.

    :param tenants: empty when no key is valid. When the field is missing, no
        route needs a key.
    """

    max_document_bytes = 16_777_216

    version: int = Field(ge=0, le=MAX_INTEGER)
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] = ()


def _route(entry: _Route) -> RouteRule:
    return RouteRule(
        name=entry.name,
        host=entry.host,
        path_prefix=entry.prefix,
        kind=entry.kind,
        timeout_seconds=entry.timeout_ms / _MILLISECONDS_PER_SECOND,
        objective_seconds=entry.slo_ms / _MILLISECONDS_PER_SECOND,
        shares=_shares(entry),
        max_attempts_count=int(entry.max_attempts),
        is_public=entry.public,
        is_resumable=entry.resumable,
    )


def _shares(entry: _Route) -> tuple[ServiceShare, ...]:
    shares = tuple(
        ServiceShare(ServiceId(part.service), part.weight)
        for part in entry.split or ()
        if part.weight > 0
    )
    if shares:
        return shares
    if entry.service is None:
        raise InvalidDocumentError(f'route {entry.name!r} names no service')
    return (ServiceShare(ServiceId(entry.service), 1.0),)


def _service(entry: _Service) -> ServiceSpec:
    spec = None
    if entry.engine is not None:
        spec = EngineSpec(
            slots_count=int(entry.engine.slots),
            memory_tokens=int(entry.engine.memory_tokens),
        )
    return ServiceSpec(ServiceId(entry.name), spec, _warmup(entry))


def _warmup(entry: _Service) -> WarmupSpec | None:
    if not entry.cold_per_s:
        return None
    return WarmupSpec(
        duration_seconds=entry.warmup_s or 0,
        requests_per_second=entry.cold_per_s,
    )


def _limits(entry: _Limits) -> RequestLimits:
    return RequestLimits(
        max_header_bytes=int(entry.max_header_bytes),
        max_body_bytes=int(entry.max_body_bytes),
        tokens_per_second=entry.tokens_per_s or None,
    )


def _organisations(
    document: _Configuration,
) -> dict[str, OrganisationId] | None:
    if 'tenants' not in document.model_fields_set:
        return None
    return {
        key: OrganisationId(tenant.name)
        for tenant in document.tenants
        for key in tenant.api_keys
    }


def _target(row: RowChange) -> TargetEntry:
    if not _ID_PATTERN.fullmatch(row.key):
        raise InvalidDocumentError('the key is no valid header value')
    server = _ServerRow.decode(row.content or b'')
    return TargetEntry(
        id=TargetId(row.key),
        service=ServiceId(server.service),
        address=server.address,
        failure_domain=FailureDomain(server.zone),
        state=_STATES[server.state],
        slots_count=server.slots,
        started_ms=server.born,
        cold_left_seconds=_cold_seconds(server.cold_left_ms),
        row_version=row.version,
    )


def _cold_seconds(cold_left_ms: float) -> float:
    return min(
        _MAX_COLD_SECONDS, max(0, cold_left_ms / _MILLISECONDS_PER_SECOND)
    )
