"""The configuration document: a base and one overlay per site.

A site is a failure domain. Organisations, their weights and keys, and services
can be set in the base only, because shares are comparable only if every router
uses the same values.
"""

import hashlib
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any, Self

from pydantic import Field, ValidationError, model_validator
from pydantic_core import InitErrorDetails, PydanticCustomError

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.fleet import (
    FleetConfig,
    FrozenModel,
    Organisation,
    Service,
    ServiceLimits,
    Target,
)
from dotterelhatch.ids import FailureDomain, ServiceId, TargetId
from dotterelhatch.settings import RouterSettings
from dotterelhatch.yamlfile import (
    ContentProblem,
    FileProblem,
    InvalidFile,
    KeyPath,
    YamlFile,
    format_path,
    read_yaml,
    validate,
)

__all__ = (
    'BaseDocument',
    'ConfigDocument',
    'Overlay',
    'ServiceOverlay',
    'decode_document',
    'diff_documents',
    'document_digest',
    'effective_config',
    'encode_document',
    'json_schemas',
    'load_documents',
    'set_drained',
)

_Site = Annotated[FailureDomain, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_BASE_NAME = 'base.yaml'
_OVERLAY_DIRECTORY = 'overlays'
_BASE_ONLY_KEYS = frozenset(
    (
        'organisations',
        'weight',
        'weights',
        'keys',
        'key_digests',
        'kind',
        'idempotent',
        'routes',
        'short_request_units',
    )
)
_BASE_ONLY_REASON = (
    'belongs in the base: organisations, weights, keys and services must be '
    'the same at every site, or shares would depend on the entry router'
)


class ServiceOverlay(FrozenModel):
    """Changes of one service at a site.

    :param limits: limits for the routers of the site; fields that are set
        override those of the base.
    :param targets: additional targets, all located at the site.
    :param drained: ids of targets to which no router sends new requests.
    """

    limits: ServiceLimits = ServiceLimits()
    targets: tuple[Target, ...] = ()
    drained: tuple[TargetId, ...] = ()


class Overlay(FrozenModel):
    """Changes of services at one site, by service id."""

    services: dict[ServiceId, ServiceOverlay] = Field(default_factory=dict)


class BaseDocument(FrozenModel):
    """Part of the configuration that is common to all sites."""

    organisations: tuple[Organisation, ...]
    services: tuple[Service, ...]


class ConfigDocument(FrozenModel):
    """Complete configuration: the base and all overlays, versioned as one."""

    base: BaseDocument
    overlays: dict[_Site, Overlay] = Field(default_factory=dict)

    @model_validator(mode='after')
    def _check_references(self) -> Self:
        problems = list(_check_content(_dump(self)))
        if problems:
            raise ValidationError.from_exception_data(
                'ConfigDocument',
                [
                    InitErrorDetails(
                        type=PydanticCustomError(
                            'reference', '{reason}', {'reason': problem.message}
                        ),
                        loc=problem.path,
                        input=None,
                    )
                    for problem in problems
                ],
            )
        return self


def load_documents(
    source: Path | str | Iterable[Path | str],
) -> ConfigDocument:
    """Read ``base.yaml`` and ``overlays/<site>.yaml``.

    :param source: the directory, or the files: ``base.yaml`` is the base, any
        other file is the overlay of the site in its file name.
    :raises InvalidFile: CONFIG_INVALID with the problems of all files.
    """
    base, overlays = _read_files(_list_files(source))
    document = _validate_files(base, overlays)
    files = (base, *overlays.values())
    if isinstance(document, ConfigDocument) and not _parse_problems(files):
        return document
    raise InvalidFile(
        ErrorKind.CONFIG_INVALID,
        [
            *_parse_problems(files),
            *_locate_problems(
                [] if isinstance(document, ConfigDocument) else document,
                base,
                overlays,
            ),
        ],
    )


def effective_config(
    document: ConfigDocument, site: FailureDomain
) -> FleetConfig:
    """Return the configuration for the routers of a site.

    It holds the targets of all sites, because any router may be the
    coordinator of any target. Limits and timeouts come from the base and the
    overlay of this site.
    """
    overlays = [entry for _, entry in sorted(document.overlays.items())]
    site_overlay = document.overlays.get(site, Overlay())
    return FleetConfig(
        organisations=document.base.organisations,
        services=tuple(
            _merge_service(service, overlays, site_overlay)
            for service in document.base.services
        ),
    )


def encode_document(document: ConfigDocument) -> bytes:
    """Encode a document as JSON; equal documents have equal encodings.

    Fields that are not set are omitted, so a router of an earlier release
    accepts a document that does not use newer fields.
    """
    return json.dumps(
        _dump(document), sort_keys=True, separators=(',', ':')
    ).encode()


def decode_document(encoded: bytes) -> ConfigDocument:
    """Decode and validate a document.

    :raises DotterelhatchError: CONFIG_INVALID if it is malformed or invalid.
    """
    try:
        content = json.loads(encoded)
    except (ValueError, RecursionError) as error:
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID, f'the document is not JSON: {error}'
        ) from error
    document = validate(ConfigDocument, content)
    if isinstance(document, ConfigDocument):
        return document
    raise DotterelhatchError(
        ErrorKind.CONFIG_INVALID,
        '\n'.join(
            f'{format_path(problem.path)}: {problem.message}'
            for problem in map(_explain_base_only_key, document)
        ),
    )


