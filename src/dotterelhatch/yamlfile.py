"""Reads YAML files into pydantic models and reports problems by line."""

import difflib
import json
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from dotterelhatch.errors import DotterelhatchError, ErrorKind

__all__ = (
    'ContentProblem',
    'FileProblem',
    'InvalidFile',
    'KeyPath',
    'YamlFile',
    'format_path',
    'list_problems',
    'load_model',
    'read_yaml',
    'validate',
)

KeyPath = tuple[str | int, ...]
_Model = TypeVar('_Model', bound=BaseModel)

_SCALAR_TAGS = frozenset(
    f'tag:yaml.org,2002:{name}' for name in ('int', 'float', 'bool', 'null')
)
_UNIT_NAMES = ('seconds', 'bytes', 'units', 'count')
_MESSAGES_BY_ERROR_TYPE = {
    'int_type': 'must be a whole number',
    'int_from_float': 'must be a whole number',
    'int_parsing': 'must be a whole number',
    'float_type': 'must be a number',
    'float_parsing': 'must be a number',
    'finite_number': 'must be a finite number',
    'string_type': 'must be text',
    'bool_type': 'must be true or false',
    'tuple_type': 'must be a list',
    'dict_type': 'must be a mapping',
    'model_type': 'must be a mapping',
    'model_attributes_type': 'must be a mapping',
    'missing': 'is required',
    'string_pattern_mismatch': 'has an invalid format',
}
_RANGE_ERROR_TYPES = frozenset(
    (
        'greater_than',
        'greater_than_equal',
        'less_than',
        'less_than_equal',
    )
)


@dataclass(frozen=True, slots=True)
class ContentProblem:
    """A problem at a key path of a document, without its file and line."""

    path: KeyPath
    message: str


@dataclass(frozen=True, slots=True, order=True)
class FileProblem:
    """A problem in a file, printed as ``file:line: path: message``.

    :param line: line number, starting with 1.
    """

    file: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        location = f'{self.file}:{self.line}'
        if self.path:
            return f'{location}: {self.path}: {self.message}'
        return f'{location}: {self.message}'


class InvalidFile(DotterelhatchError):
    """Files are invalid; the message lists all problems found in them.

    :param kind: SETTINGS_INVALID or CONFIG_INVALID.
    """

    def __init__(
        self, kind: ErrorKind, problems: Iterable[FileProblem]
    ) -> None:
        """Sort the problems by file and line."""
        self.problems = tuple(sorted(set(problems)))
        super().__init__(
            kind, '\n'.join(str(problem) for problem in self.problems)
        )


@dataclass(slots=True)
class YamlFile:
    """A parsed file.

    :param content: the content as dicts, lists and scalars; if there are
        problems, the part that could be parsed.
    :param lines: line number of each key and list item, starting with 1.
    :param problems: problems found while parsing.
    """

    name: str
    content: dict[str, Any] = field(default_factory=dict)
    lines: dict[KeyPath, int] = field(default_factory=dict)
    problems: list[FileProblem] = field(default_factory=list)

    def locate(self, problem: ContentProblem) -> FileProblem:
        """Return the problem with the line of its key or the nearest parent."""
        path = problem.path
        while path and path not in self.lines:
            path = path[:-1]
        return FileProblem(
            self.name,
            self.lines.get(path, 1),
            format_path(problem.path),
            problem.message,
        )


def format_path(path: KeyPath) -> str:
    """Return a key path in the form ``services[0].limits``."""
    parts = [
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in path
    ]
    return ''.join(parts).removeprefix('.')


def read_yaml(path: Path) -> YamlFile:
    """Read a file; errors are added to its ``problems``, not raised."""
    parsed = YamlFile(str(path))
    try:
        root = _compose(path)
    except MarkedYAMLError as error:
        mark = error.problem_mark
        line = 1 if mark is None else mark.line + 1
        parsed.problems.append(
            FileProblem(
                parsed.name, line, '', f'not valid YAML: {error.problem}'
            )
        )
    except (YAMLError, UnicodeDecodeError, RecursionError) as error:
        reason = str(error).splitlines()[0]
        parsed.problems.append(
            FileProblem(parsed.name, 1, '', f'not valid YAML: {reason}')
        )
    except OSError as error:
        parsed.problems.append(
            FileProblem(parsed.name, 1, '', f'cannot be read: {error.strerror}')
        )
    else:
        _fill_content(parsed, root)
    return parsed


