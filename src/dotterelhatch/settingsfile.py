"""Reads the settings file of a router process."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from dotterelhatch.errors import ErrorKind
from dotterelhatch.settings import RouterSettings
from dotterelhatch.yamlfile import ContentProblem, load_model

__all__ = ('load_settings',)

_ADDRESS_FIELDS = ('caller_address', 'peer_address', 'operations_address')


def load_settings(path: Path | str) -> RouterSettings:
    """Read the settings of a router.

    :raises InvalidFile: SETTINGS_INVALID with all problems of the file.
    """
    return load_model(
        Path(path), RouterSettings, ErrorKind.SETTINGS_INVALID, _check_addresses
    )


def _check_addresses(content: Mapping[str, Any]) -> Iterator[ContentProblem]:
    names_by_address: dict[str, str] = {}
    for name in _ADDRESS_FIELDS:
        address = str(content.get(name, ''))
        if address and address in names_by_address:
            yield ContentProblem(
                (name,), f'same address as {names_by_address[address]}'
            )
        names_by_address.setdefault(address, name)