def document_digest(encoded: bytes) -> str:
    """Return the SHA-256 digest of an encoded document in hexadecimal."""
    return hashlib.sha256(encoded).hexdigest()


def diff_documents(
    before: ConfigDocument, after: ConfigDocument
) -> tuple[str, ...]:
    """Return one line per difference.

    A line starts with ``+`` (added), ``-`` (removed) or ``~`` (changed).
    """
    return tuple(_diff('', _dump(before), _dump(after)))


def set_drained(
    document: ConfigDocument, target: TargetId, drained: bool
) -> ConfigDocument:
    """Return a copy of the document with a target drained or undrained.

    :raises DotterelhatchError: NOT_FOUND if no target has this id.
    """
    content = _dump(document)
    entries = [
        entry for _, entry in _collect_targets(content) if entry['id'] == target
    ]
    if not entries:
        raise DotterelhatchError(
            ErrorKind.NOT_FOUND, f'the configuration has no target {target}'
        )
    for entry in entries:
        entry['drained'] = drained
    if not drained:
        for overlay in content.get('overlays', {}).values():
            for change in overlay.get('services', {}).values():
                if target in change.get('drained', ()):
                    change['drained'].remove(target)
    return decode_document(json.dumps(content).encode())


def json_schemas() -> dict[str, Any]:
    """Return the JSON schema of each kind of file, for use in editors."""
    return {
        'base': BaseDocument.model_json_schema(),
        'overlay': Overlay.model_json_schema(),
        'router': RouterSettings.model_json_schema(),
    }


def _dump(document: ConfigDocument) -> dict[str, Any]:
    return document.model_dump(mode='json', exclude_unset=True)


def _merge_service(
    service: Service, overlays: Sequence[Overlay], site_overlay: Overlay
) -> Service:
    changes = [
        overlay.services[service.id]
        for overlay in overlays
        if service.id in overlay.services
    ]
    drained = {target for change in changes for target in change.drained}
    all_targets = list(service.targets)
    for change in changes:
        all_targets.extend(change.targets)
    limits = site_overlay.services.get(service.id, ServiceOverlay()).limits
    return service.model_copy(
        update={
            'limits': service.limits.model_copy(
                update=limits.model_dump(exclude_unset=True)
            ),
            'targets': tuple(
                target.model_copy(update={'drained': True})
                if target.id in drained
                else target
                for target in all_targets
            ),
        }
    )