def load_model(
    path: Path,
    model: type[_Model],
    kind: ErrorKind,
    check: Callable[[Mapping[str, Any]], Iterable[ContentProblem]]
    | None = None,
) -> _Model:
    """Read a file and validate it as a model.

    :param check: yields further problems of the parsed content.
    :raises InvalidFile: of the given kind, with all problems of the file.
    """
    parsed = read_yaml(path)
    model_or_problems = validate(model, parsed.content)
    content_problems: list[ContentProblem] = []
    if isinstance(model_or_problems, list):
        content_problems.extend(model_or_problems)
    if check is not None:
        content_problems.extend(check(parsed.content))
    # Without any parsed content, only the parse problems are meaningful.
    if not parsed.content and parsed.problems:
        content_problems = []
    problems = parsed.problems + [
        parsed.locate(problem) for problem in content_problems
    ]
    if problems or isinstance(model_or_problems, list):
        raise InvalidFile(kind, problems)
    return model_or_problems


def validate(
    model: type[_Model], content: Mapping[str, Any]
) -> _Model | list[ContentProblem]:
    """Return the validated model, or the problems of the content.

    Strict validation rejects conversions such as ``true`` to 1 or ``"5"`` to
    5. In JSON mode it still accepts lists for tuples.
    """
    try:
        return model.model_validate_json(json.dumps(content), strict=True)
    except ValidationError as error:
        return list_problems(model, error)


def list_problems(
    model: type[BaseModel], error: ValidationError
) -> list[ContentProblem]:
    """Return the errors of a validation as problems with readable messages."""
    schema = model.model_json_schema()
    return [
        ContentProblem(tuple(details['loc']), _format_message(details, schema))
        for details in error.errors(include_url=False)
    ]


def _compose(path: Path) -> Node | None:
    text = path.read_bytes().decode()
    node: Node | None = YAML(typ='safe', pure=True).compose(text)
    return node


def _fill_content(parsed: YamlFile, root: Node | None) -> None:
    if not isinstance(root, MappingNode):
        line = 1 if root is None else root.start_mark.line + 1
        parsed.problems.append(
            FileProblem(parsed.name, line, '', 'the file must hold a mapping')
        )
        return
    parsed.content = _ContentBuilder(parsed).build(root, ())


class _ContentBuilder:
    """Converts YAML nodes into Python values and records their lines."""

    def __init__(self, parsed: YamlFile) -> None:
        self._parsed = parsed
        self._constructor = YAML(typ='safe', pure=True).constructor
        self._open_node_ids: set[int] = set()

    def build(self, node: Node, path: KeyPath) -> Any:
        if isinstance(node, ScalarNode):
            return self._build_scalar(node)
        if id(node) in self._open_node_ids:
            self._add_problem(node, path, 'an alias refers to itself')
            return None
        self._open_node_ids.add(id(node))
        built = self._build_collection(node, path)
        self._open_node_ids.discard(id(node))
        return built

    def _build_collection(self, node: Node, path: KeyPath) -> Any:
        if isinstance(node, MappingNode):
            return self._build_mapping(node, path)
        if isinstance(node, SequenceNode):
            return self._build_sequence(node, path)
        return None

    def _build_sequence(self, node: SequenceNode, path: KeyPath) -> list[Any]:
        built = []
        for index, entry in enumerate(node.value):
            self._record_line(entry, (*path, index))
            built.append(self.build(entry, (*path, index)))
        return built

    def _build_mapping(
        self, node: MappingNode, path: KeyPath
    ) -> dict[str, Any]:
        built: dict[str, Any] = {}
        for key_node, entry in node.value:
            if not isinstance(key_node, ScalarNode):
                self._add_problem(key_node, path, 'a key must be text')
                continue
            key = str(key_node.value)
            if key in built:
                first = self._parsed.lines[(*path, key)]
                self._add_problem(
                    key_node,
                    (*path, key),
                    f'duplicate key, first set in line {first}',
                )
                continue
            self._record_line(key_node, (*path, key))
            built[key] = self.build(entry, (*path, key))
        return built

    def _build_scalar(self, node: ScalarNode) -> Any:
        if str(node.tag) in _SCALAR_TAGS:
            return self._constructor.construct_object(node)
        return node.value

    def _record_line(self, node: Node, path: KeyPath) -> None:
        # Problems in aliased content are reported at its first use.
        self._parsed.lines.setdefault(path, node.start_mark.line + 1)

    def _add_problem(self, node: Node, path: KeyPath, message: str) -> None:
        self._parsed.problems.append(
            FileProblem(
                self._parsed.name,
                node.start_mark.line + 1,
                format_path(path),
                message,
            )
        )


