"""Fleet configuration: organisations, services, targets and limits."""

import enum
import functools
import ipaddress
from collections.abc import Sequence
from typing import Annotated, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    model_validator,
)

from dotterelhatch.ids import (
    FailureDomain,
    OrganisationId,
    ServiceId,
    TargetId,
)

__all__ = (
    'Address',
    'FleetConfig',
    'FrozenModel',
    'Organisation',
    'RemoteAddress',
    'Route',
    'Service',
    'ServiceKind',
    'ServiceLimits',
    'Target',
)

_Identifier = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_Digest = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
_MAX_PORT = 65535
_BROADCAST = ipaddress.IPv4Address('255.255.255.255')


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(':')
    ipaddress.IPv4Address(host)
    if int(port) > _MAX_PORT:
        raise ValueError(f'port {port} is above {_MAX_PORT}')
    return address


Address = Annotated[
    str,
    Field(pattern=r'^[0-9.]+:[0-9]{1,5}$'),
    AfterValidator(_check_address),
]


def _check_remote(address: str) -> str:
    host, _, port = address.rpartition(':')
    ip = ipaddress.IPv4Address(host)
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise ValueError(f'{host} is not the address of one host')
    if int(port) == 0:
        raise ValueError('nothing can be sent to port 0')
    return address


# An address that can be connected to; one to listen on may leave the port open.
RemoteAddress = Annotated[Address, AfterValidator(_check_remote)]


class FrozenModel(BaseModel):
    """Base class of immutable models that reject unknown keys."""

    model_config = ConfigDict(frozen=True, extra='forbid', allow_inf_nan=False)


class ServiceKind(enum.Enum):
    """Kind of the targets of a service."""

    MODEL = 'model'
    PLAIN = 'plain'


class Organisation(FrozenModel):
    """A customer of the fleet.

    :param weight: weight of its fair share relative to other organisations.
    :param key_digests: SHA-256 digests of its API keys in hexadecimal.
    """

    id: Annotated[OrganisationId, _Identifier]
    weight: float = Field(default=1.0, gt=0, le=1000)
    key_digests: tuple[_Digest, ...] = ()


class ServiceLimits(FrozenModel):
    """Limits and timeouts of a service; an overlay may override them."""

    queue_limit_count: int = Field(default=200, ge=1, le=100_000)
    max_body_bytes: int = Field(default=1_048_576, ge=1, le=67_108_864)
    deadline_seconds: float = Field(default=120.0, gt=0, le=3600)
    connect_timeout_seconds: float = Field(default=2.0, gt=0, le=60)
    first_byte_timeout_seconds: float = Field(default=60.0, gt=0, le=3600)
    progress_timeout_seconds: float = Field(default=15.0, gt=0, le=600)


class Route(FrozenModel):
    """Idempotency of requests to a path prefix of a plain service."""

    path_prefix: str = Field(pattern='^/')
    methods: tuple[str, ...] = ('GET', 'HEAD')
    idempotent: bool


class Target(FrozenModel):
    """A back end of a service.

    :param slots_count: number of requests that it runs concurrently.
    :param drained: whether routers send it no new requests.
    """

    id: Annotated[TargetId, _Identifier]
    address: Address
    failure_domain: FailureDomain
    slots_count: int = Field(ge=1, le=1024)
    drained: bool = False


class Service(FrozenModel):
    """A service whose targets are shared by the organisations.

    :param idempotent: idempotency of requests that match no route.
    :param short_request_units: largest estimate, in units, of a short request.
    """

    id: Annotated[ServiceId, _Identifier]
    kind: ServiceKind
    idempotent: bool = False
    routes: tuple[Route, ...] = ()
    short_request_units: float = Field(default=200.0, gt=0)
    limits: ServiceLimits = ServiceLimits()
    targets: tuple[Target, ...] = ()


class FleetConfig(FrozenModel):
    """Configuration that is active at a router."""

    organisations: tuple[Organisation, ...]
    services: tuple[Service, ...]

    @functools.cached_property
    def organisations_by_id(self) -> dict[OrganisationId, Organisation]:
        """Return the organisations by their id."""
        return {entry.id: entry for entry in self.organisations}

    @functools.cached_property
    def services_by_id(self) -> dict[ServiceId, Service]:
        """Return the services by their id."""
        return {entry.id: entry for entry in self.services}

    @functools.cached_property
    def organisation_ids_by_key_digest(self) -> dict[str, OrganisationId]:
        """Return the organisation of each API key digest."""
        return {
            digest: entry.id
            for entry in self.organisations
            for digest in entry.key_digests
        }

    @model_validator(mode='after')
    def _check_unique(self) -> Self:
        targets = [
            target.id for service in self.services for target in service.targets
        ]
        digests = [
            digest
            for entry in self.organisations
            for digest in entry.key_digests
        ]
        _require_unique(
            'organisation', [entry.id for entry in self.organisations]
        )
        _require_unique('service', [entry.id for entry in self.services])
        _require_unique('target', targets)
        _require_unique('API key digest', digests)
        return self


def _require_unique(noun: str, names: Sequence[str]) -> None:
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        listed = ', '.join(repeated)
        raise ValueError(f'{noun} listed more than once: {listed}')
