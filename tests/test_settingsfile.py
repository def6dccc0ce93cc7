"""Problems reported for the settings file of a router."""

from pathlib import Path

import pytest

from dotterelhatch.errors import ErrorKind
from dotterelhatch.settingsfile import load_settings
from dotterelhatch.yamlfile import InvalidFile

VALID_SETTINGS = """\
router_id: r1
failure_domain: konya
region: anadolu
caller_address: 127.0.0.1:1
peer_address: 127.0.0.1:2
operations_address: 127.0.0.1:3
platform:
  tables_url: http://127.0.0.1:4
  objects_url: http://127.0.0.1:5
  hosts_url: http://127.0.0.1:6
"""

# Old text in VALID_SETTINGS, new text and the start of each expected problem.
INVALID_SETTINGS = (
    ('router_id: r1\n', '', ['1: router_id: is required']),
    ('router_id: r1', 'router_id: 7', ['1: router_id: must be text']),
    (
        'region: anadolu',
        'regoin: anadolu',
        ['1: region: is required', '3: regoin: unknown key, did you mean reg'],
    ),
    (
        'region: anadolu',
        'region: a\nregion: b',
        ['4: region: duplicate key, first set in line 3'],
    ),
    ('127.0.0.1:1', '127.0.0.1:70000', ['4: caller_address: port 70000 is']),
    ('127.0.0.1:1', '300.0.0.1:1', ['4: caller_address: Octet 300']),
    ('127.0.0.1:2', '127.0.0.1:1', ['5: peer_address: same address as call']),
    (
        'platform:',
        'exchange:\n  period_seconds: 0\n  fan_out_count: 900\nplatform:',
        [
            '8: exchange.period_seconds: 0 is out of range '
            '(allowed: above 0, at most 10)',
            '9: exchange.fan_out_count: 900 is out of range '
            '(allowed: at least 1, at most 64)',
        ],
    ),
    (
        'platform:',
        'stop:\n  margin_seconds: 5s\nplatform:',
        ['8: stop.margin_seconds: must be a number of seconds without a unit'],
    ),
    (
        'platform:',
        'stop:\n  margin_ms: 5\nplatform:',
        ['8: stop.margin_ms: unknown key'],
    ),
    (
        'platform:',
        'stop:\n  margin_seconds: .nan\nplatform:',
        ['8: stop.margin_seconds: must be a finite number'],
    ),
    (
        'platform:',
        'exchange: {fan_out_count: true}\nplatform:',
        ['7: exchange.fan_out_count: must be a whole number of count'],
    ),
    ('region: anadolu', 'region: [', ['5: not valid YAML']),
    (
        'region: anadolu',
        'region: &a [*a]',
        ['3: region: must be text', '3: region[0]: an alias refers'],
    ),
    ('platform:', '---\nplatform:', ['7: not valid YAML: but found another']),
)


@pytest.mark.parametrize(('old', 'new', 'expected'), INVALID_SETTINGS)
def test_invalid_settings(
    tmp_path: Path, old: str, new: str, expected: list[str]
) -> None:
    """Guards against missed problems and wrong lines or paths.

    Each case replaces one text of valid settings. The list must be complete,
    as an operator would otherwise have to correct the file in several rounds.
    """
    path = tmp_path / 'router.yaml'
    path.write_text(VALID_SETTINGS.replace(old, new, 1))
    with pytest.raises(InvalidFile) as caught:
        load_settings(path)
    lines = [str(problem) for problem in caught.value.problems]
    assert caught.value.kind is ErrorKind.SETTINGS_INVALID
    assert len(lines) == len(expected), lines
    for line, start in zip(lines, expected, strict=True):
        assert line.startswith(f'{path}:{start}'), lines


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (b'', 'the file must hold a mapping'),
        (b'- a\n', 'the file must hold a mapping'),
        (b'\xff\xfe\xff', 'not valid YAML'),
        (b'a: \x07', 'not valid YAML'),
        (b'[' * 20_000, 'not valid YAML'),
        (None, 'cannot be read: No such file'),
    ],
)
def test_unreadable_file(
    tmp_path: Path, content: bytes | None, expected: str
) -> None:
    """Guards against an unexpected exception for unreadable files.

    The files are missing, empty, not UTF-8, not YAML or not a mapping.
    """
    path = tmp_path / 'router.yaml'
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(InvalidFile) as caught:
        load_settings(path)
    (problem,) = caught.value.problems
    assert str(problem).startswith(f'{path}:1: {expected}')


def test_valid_settings(tmp_path: Path) -> None:
    """Guards against rejecting valid settings or losing the defaults.

    The file sets the required fields only.
    """
    path = tmp_path / 'router.yaml'
    path.write_text(VALID_SETTINGS)
    settings = load_settings(path)
    assert settings.region == 'anadolu'
    assert settings.platform.config_interval_seconds == 3