def _format_message(error: ErrorDetails, schema: Mapping[str, Any]) -> str:
    path = tuple(error['loc'])
    kind = error['type']
    if kind == 'extra_forbidden':
        return _format_unknown_key(path, schema)
    if kind in _RANGE_ERROR_TYPES:
        text = f'{error["input"]} is out of range'
    elif kind == 'enum':
        text = f'{error["input"]} is not an allowed value'
    else:
        text = _MESSAGES_BY_ERROR_TYPE.get(kind) or error['msg'].removeprefix(
            'Value error, '
        )
    if kind.endswith(('_type', '_parsing')):
        text += _unit_hint(path)
    allowed = _format_allowed_values(_find_schema(schema, path, schema))
    return f'{text} ({allowed})' if allowed else text


def _format_unknown_key(path: KeyPath, schema: Mapping[str, Any]) -> str:
    parent = _find_schema(schema, path[:-1], schema)
    names = sorted(parent.get('properties', ()))
    close = difflib.get_close_matches(str(path[-1]), names, n=1, cutoff=0.6)
    if close:
        return f'unknown key, did you mean {close[0]}?'
    return f'unknown key (allowed: {", ".join(names)})'


def _unit_hint(path: KeyPath) -> str:
    unit = str(path[-1]).rpartition('_')[2] if path else ''
    return f' of {unit} without a unit' if unit in _UNIT_NAMES else ''


def _find_schema(
    schema: Mapping[str, Any], path: KeyPath, root: Mapping[str, Any]
) -> Mapping[str, Any]:
    """Return the part of a JSON schema that describes a key path."""
    part_schema = _resolve_reference(schema, root)
    for part in path:
        part_schema = _resolve_reference(_child_schema(part_schema, part), root)
    return part_schema


def _child_schema(
    schema: Mapping[str, Any], part: str | int
) -> Mapping[str, Any]:
    if isinstance(part, int):
        child = schema.get('items', {})
    else:
        child = schema.get('properties', {}).get(
            part, schema.get('additionalProperties')
        )
    return child if isinstance(child, dict) else {}


def _resolve_reference(
    schema: Mapping[str, Any], root: Mapping[str, Any]
) -> Mapping[str, Any]:
    for choice in schema.get('anyOf', ()):
        if choice.get('type') != 'null':
            return _resolve_reference(choice, root)
    name = schema.get('$ref')
    if name is None:
        return schema
    return _resolve_reference(root['$defs'][name.rpartition('/')[2]], root)


def _format_allowed_values(schema: Mapping[str, Any]) -> str:
    pattern = schema.get('pattern')
    if pattern is not None:
        return f'allowed: {pattern}'
    bounds = schema.get('enum') or list(_format_bounds(schema))
    return f'allowed: {", ".join(bounds)}' if bounds else ''


def _format_bounds(schema: Mapping[str, Any]) -> Iterator[str]:
    names: Sequence[tuple[str, str]] = (
        ('exclusiveMinimum', 'above'),
        ('minimum', 'at least'),
        ('exclusiveMaximum', 'below'),
        ('maximum', 'at most'),
    )
    for key, text in names:
        bound = schema.get(key)
        if bound is not None:
            yield f'{text} {bound:,}'
