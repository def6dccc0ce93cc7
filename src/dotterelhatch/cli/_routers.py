"""Commands for router processes."""

import json
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any

import typer

from dotterelhatch.cli import _clients
from dotterelhatch.cli._common import (
    JsonOption,
    RoutersOption,
    format_age,
    format_time,
    print_output,
    reported_age_seconds,
    reported_value,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.settingsfile import load_settings

__all__ = (
    'drain_router',
    'print_dump',
    'print_status',
    'run_router',
    'undrain_router',
)

_AddressArgument = Annotated[
    str, typer.Argument(help='Operations address ip:port.')
]


def run_router(
    settings: Annotated[
        Path, typer.Option('--settings', help='Settings file of the router.')
    ],
) -> None:
    """Run a router until a signal stops it."""
    raise typer.Exit(_clients.run_router(load_settings(settings)))


def print_status(routers: RoutersOption, as_json: JsonOption = False) -> None:
    """Print the status of each router and how it sees the other routers."""
    results = _clients.run(_clients.fetch_all(routers, '/status'))
    read_at = format_time(_clients.now_seconds())
    content = {
        address: {'error': router_status.detail}
        if isinstance(router_status, DotterelhatchError)
        else router_status
        for address, router_status in results.items()
    }
    print_output(
        as_json,
        {'read_at': read_at, 'routers': content},
        [*_format_status(content), f'read at {read_at}'],
    )
    failed_addresses = [
        name
        for name, router_status in content.items()
        if 'error' in router_status
    ]
    _require_responses(failed_addresses)


def print_dump(address: _AddressArgument, as_json: JsonOption = False) -> None:
    """Print the internal state of one router."""
    content = _clients.run(_clients.fetch_json(address, 'GET', '/dump'))
    print_output(
        as_json, content, [json.dumps(content, indent=2, sort_keys=True)]
    )


def drain_router(
    address: _AddressArgument, as_json: JsonOption = False
) -> None:
    """Let a router finish its requests and receive no new ones."""
    _post(address, '/drain', 'draining', as_json)


def undrain_router(
    address: _AddressArgument, as_json: JsonOption = False
) -> None:
    """Let a drained router receive requests again.

    A router that can only rejoin the fleet after a restart rejects this.
    """
    _post(address, '/undrain', 'in use', as_json)


def _post(address: str, path: str, state: str, as_json: bool) -> None:
    content = _clients.run(_clients.fetch_json(address, 'POST', path))
    print_output(as_json, content, [f'{address} is {state}'])


def _require_responses(failed_addresses: Sequence[str]) -> None:
    if failed_addresses:
        listed = ', '.join(failed_addresses)
        raise DotterelhatchError(
            ErrorKind.NOT_READY, f'no usable response from {listed}'
        )


def _format_status(
    content: Mapping[str, Mapping[str, Any]],
) -> Iterator[str]:
    for address, router_status in content.items():
        error = router_status.get('error')
        if error is not None:
            yield f'{address}: state unknown, {error}'
            continue
        router = _or_unknown(router_status.get('router_id'))
        version = _or_unknown(
            reported_value(router_status.get('config_version'))
        )
        yield f'{address}: {router}, configuration version {version}'
        for member in router_status.get('members', ()):
            yield f'  {_format_member(member)}'


def _format_member(member: Mapping[str, Any]) -> str:
    state = member.get('state')
    version = member.get('config_version')
    return (
        f'{_or_unknown(member.get("router"))}: '
        f'{_or_unknown(reported_value(state))}, '
        f'configuration version {_or_unknown(reported_value(version))}, '
        f'last contact {format_age(reported_age_seconds(state))} ago'
    )


def _or_unknown(reported: Any) -> str:
    return 'unknown' if reported is None else str(reported)
