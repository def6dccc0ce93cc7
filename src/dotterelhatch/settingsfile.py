"""The settings file of a router process."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from dotterelhatch.errors import ErrorKind
from dotterelhatch.settings import RouterSettings
from dotterelhatch.yamlfile import ContentProblem, load_model

__all__ = ('load_settings',)

_ADDRESSES = ('caller_address', 'peer_address', 'operations_address')


def load_settings(path: Path | str) -> RouterSettings:
    """Read the settings of a router.

    :raises InvalidFile: SETTINGS_INVALID with every problem of the file.
    """
    return load_model(
        Path(path), RouterSettings, ErrorKind.SETTINGS_INVALID, _check
    )


def _check(content: Mapping[str, Any]) -> Iterator[ContentProblem]:
    used: dict[str, str] = {}
    for name in _ADDRESSES:
        address = str(content.get(name, ''))
        if address and address in used:
            yield ContentProblem((name,), f'same address as {used[address]}')
        used.setdefault(address, name)
