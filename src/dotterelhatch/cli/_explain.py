"""Command that explains where a router would send a request."""

import json
from collections.abc import Iterator, Mapping
from typing import Annotated, Any

import typer

from dotterelhatch.cli import _clients
from dotterelhatch.cli._common import JsonOption, print_output
from dotterelhatch.errors import DotterelhatchError, ErrorKind

__all__ = ('explain_request',)

_PATH = '/explain'


def explain_request(
    address: Annotated[
        str, typer.Argument(help='Metrics address ip:port of a router.')
    ],
    path: Annotated[str, typer.Argument(help='Path of the request.')],
    headers: Annotated[
        list[str],
        typer.Option(
            '--header',
            '-H',
            help="Header of the request, 'NAME: TEXT'; may be repeated.",
        ),
    ],
    organisation: Annotated[
        str | None,
        typer.Option(
            '--organisation', help='Organisation, instead of an API key.'
        ),
    ] = None,
    method: Annotated[
        str, typer.Option('--method', help='Method of the request.')
    ] = 'POST',
    as_json: JsonOption = False,
) -> None:
    """Explain where a request would go now, and why, without sending it."""
    question = {
        'method': method,
        'path': path,
        'headers': [_parse_header(header) for header in headers],
        'organisation': organisation,
    }
    explanation = _clients.run(
        _clients.fetch_json(
            address, 'POST', _PATH, json.dumps(question).encode()
        )
    )
    print_output(as_json, explanation, _format_explanation(explanation))


def _parse_header(text: str) -> tuple[str, str]:
    name, colon, content = text.partition(':')
    if not colon or not name.strip():
        raise DotterelhatchError(
            ErrorKind.BAD_REQUEST, f'not a header, NAME: TEXT: {text!r}'
        )
    return name.strip(), content.strip()


def _format_explanation(explanation: Mapping[str, Any]) -> Iterator[str]:
    yield (
        f'{explanation["router"]}: route {explanation["route"]} of table '
        f'version {explanation["table_version"]}, organisation '
        f'{explanation["organisation"] or "none"}'
    )
    if not explanation['is_source_current']:
        yield 'the table may be out of date: its source does not answer'
    for service in explanation['services']:
        yield from _format_service(service)


def _format_service(service: Mapping[str, Any]) -> Iterator[str]:
    yield f'service {service["service"]}, weight {service["weight"]:g}:'
    yield f'  {_format_outcome(service)}'
    used_share = service.get('used_share')
    if used_share is not None:
        yield (
            f'  used {used_share} of the fair share; rejected '
            f'recently: {service["rejection_rate"]:.0%} of the requests'
        )
    for target in service.get('targets', ()):
        yield f'  {_format_target(target)}'


def _format_outcome(service: Mapping[str, Any]) -> str:
    if service['outcome'] == 'placed':
        return (
            f'placed on {service["target"]}: waits {service["wait_ms"]} ms, '
            f'begins to answer after {service["expected_ms"]} ms, '
            f'{service["cached_tokens"]} tokens of the prompt are cached'
        )
    text = f'rejected: {service["reason"]}'
    if service.get('wait_ms') is not None:
        text = f'{text}, shortest wait {service["wait_ms"]} ms'
    if service.get('retry_after_seconds') is not None:
        text = f'{text}, Retry-After {service["retry_after_seconds"]}'
    return text


def _format_target(target: Mapping[str, Any]) -> str:
    reasons = [
        reason if left_ms is None else f'{reason} for {left_ms} ms'
        for reason, left_ms in target['exclusions'].items()
    ]
    state = f'not used: {", ".join(reasons)}' if reasons else 'usable'
    return (
        f'{target["target"]} in {target["failure_domain"]}: {state}; '
        f'{target["requests_count"]} requests in {target["slots_count"]} '
        f'slots, {target["unread_tokens"]} prompt tokens to read'
    )
