"""Boundary of the adapter: names of the platform and size of the package."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / 'src/dotterelhatch'
# Names on the wire, in the settings file and in the store.
NAMES = re.compile(
    r'Dotterelhatch-[A-Z]|rows-(?:tx|get|feed)|/readiness|/resolve|slo-ms'
    r'|gap-target|kv-|api-keys|\btenants?\b|\bzones?\b|max-attempts'
    r'|\brequesters?\b|since-rev|port-range',
)


@pytest.mark.parametrize(
    'path',
    [
        source
        for source in sorted(PACKAGE.rglob('*.py'))
        if PACKAGE / 'platform' not in source.parents
    ],
    ids=lambda source: str(source.relative_to(PACKAGE)),
)
def test_no_name_of_the_platform_outside_the_adapter(path: Path) -> None:
    """Guards against platform names in packages that are to be independent.

    A header, a setting or a row of the platform that is used elsewhere would
    tie the whole package to this platform.
    """
    found = NAMES.search(path.read_text(encoding='utf-8'))
    assert found is None, found


def test_the_adapter_stays_small() -> None:
    """Guards against logic that moves from the gateway into the adapter.

    An adapter that only translates stays below a tenth of the package.
    """

    def lines(folder: Path) -> int:
        return sum(
            len(path.read_text(encoding='utf-8').splitlines())
            for path in folder.rglob('*.py')
            if '_pb2' not in path.name
        )

    assert lines(PACKAGE / 'platform') < 0.1 * lines(PACKAGE)
