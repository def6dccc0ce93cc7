"""Tests of the routing table and of the selection of services."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.routes import (
    RequestLimits,
    RouteKind,
    RouteRule,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
    pick_service,
)
from dotterelhatch.ids import ConfigVersion, OrganisationId, ServiceId

ALPHA = ServiceId('alpha')
BETA = ServiceId('beta')


def _route(
    prefix: str, host: str = 'a.example', **changes: object
) -> RouteRule:
    fields = {
        'name': f'{host}{prefix}',
        'host': host,
        'path_prefix': prefix,
        'kind': RouteKind.IDEMPOTENT,
        'timeout_seconds': 1.0,
        'objective_seconds': 0.2,
        'shares': (ServiceShare(ALPHA, 1),),
    }
    return RouteRule(**(fields | changes))  # type: ignore[arg-type]


def _table(*routes: RouteRule) -> RoutingTable:
    return RoutingTable(
        version=ConfigVersion(1),
        routes=routes,
        services={ALPHA: ServiceSpec(ALPHA)},
        limits=RequestLimits(),
        organisations_by_key={'k': OrganisationId('o')},
    )


_SEGMENTS = st.lists(st.sampled_from(['a', 'b', 'ab']), max_size=4)


@given(st.lists(_SEGMENTS, max_size=8), _SEGMENTS, st.booleans())
def test_longest_prefix_is_selected(
    prefixes: list[list[str]], path: list[str], query: bool
) -> None:
    """Guards against a shorter or a similar prefix that matches first.

    For example, a route for /a/ must not get the path /ab/, and slashes in a
    query string do not count.
    """
    routes = {'/' + ''.join(f'{one}/' for one in prefix) for prefix in prefixes}
    target = '/' + '/'.join(path)
    expected = max(
        (one for one in routes if target.startswith(one)),
        key=len,
        default=None,
    )
    table = _table(*(_route(one) for one in sorted(routes)))
    found = table.find_route('A.example', target + '?q=/z/' * query)
    assert (found.path_prefix if found else None) == expected


def test_route_applies_to_its_host_only() -> None:
    """Guards against requests to one host that reach a service of another.

    Routes of different hosts may have the same path prefix.
    """
    table = _table(_route('/a/', host='a.example'))
    assert table.find_route('b.example', '/a/1') is None


def test_services_are_selected_by_weight() -> None:
    """Guards against a distribution that ignores the weights."""
    rng = random.Random(1)
    route = _route(
        '/a/', shares=(ServiceShare(ALPHA, 90), ServiceShare(BETA, 10))
    )
    counts = Counter(pick_service(route, rng) for _ in range(2000))
    assert 0.06 < counts[BETA] / 2000 < 0.14


def test_shortest_objective_is_over_all_routes() -> None:
    """Guards against a queue too long for the route with the least time.

    Routes with different objectives share the targets of a service, so the
    shortest objective limits the queues for all of them.
    """
    table = _table(
        _route('/a/', objective_seconds=0.5),
        _route('/b/', objective_seconds=0.3),
    )
    assert table.shortest_objective_seconds(ALPHA) == 0.3
