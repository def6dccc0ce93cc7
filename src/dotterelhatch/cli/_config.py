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
    format_time,
    print_output,
    print_table,
    read_current_config,
    run_with_store,
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
_EMPTY_DOCUMENT = ConfigDocument.model_validate(
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
    print_output(as_json, summary, ['valid', *lines])


@config_app.command(
    epilog='Example: dotterelhatch config diff examples/ramps '
    '--tables http://127.0.0.1:21901'
)
def diff(
    files: FilesArgument, tables: TablesOption, as_json: JsonOption = False
) -> None:
    """Print what the files would change in the stored configuration."""
    document = load_documents(files)
    stored = run_with_store(tables, ConfigStore.read)
    before = _EMPTY_DOCUMENT if stored is None else stored.decode()
    version = 0 if stored is None else stored.version
    changes = diff_documents(before, document)
    print_output(
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
        typer.Option(min=0, help='Version that the edit is based on; 0: none.'),
    ],
    author: AuthorOption,
    routers: OptionalRoutersOption = None,
    wait: Annotated[
        bool,
        typer.Option('--wait', help='Wait until the routers have applied it.'),
    ] = False,
    wait_seconds: Annotated[
        float, typer.Option(min=0, help='Limit of --wait in seconds.')
    ] = 30,
    as_json: JsonOption = False,
) -> None:
    """Store the files as the next version.

    If another operator has changed the configuration in between, nothing is
    stored and both edits are shown.
    """
    if wait and not routers:
        raise typer.BadParameter('--wait needs at least one --router')
    document = load_documents(files)
    stored = _store_document(tables, document, ConfigVersion(against), author)
    summary = _summarise(stored)
    if not as_json:
        typer.echo(f'stored {_format_summary(summary)}')
    reported_versions: list[_wait.ReportedVersion] = []
    if wait:
        reported_versions = _wait_until_active(
            stored, routers or (), wait_seconds, as_json
        )
    if as_json:
        rows = [reported.to_json() for reported in reported_versions]
        print_output(True, {**summary, 'routers': rows}, ())
    _require_active(reported_versions, stored.version)


@config_app.command(
    'show',
    epilog='Example: dotterelhatch config show --site kochi-a '
    '--tables http://127.0.0.1:21901',
)
def show_config(
    tables: TablesOption,
    version: Annotated[
        int | None,
        typer.Option(
            min=1, help='Version to print instead of the current one.'
        ),
    ] = None,
    site: SiteOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print the stored configuration, whole or as effective at a site."""
    stored = _find_version(tables, version)
    document = stored.decode()
    content = _to_json_value(document)
    if site is not None:
        content = _to_json_value(
            effective_config(document, FailureDomain(site))
        )
    summary = _summarise(stored)
    print_output(
        as_json,
        {**summary, 'source': tables, 'document': content},
        [
            f'# {_format_summary(summary)}, source {tables}',
            *_format_yaml(content),
        ],
    )


@config_app.command(
    epilog='Example: dotterelhatch config history '
    '--tables http://127.0.0.1:21901'
)
def history(tables: TablesOption, as_json: JsonOption = False) -> None:
    """List the stored versions, the latest first."""
    stored_versions = run_with_store(tables, ConfigStore.history)
    print_table(
        as_json,
        [_summarise(stored) for stored in stored_versions],
        tables,
        ('version', 'time', 'author', 'digest'),
    )


def _store_document(
    tables: str, document: ConfigDocument, against: ConfigVersion, author: str
) -> StoredConfig:
    try:
        return run_with_store(
            tables, lambda store: store.apply(document, against, author)
        )
    except ConfigConflict as conflict:
        stored_versions = run_with_store(tables, ConfigStore.history)
        raise DotterelhatchError(
            conflict.kind,
            '\n'.join(_describe_conflict(conflict, document, stored_versions)),
        ) from conflict


def _describe_conflict(
    conflict: ConfigConflict,
    document: ConfigDocument,
    stored_versions: Sequence[StoredConfig],
) -> Iterator[str]:
    yield conflict.detail
    current = conflict.current
    if current is not None and current.document == encode_document(document):
        yield 'the stored configuration is the same as yours'
        return
    documents_by_version = {
        stored.version: stored.decode() for stored in stored_versions
    }
    documents_by_version[ConfigVersion(0)] = _EMPTY_DOCUMENT
    base_document = documents_by_version.get(conflict.expected_version)
    if base_document is None:
        yield f'version {conflict.expected_version} is no longer stored'
        return
    if current is not None:
        yield f'their edit since version {conflict.expected_version}:'
        yield from diff_documents(base_document, current.decode())
    yield f'your edit since version {conflict.expected_version}:'
    yield from diff_documents(base_document, document)


def _wait_until_active(
    stored: StoredConfig,
    routers: Sequence[str],
    limit_seconds: float,
    as_json: bool,
) -> list[_wait.ReportedVersion]:
    return _clients.run(
        _wait.wait_for_version(
            routers,
            stored.version,
            stored.time_seconds,
            limit_seconds,
            functools.partial(
                _print_reported_versions, stored.version, as_json
            ),
        )
    )


def _print_reported_versions(
    version: ConfigVersion,
    as_json: bool,
    reported_versions: Sequence[_wait.ReportedVersion],
) -> None:
    if not as_json:
        print_output(
            False, None, _wait.format_lines(reported_versions, version)
        )


def _format_summary(summary: Mapping[str, Any]) -> str:
    return ', '.join(f'{name} {entry}' for name, entry in summary.items())


def _require_active(
    reported_versions: Sequence[_wait.ReportedVersion], version: ConfigVersion
) -> None:
    missing = [
        reported.address
        for reported in reported_versions
        if reported.missing_seconds is not None
    ]
    if missing:
        listed = ', '.join(missing)
        raise DotterelhatchError(
            ErrorKind.NOT_READY,
            f'version {version} is stored but not reported active by {listed}',
        )


def _find_version(tables: str, version: int | None) -> StoredConfig:
    if version is None:
        return read_current_config(tables)
    for stored in run_with_store(tables, ConfigStore.history):
        if stored.version == version:
            return stored
    raise DotterelhatchError(
        ErrorKind.NOT_FOUND, f'version {version} is not stored at {tables}'
    )


def _summarise(stored: StoredConfig) -> dict[str, Any]:
    return {
        'version': stored.version,
        'time': format_time(stored.time_seconds),
        'author': stored.author,
        'digest': stored.digest,
    }


def _to_json_value(model: Any) -> Any:
    return json.loads(model.model_dump_json(exclude_unset=True))


def _format_yaml(content: Any) -> list[str]:
    stream = io.StringIO()
    writer = YAML(typ='safe', pure=True)
    writer.default_flow_style = False
    writer.dump(content, stream)
    return stream.getvalue().splitlines()
