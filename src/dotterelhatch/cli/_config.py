"""Commands for the configuration document."""

import functools
import io
import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Annotated, Any

import typer
from ruamel.yaml import YAML

from dotterelhatch.cli import _clients, _wait
from dotterelhatch.cli._common import (
    AuthorOption,
    FilesArgument,
    JsonOption,
    OptionalRoutersOption,
    SiteOption,
    TablesOption,
    find_current,
    format_time,
    show,
    show_table,
    use_store,
)
from dotterelhatch.configstore import ConfigConflict, ConfigStore, StoredConfig
from dotterelhatch.document import (
    ConfigDocument,
    diff_documents,
    document_digest,
    effective_config,
    encode_document,
    load_documents,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.ids import ConfigVersion, FailureDomain

__all__ = ('config_app',)

config_app = typer.Typer(
    no_args_is_help=True, help='Check, compare and apply the configuration.'
)
_EMPTY = ConfigDocument.model_validate(
    {'base': {'organisations': (), 'services': ()}}
)


@config_app.command(epilog='Example: dotterelhatch config check examples/ramps')
def check(files: FilesArgument, as_json: JsonOption = False) -> None:
    """Check the files and print every problem at once."""
    document = load_documents(files)
    summary = {
        'digest': document_digest(encode_document(document)),
        'organisations': len(document.base.organisations),
        'services': len(document.base.services),
        'sites': sorted(document.overlays),
        'targets': sum(
            len(service.targets)
            for service in effective_config(
                document, FailureDomain('')
            ).services
        ),
    }
    lines = [f'{name}: {entry}' for name, entry in summary.items()]
    show(as_json, summary, ['valid', *lines])


@config_app.command(
    epilog='Example: dotterelhatch config diff examples/ramps '
    '--tables http://127.0.0.1:21901'
)
def diff(
    files: FilesArgument, tables: TablesOption, as_json: JsonOption = False
) -> None:
    """Print what the files would change in the stored configuration."""
    document = load_documents(files)
    stored = use_store(tables, ConfigStore.read)
    before = _EMPTY if stored is None else stored.decode()
    version = 0 if stored is None else stored.version
    changes = diff_documents(before, document)
    show(
        as_json,
        {'against_version': version, 'source': tables, 'changes': changes},
        [f'against version {version} of {tables}', *changes],
    )


@config_app.command(
    epilog='Example: dotterelhatch config apply examples/ramps --against 4 '
    '--wait --router 127.0.0.1:21012 --router 127.0.0.1:21022'
)
def apply(  # noqa: WPS211  (each option is an argument)
    files: FilesArgument,
    tables: TablesOption,
    against: Annotated[
        int,
        typer.Option(
            min=0, help='Version that the edit was made against; 0: none.'
        ),
    ],
    author: AuthorOption,
    routers: OptionalRoutersOption = None,
    wait: Annotated[
        bool, typer.Option('--wait', help='Wait until it is in force.')
    ] = False,
    wait_seconds: Annotated[
        float, typer.Option(min=0, help='How long to wait.')
    ] = 30,
    as_json: JsonOption = False,
) -> None:
    """Store the files as the next version.

    When somebody else has changed the configuration in between, nothing is
    written and both edits are shown.
    """
    if wait and not routers:
        raise typer.BadParameter('--wait needs at least one --router')
    document = load_documents(files)
    stored = _apply(tables, document, ConfigVersion(against), author)
    described = _summarise(stored)
    if not as_json:
        typer.echo(f'stored {_join(described)}')
    states: list[_wait.RouterVersion] = []
    if wait:
        states = _wait_for(stored, routers or (), wait_seconds, as_json)
    if as_json:
        rows = [one.to_json() for one in states]
        show(True, {**described, 'routers': rows}, ())
    _require_in_force(states, stored.version)


@config_app.command(
    'show',
    epilog='Example: dotterelhatch config show --site kochi-a '
    '--tables http://127.0.0.1:21901',
)
def show_config(
    tables: TablesOption,
    version: Annotated[
        int | None, typer.Option(min=1, help='An earlier version.')
    ] = None,
    site: SiteOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print the stored configuration, whole or as in force at a site."""
    stored = _find_version(tables, version)
    document = stored.decode()
    content = _to_plain(document)
    if site is not None:
        content = _to_plain(effective_config(document, FailureDomain(site)))
    described = _summarise(stored)
    show(
        as_json,
        {**described, 'source': tables, 'document': content},
        [f'# {_join(described)}, source {tables}', *_format_yaml(content)],
    )


@config_app.command(
    epilog='Example: dotterelhatch config history '
    '--tables http://127.0.0.1:21901'
)
def history(tables: TablesOption, as_json: JsonOption = False) -> None:
    """List the kept versions, the latest first."""
    kept = use_store(tables, ConfigStore.history)
    show_table(
        as_json,
        [_summarise(stored) for stored in kept],
        tables,
        ('version', 'time', 'author', 'digest'),
    )


def _apply(
    tables: str, document: ConfigDocument, against: ConfigVersion, author: str
) -> StoredConfig:
    try:
        return use_store(
            tables, lambda store: store.apply(document, against, author)
        )
    except ConfigConflict as conflict:
        kept = use_store(tables, ConfigStore.history)
        raise DotterelhatchError(
            conflict.kind,
            '\n'.join(_describe_conflict(conflict, document, kept)),
        ) from conflict


def _describe_conflict(
    conflict: ConfigConflict,
    document: ConfigDocument,
    kept: Sequence[StoredConfig],
) -> Iterator[str]:
    yield conflict.detail
    current = conflict.current
    if current is not None and current.document == encode_document(document):
        yield 'the stored configuration is the same as yours'
        return
    bases = {one.version: one.decode() for one in kept}
    bases[ConfigVersion(0)] = _EMPTY
    base = bases.get(conflict.expected_version)
    if base is None:
        yield f'version {conflict.expected_version} is not kept any more'
        return
    if current is not None:
        yield f'their edit since version {conflict.expected_version}:'
        yield from diff_documents(base, current.decode())
    yield f'your edit since version {conflict.expected_version}:'
    yield from diff_documents(base, document)


def _wait_for(
    stored: StoredConfig,
    routers: Sequence[str],
    limit_seconds: float,
    as_json: bool,
) -> list[_wait.RouterVersion]:
    return _clients.run(
        _wait.wait_for_version(
            routers,
            stored.version,
            stored.time_seconds,
            limit_seconds,
            functools.partial(_print_states, stored.version, as_json),
        )
    )


def _print_states(
    version: ConfigVersion,
    as_json: bool,
    states: Sequence[_wait.RouterVersion],
) -> None:
    if not as_json:
        show(False, None, _wait.describe(states, version))


def _join(described: Mapping[str, Any]) -> str:
    return ', '.join(f'{name} {entry}' for name, entry in described.items())


def _require_in_force(
    states: Sequence[_wait.RouterVersion], version: ConfigVersion
) -> None:
    missing = [one.address for one in states if one.missing_seconds is not None]
    if missing:
        listed = ', '.join(missing)
        raise DotterelhatchError(
            ErrorKind.NOT_READY,
            f'version {version} is stored and not reported in force by '
            f'{listed}',
        )


def _find_version(tables: str, version: int | None) -> StoredConfig:
    if version is None:
        return find_current(tables)
    for stored in use_store(tables, ConfigStore.history):
        if stored.version == version:
            return stored
    raise DotterelhatchError(
        ErrorKind.NOT_FOUND, f'version {version} is not kept at {tables}'
    )


def _summarise(stored: StoredConfig) -> dict[str, Any]:
    return {
        'version': stored.version,
        'time': format_time(stored.time_seconds),
        'author': stored.author,
        'digest': stored.digest,
    }


def _to_plain(model: Any) -> Any:
    return json.loads(model.model_dump_json(exclude_unset=True))


def _format_yaml(content: Any) -> list[str]:
    stream = io.StringIO()
    writer = YAML(typ='safe', pure=True)
    writer.default_flow_style = False
    writer.dump(content, stream)
    return stream.getvalue().splitlines()
