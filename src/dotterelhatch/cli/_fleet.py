"""Listings of the configuration and drains of targets."""

import functools
import hashlib
import json
import secrets
from enum import Enum
from typing import Annotated

import typer

from dotterelhatch import document
from dotterelhatch.cli._common import (
    AuthorOption,
    JsonOption,
    SiteOption,
    TablesOption,
    find_current,
    show,
    show_table,
    use_store,
)
from dotterelhatch.fleet import FleetConfig, Service
from dotterelhatch.ids import FailureDomain, TargetId

__all__ = (
    'FileKind',
    'change_drained',
    'keys_app',
    'list_organisations',
    'list_services',
    'print_schema',
)

keys_app = typer.Typer(no_args_is_help=True, help='API keys of organisations.')
_KEY_BYTES = 32


class FileKind(Enum):
    """The files that a schema describes."""

    BASE = 'base'
    OVERLAY = 'overlay'
    ROUTER = 'router'


def list_organisations(
    tables: TablesOption, as_json: JsonOption = False
) -> None:
    """List the organisations with their share of the weights."""
    config, source = _read(tables, None)
    total = sum(one.weight for one in config.organisations)
    rows = [
        {
            'id': one.id,
            'weight': one.weight,
            'share_percent': round(100 * one.weight / total, 2),
            'keys_count': len(one.key_digests),
        }
        for one in config.organisations
    ]
    columns = ('id', 'weight', 'share_percent', 'keys_count')
    show_table(as_json, rows, source, columns)


def list_services(
    tables: TablesOption, site: SiteOption = None, as_json: JsonOption = False
) -> None:
    """List the services with their targets and limits."""
    config, source = _read(tables, site)
    rows = [_describe_service(service) for service in config.services]
    columns = (
        'id',
        'kind',
        'targets_count',
        'slots_count',
        'drained',
        'deadline_seconds',
        'queue_limit_count',
    )
    show_table(as_json, rows, source, columns)


def change_drained(
    tables: str, target: str, author: str, *, drained: bool, as_json: bool
) -> None:
    """Drain a target or put it back in use by a new version."""
    change = functools.partial(
        document.set_drained, target=TargetId(target), drained=drained
    )
    stored = use_store(tables, lambda store: store.edit(change, author))
    state = 'drained' if drained else 'in use'
    show(
        as_json,
        {'target': target, 'drained': drained, 'version': stored.version},
        [f'{target} is {state} in version {stored.version}'],
    )


@keys_app.command('new', epilog='Example: dotterelhatch keys new --json')
def new_key(as_json: JsonOption = False) -> None:
    """Print a new key and its hash for ``key_digests``.

    The key is not stored anywhere.
    """
    key = secrets.token_urlsafe(_KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    show(
        as_json,
        {'key': key, 'key_digest': digest},
        [f'key: {key}', f'key_digest: {digest}'],
    )


def print_schema(
    kind: Annotated[FileKind, typer.Argument(help='Which file.')],
    as_json: JsonOption = False,
) -> None:
    """Print the JSON schema of a file, for editors."""
    found = document.json_schemas()[kind.value]
    show(as_json, found, [json.dumps(found, indent=2, sort_keys=True)])


def drain_target(
    target: Annotated[str, typer.Argument(help='Target id.')],
    tables: TablesOption,
    author: AuthorOption,
    as_json: JsonOption = False,
) -> None:
    """Stop new work for a target at every router."""
    change_drained(tables, target, author, drained=True, as_json=as_json)


def undrain_target(
    target: Annotated[str, typer.Argument(help='Target id.')],
    tables: TablesOption,
    author: AuthorOption,
    as_json: JsonOption = False,
) -> None:
    """Let a target receive new work again."""
    change_drained(tables, target, author, drained=False, as_json=as_json)


def _read(tables: str, site: str | None) -> tuple[FleetConfig, str]:
    stored = find_current(tables)
    config = document.effective_config(
        stored.decode(), FailureDomain(site or '')
    )
    where = 'without overrides' if site is None else f'as at site {site}'
    return config, f'{tables} version {stored.version} {where}'


def _describe_service(service: Service) -> dict[str, object]:
    drained = [target.id for target in service.targets if target.drained]
    return {
        'id': service.id,
        'kind': service.kind.value,
        'targets_count': len(service.targets),
        'slots_count': sum(one.slots_count for one in service.targets),
        'drained': ', '.join(drained) or 'none',
        'deadline_seconds': service.limits.deadline_seconds,
        'queue_limit_count': service.limits.queue_limit_count,
    }