def _list_files(source: Path | str | Iterable[Path | str]) -> list[Path]:
    if not isinstance(source, (str, Path)):
        return [Path(path) for path in source]
    directory = Path(source)
    overlays = sorted((directory / _OVERLAY_DIRECTORY).glob('*.yaml'))
    return [directory / _BASE_NAME, *overlays]


def _read_files(
    paths: Sequence[Path],
) -> tuple[YamlFile, dict[str, YamlFile]]:
    base = None
    overlays: dict[str, YamlFile] = {}
    for path in paths:
        parsed = read_yaml(path)
        if path.name == _BASE_NAME and base is None:
            base = parsed
            continue
        if path.stem in overlays or path.name == _BASE_NAME:
            parsed.problems.append(
                FileProblem(str(path), 1, '', 'another file has the same name')
            )
        overlays[path.stem] = parsed
    if base is None:
        base = YamlFile(_BASE_NAME)
        base.problems.append(
            FileProblem(
                _BASE_NAME,
                1,
                '',
                'the base file is missing from the list of files',
            )
        )
    return base, overlays


def _validate_files(
    base: YamlFile, overlays: Mapping[str, YamlFile]
) -> ConfigDocument | list[ContentProblem]:
    content = {
        'base': base.content,
        'overlays': {site: parsed.content for site, parsed in overlays.items()},
    }
    document = validate(ConfigDocument, content)
    if isinstance(document, ConfigDocument):
        return document
    if not base.content:
        return document
    # Pydantic calls the validator of references only if all fields are valid,
    # so references are also checked here to report every problem at once.
    return [*document, *_check_content(content)]


def _parse_problems(files: Iterable[YamlFile]) -> list[FileProblem]:
    return [problem for parsed in files for problem in parsed.problems]


def _locate_problems(
    problems: Iterable[ContentProblem],
    base: YamlFile,
    overlays: Mapping[str, YamlFile],
) -> Iterator[FileProblem]:
    for problem in map(_explain_base_only_key, problems):
        parsed, path = base, problem.path[1:]
        if problem.path[0] == 'overlays':
            parsed, path = overlays[str(problem.path[1])], problem.path[2:]
        # Without any parsed content, only the parse problems are meaningful.
        if parsed.content or not parsed.problems:
            yield parsed.locate(ContentProblem(path, problem.message))


def _explain_base_only_key(problem: ContentProblem) -> ContentProblem:
    path = problem.path
    in_overlay = bool(path) and path[0] == 'overlays'
    is_unknown_key = problem.message.startswith('unknown key')
    if in_overlay and is_unknown_key and path[-1] in _BASE_ONLY_KEYS:
        return ContentProblem(path, _BASE_ONLY_REASON)
    return problem


def _walk(
    content: Any, pattern: Sequence[str], path: KeyPath = ()
) -> Iterator[tuple[KeyPath, Any]]:
    """Yield the values whose path matches a pattern.

    ``*`` matches any key or index. The content may have any structure, as it
    may not be validated yet.
    """
    if not pattern:
        yield path, content
        return
    for key, entry in _list_children(content):
        if pattern[0] in {'*', key}:
            yield from _walk(entry, pattern[1:], (*path, key))


def _list_children(content: Any) -> Iterable[tuple[str | int, Any]]:
    if isinstance(content, dict):
        return content.items()
    if isinstance(content, list):
        return enumerate(content)
    return ()


_LocatedEntry = tuple[KeyPath, dict[str, Any]]
_BASE_TARGETS = ('base', 'services', '*', 'targets', '*')
_OVERLAY_TARGETS = ('overlays', '*', 'services', '*', 'targets', '*')
_UNIQUE_VALUES = (
    ('organisation', (('base', 'organisations', '*', 'id'),)),
    ('API key digest', (('base', 'organisations', '*', 'key_digests', '*'),)),
    ('service', (('base', 'services', '*', 'id'),)),
    ('target', ((*_BASE_TARGETS, 'id'), (*_OVERLAY_TARGETS, 'id'))),
    (
        'target address',
        ((*_BASE_TARGETS, 'address'), (*_OVERLAY_TARGETS, 'address')),
    ),
)


