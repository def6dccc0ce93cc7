"""Routing table: services of the routes and organisations of the API keys."""

import enum
import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from dotterelhatch.ids import ConfigVersion, OrganisationId, ServiceId

__all__ = (
    'EngineSpec',
    'RequestLimits',
    'RouteKind',
    'RouteRule',
    'RoutingTable',
    'ServiceShare',
    'ServiceSpec',
    'WarmupSpec',
)


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried or have streamed responses."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that receives a share of the requests of a route.

    :param weight: relative to the other services of the route.
    """

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """A route: the requests to one host name below one path prefix.

    :param timeout_seconds: longest time until the complete response.
    :param objective_seconds: latency objective, for the response or for the
        first event of a stream.
    :param shares: services that the requests are distributed to.
    :param max_attempts_count: number of targets that may run one request.
    :param is_public: whether requests need no API key.
    :param is_resumable: whether a stream can continue at another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    shares: tuple[ServiceShare, ...]
    max_attempts_count: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self.kind is RouteKind.STREAMING


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties of the model engines of a service.

    :param slots_count: requests that one engine runs at a time.
    :param memory_tokens: capacity for the tokens of running requests and of
        cached prompt parts.
    """

    slots_count: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class WarmupSpec:
    """What the targets of a service tolerate while they are cold.

    :param duration_seconds: how long a target is cold after a start.
    :param requests_per_second: from all routers together.
    """

    duration_seconds: float
    requests_per_second: float


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service that requests are routed to.

    :param engine: None for a plain service, one without model engines.
    :param warmup: None if cold targets take as many requests as others.
    """

    id: ServiceId
    engine: EngineSpec | None = None
    warmup: WarmupSpec | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of the requests of callers.

    :param max_header_bytes: longest head of a request.
    :param max_body_bytes: largest body of a request.
    :param tokens_per_second: throughput that all organisations share, None
        for no limit.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    tokens_per_second: float | None = None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration that requests are routed by.

    :param organisations_by_key: organisation of each API key, None if no route
        needs a key. If it is empty, no key is valid.
    """

    version: ConfigVersion
    routes: tuple[RouteRule, ...]
    services: Mapping[ServiceId, ServiceSpec]
    limits: RequestLimits
    organisations_by_key: Mapping[str, OrganisationId] | None = None
    _by_host: dict[str, dict[str, RouteRule]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    _objectives: dict[ServiceId, float] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        """Index the routes by host and prefix."""
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
            for share in route.shares:
                known = self._objectives.get(share.service, math.inf)
                self._objectives[share.service] = min(
                    known, route.objective_seconds
                )

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix of the path.

        :param path: path of the request; a query string is ignored.
        :returns: None if no route matches.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        bare_path = path.partition('?')[0]
        end = bare_path.rfind('/')
        while end >= 0:
            route = prefixes.get(bare_path[: end + 1])
            if route is not None:
                return route
            end = bare_path.rfind('/', 0, end)
        return None

    def shortest_objective_seconds(self, service: ServiceId) -> float:
        """Return the shortest objective of all routes to a service."""
        return self._objectives.get(service, math.inf)

    def find_organisation(self, key: str) -> OrganisationId | None:
        """Return the organisation of an API key, None if it has none."""
        if self.organisations_by_key is None:
            return None
        return self.organisations_by_key.get(key)

    def needs_key(self, route: RouteRule) -> bool:
        """Return whether requests of a route need an API key."""
        return self.organisations_by_key is not None and not route.is_public


def pick_service(route: RouteRule, rng: random.Random) -> ServiceId:
    """Return a service of the route, selected at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
