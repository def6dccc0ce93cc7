"""Commands for organisations, services, targets, keys and schemas."""

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
    print_output,
    print_table,
    read_current_config,
    run_with_store,
)
from dotterelhatch.fleet import FleetConfig, Service
from dotterelhatch.ids import FailureDomain, TargetId

__all__ = (
    'FileKind',
    'keys_app',
    'list_organisations',
    'list_services',
    'print_schema',
    'set_target_drained',
)

keys_app = typer.Typer(no_args_is_help=True, help='API keys of organisations.')
_KEY_SIZE_BYTES = 32


class FileKind(Enum):
    """Kinds of files for which there is a JSON schema."""

    BASE = 'base'
    OVERLAY = 'overlay'
    ROUTER = 'router'


def list_organisations(
    tables: TablesOption, as_json: JsonOption = False
) -> None:
    """List the organisations with their share of the weights."""
    config, source = _read_effective_config(tables, None)
    total_weight = sum(
        organisation.weight for organisation in config.organisations
    )
    rows = [
        {
            'id': organisation.id,
            'weight': organisation.weight,
            'share_percent': round(100 * organisation.weight / total_weight, 2),
            'keys_count': len(organisation.key_digests),
        }
        for organisation in config.organisations
    ]
    columns = ('id', 'weight', 'share_percent', 'keys_count')
    print_table(as_json, rows, source, columns)


def list_services(
    tables: TablesOption, site: SiteOption = None, as_json: JsonOption = False
) -> None:
    """List the services with their targets and limits."""
    config, source = _read_effective_config(tables, site)
    rows = [_make_service_row(service) for service in config.services]
    columns = (
        'id',
        'kind',
        'targets_count',
        'slots_count',
        'drained',
        'deadline_seconds',
        'queue_limit_count',
    )
    print_table(as_json, rows, source, columns)


def set_target_drained(
    tables: str, target: str, author: str, *, drained: bool, as_json: bool
) -> None:
    """Store a version in which a target is drained or back in use."""
    change = functools.partial(
        document.set_drained, target=TargetId(target), drained=drained
    )
    stored = run_with_store(tables, lambda store: store.edit(change, author))
    state = 'drained' if drained else 'in use'
    print_output(
        as_json,
        {'target': target, 'drained': drained, 'version': stored.version},
        [f'{target} is {state} in version {stored.version}'],
    )


@keys_app.command('new', epilog='Example: dotterelhatch keys new --json')
def new_key(as_json: JsonOption = False) -> None:
    """Print a new API key and its SHA-256 digest for ``key_digests``.

    The key is not stored anywhere.
    """
    key = secrets.token_urlsafe(_KEY_SIZE_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    print_output(
        as_json,
        {'key': key, 'key_digest': digest},
        [f'key: {key}', f'key_digest: {digest}'],
    )


def print_schema(
    kind: Annotated[FileKind, typer.Argument(help='Kind of the file.')],
    as_json: JsonOption = False,
) -> None:
    """Print the JSON schema of a file, for editors."""
    json_schema = document.json_schemas()[kind.value]
    print_output(
        as_json,
        json_schema,
        [json.dumps(json_schema, indent=2, sort_keys=True)],
    )


def drain_target(
    target: Annotated[str, typer.Argument(help='Target id.')],
    tables: TablesOption,
    author: AuthorOption,
    as_json: JsonOption = False,
) -> None:
    """Stop new requests to a target from all routers."""
    set_target_drained(tables, target, author, drained=True, as_json=as_json)


def undrain_target(
    target: Annotated[str, typer.Argument(help='Target id.')],
    tables: TablesOption,
    author: AuthorOption,
    as_json: JsonOption = False,
) -> None:
    """Let a target receive new requests again."""
    set_target_drained(tables, target, author, drained=False, as_json=as_json)


def _read_effective_config(
    tables: str, site: str | None
) -> tuple[FleetConfig, str]:
    stored = read_current_config(tables)
    config = document.effective_config(
        stored.decode(), FailureDomain(site or '')
    )
    where = (
        'without overlays' if site is None else f'as effective at site {site}'
    )
    return config, f'{tables} version {stored.version} {where}'


def _make_service_row(service: Service) -> dict[str, object]:
    drained = [target.id for target in service.targets if target.drained]
    return {
        'id': service.id,
        'kind': service.kind.value,
        'targets_count': len(service.targets),
        'slots_count': sum(target.slots_count for target in service.targets),
        'drained': ', '.join(drained) or 'none',
        'deadline_seconds': service.limits.deadline_seconds,
        'queue_limit_count': service.limits.queue_limit_count,
    }
