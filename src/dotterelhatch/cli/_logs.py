"""Commands that read the logs of gateway processes."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

from dotterelhatch.cli._common import JsonOption, print_output
from dotterelhatch.errors import DotterelhatchError, ErrorKind

__all__ = ('trace_request',)

_STANDARD_INPUT = Path('-')
# Printed at the start of a line, or equal in all lines of a request.
_LEADING_FIELDS = frozenset(
    ('timestamp', 'router', 'event', 'level', 'request_id')
)
_EventLine = dict[str, Any]


def trace_request(
    request_id: Annotated[str, typer.Argument(help='Id of the request.')],
    files: Annotated[
        list[Path] | None,
        typer.Argument(
            help='Log files of all routers; standard input if - or none.'
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Print what the routers decided about a request, in order.

    Lines about the targets of the request are printed as well, because a
    change or a suspected crash of a target explains a failed attempt.
    """
    lines = list(_read_all(files or [_STANDARD_INPUT]))
    request_lines = [
        line for line in lines if line.get('request_id') == request_id
    ]
    if not request_lines:
        raise DotterelhatchError(
            ErrorKind.NOT_FOUND, f'no log line about request {request_id}'
        )
    targets = {line['target'] for line in request_lines if line.get('target')}
    target_lines = [
        line
        for line in lines
        if 'request_id' not in line and line.get('target') in targets
    ]
    trace_lines = sorted(
        request_lines + target_lines,
        key=lambda line: str(line.get('timestamp')),
    )
    print_output(
        as_json, trace_lines, [_format_line(line) for line in trace_lines]
    )


def _read_all(files: Iterable[Path]) -> Iterator[_EventLine]:
    for path in files:
        if path == _STANDARD_INPUT:
            yield from _decode_lines(sys.stdin)
            continue
        try:
            with path.open(encoding='utf-8', errors='replace') as log:
                yield from _decode_lines(log)
        except OSError as error:
            raise DotterelhatchError(
                ErrorKind.BAD_REQUEST, f'{path}: {error.strerror}'
            ) from error


def _decode_lines(log: Iterable[str]) -> Iterator[_EventLine]:
    """Yield the JSON events of a log; its lines may have a prefix."""
    for line in log:
        json_start = line.find('{')
        if json_start < 0:
            continue
        try:
            document = json.loads(line[json_start:])
        except (ValueError, RecursionError):
            # The last line of a killed process may be truncated.
            continue
        if isinstance(document, dict) and 'event' in document:
            yield document


def _format_line(line: _EventLine) -> str:
    facts = ' '.join(
        f'{name}={fact}'
        for name, fact in line.items()
        if name not in _LEADING_FIELDS and fact is not None
    )
    timestamp = line.get('timestamp', '')
    return f'{timestamp} {line.get("router", "")} {line["event"]}: {facts}'