def _check_content(content: Mapping[str, Any]) -> Iterator[ContentProblem]:
    """Yield the problems that concern more than one entry."""
    for noun, patterns in _UNIQUE_VALUES:
        yield from _check_unique(content, noun, patterns)
    yield from _check_sites(content)
    yield from _check_services(content)
    yield from _check_drained(content)


def _check_unique(
    content: Mapping[str, Any],
    noun: str,
    patterns: Sequence[Sequence[str]],
) -> Iterator[ContentProblem]:
    seen: set[str] = set()
    for pattern in patterns:
        for path, entry in _walk(content, pattern):
            name = str(entry)
            if name in seen:
                yield ContentProblem(
                    path, f'{noun} {name} is listed more than once'
                )
            seen.add(name)


def _collect_targets(content: Mapping[str, Any]) -> Iterator[_LocatedEntry]:
    for pattern in (_BASE_TARGETS, _OVERLAY_TARGETS):
        for path, entry in _walk(content, pattern):
            if isinstance(entry, dict):
                yield path, entry


def _check_sites(content: Mapping[str, Any]) -> Iterator[ContentProblem]:
    pattern = (*_OVERLAY_TARGETS, 'failure_domain')
    for path, domain in _walk(content, pattern):
        if domain != path[1]:
            yield ContentProblem(
                path,
                f'{domain} is not the site of this overlay ({path[1]})',
            )


def _check_services(content: Mapping[str, Any]) -> Iterator[ContentProblem]:
    names = {
        str(name) for _, name in _walk(content, ('base', 'services', '*', 'id'))
    }
    for path, _ in _walk(content, ('overlays', '*', 'services', '*')):
        if path[-1] not in names:
            yield ContentProblem(path, 'the base has no service with this id')


def _check_drained(content: Mapping[str, Any]) -> Iterator[ContentProblem]:
    services = dict(_walk(content, ('base', 'services', '*', 'id')))
    names = {
        (services.get((*path[:3], 'id'), path[3]), entry.get('id'))
        for path, entry in _collect_targets(content)
    }
    pattern = ('overlays', '*', 'services', '*', 'drained', '*')
    for path, target in _walk(content, pattern):
        # _check_services reports unknown services.
        is_known = path[3] in services.values()
        if is_known and (path[3], target) not in names:
            yield ContentProblem(path, f'the service has no target {target}')


def _diff(path: str, before: Any, after: Any) -> Iterator[str]:
    if before == after:
        return
    left, right = _entries_by_segment(before), _entries_by_segment(after)
    if left is None or right is None:
        yield f'~ {path}: {_to_json(before)} -> {_to_json(after)}'
        return
    for name in sorted(left.keys() | right.keys()):
        inner = f'{path}{name}'.removeprefix('.')
        if name in left and name in right:
            yield from _diff(inner, left[name], right[name])
            continue
        sign, entries = ('-', left) if name in left else ('+', right)
        yield f'{sign} {inner}: {_to_json(entries[name])}'


def _entries_by_segment(content: Any) -> dict[str, Any] | None:
    """Return the entries of a mapping, or of a list whose entries have ids.

    :returns: entries by path segment; None for a value without such entries,
        which is compared as a whole.
    """
    if isinstance(content, dict):
        return {f'.{key}': entry for key, entry in content.items()}
    if isinstance(content, list) and all(
        isinstance(entry, dict) and 'id' in entry for entry in content
    ):
        return {f'[{entry["id"]}]': entry for entry in content}
    return None


def _to_json(content: Any) -> str:
    return json.dumps(content, sort_keys=True)
