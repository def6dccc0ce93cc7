"""Decodes what the operator and the servers write to the store."""

import ipaddress
import json
import logging
from collections.abc import Iterable
from typing import Any, Final

from dotterelhatch.core.registry import TargetEntry, TargetState
from dotterelhatch.core.routes import (
    EngineSpec,
    RequestLimits,
    RouteKind,
    RouteRule,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    OrganisationId,
    ServiceId,
    TargetId,
)
from dotterelhatch.platform.store import RowChange

__all__ = ('decode_routing_table', 'decode_targets')

_LOGGER: Final = logging.getLogger(__name__)
_MILLISECONDS: Final = 1000
_DEFAULT_TIMEOUT_MS: Final = 30_000
_DEFAULT_SLO_MS: Final = 1000
_DEFAULT_BODY_BYTES: Final = 4_194_304
_STATES: Final = {
    'ready': TargetState.READY,
    'draining': TargetState.LEAVING,
}


def decode_routing_table(content: bytes) -> RoutingTable:
    """Return the routing table in the operator's row.

    :raises ValueError: when it can't be read.
    """
    try:
        return _routing_table(json.loads(content))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(
            f'the configuration is malformed: {error!r}'
        ) from error


def decode_targets(rows: Iterable[RowChange]) -> list[TargetEntry]:
    """Return the targets in the rows of the servers.

    A row that another writer spoiled names no target and is left out.
    """
    entries = []
    for row in rows:
        try:
            entries.append(_target(row))
        except (LookupError, TypeError, ValueError) as error:
            _LOGGER.warning(
                'ignored an entry that names no target',
                extra={'key': row.key, 'reason': repr(error)},
            )
    return entries


def _routing_table(document: dict[str, Any]) -> RoutingTable:
    services = [_service(entry) for entry in document.get('services', ())]
    return RoutingTable(
        version=ConfigVersion(int(document['version'])),
        routes=tuple(_route(entry) for entry in document['routes']),
        services={service.id: service for service in services},
        limits=_limits(document.get('limits') or {}),
        organisations_by_key=_organisations(document.get('tenants')),
    )


def _route(entry: dict[str, Any]) -> RouteRule:
    # ``slo-ms`` is the time to the first event of a stream, otherwise to the
    # complete response. ``sticky`` marks requests with a prompt, which their
    # headers show as well.
    return RouteRule(
        name=str(entry.get('name', '')),
        host=str(entry['host']),
        path_prefix=str(entry['prefix']),
        kind=RouteKind(entry['kind']),
        timeout_seconds=_seconds(entry.get('timeout-ms', _DEFAULT_TIMEOUT_MS)),
        objective_seconds=_seconds(entry.get('slo-ms', _DEFAULT_SLO_MS)),
        shares=_shares(entry),
        max_attempts_count=int(entry.get('max-attempts', 1)),
        is_public=bool(entry.get('public', False)),
        is_resumable=bool(entry.get('resumable', False)),
    )


def _shares(entry: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = entry.get('split')
    if split:
        shares = tuple(
            ServiceShare(ServiceId(part['service']), float(part['weight']))
            for part in split
            if float(part['weight']) > 0
        )
        if shares:
            return shares
    return (ServiceShare(ServiceId(entry['service']), 1.0),)


def _service(entry: dict[str, Any]) -> ServiceSpec:
    engine = entry.get('engine')
    spec = None
    if engine:
        spec = EngineSpec(
            slots_count=int(engine.get('slots', 1)),
            memory_tokens=int(engine['kv-capacity-tokens']),
        )
    return ServiceSpec(ServiceId(entry['name']), spec)


def _limits(entry: dict[str, Any]) -> RequestLimits:
    throughput = entry.get('tokens-per-s')
    return RequestLimits(
        max_body_bytes=int(entry.get('max-body-bytes', _DEFAULT_BODY_BYTES)),
        tokens_per_second=float(throughput) if throughput else None,
    )


def _organisations(
    tenants: list[dict[str, Any]] | None,
) -> dict[str, OrganisationId] | None:
    if not tenants:
        return None
    return {
        str(key): OrganisationId(str(tenant['name']))
        for tenant in tenants
        for key in tenant.get('api-keys', ())
    }


def _target(row: RowChange) -> TargetEntry:
    entry = dict(json.loads(row.content or b''))
    address = _text(entry['address'])
    ip, _, port = address.rpartition(':')
    ipaddress.IPv4Address(ip)
    int(port)
    return TargetEntry(
        id=TargetId(row.key),
        service=ServiceId(_text(entry['service'])),
        address=address,
        failure_domain=FailureDomain(_text(entry['zone'])),
        state=_STATES[entry['state']],
        slots_count=_count(entry['slots']),
        # ``born`` is the Unix millisecond of the start, which tells two
        # starts with the same id apart.
        started_ms=_count(entry.get('born', 0)),
    )


def _seconds(milliseconds: Any) -> float:
    return float(milliseconds) / _MILLISECONDS


def _text(field: Any) -> str:
    if not isinstance(field, str):
        raise TypeError(f'{field!r} is not a text')
    return field


def _count(field: Any) -> int:
    if isinstance(field, bool) or not isinstance(field, int):
        raise TypeError(f'{field!r} is not a whole number')
    return field
