"""Settings files with odd values."""

import contextlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.platform.settings import load_settings, parse_settings
from tests.test_platform_adapter import SETTINGS

NESTED = 'unknown-field = ' + '[' * 100_000 + ']' * 100_000


@pytest.mark.parametrize(
    ('former', 'odd', 'named'),
    [
        ('unknown-field = true', NESTED, 'nested'),
        ('unknown-field = true', f'unknown-field = {"9" * 5000}', 'TOML'),
        ('memory-mb = 205', 'memory-mb = inf', 'limits.memory-mb'),
        ('memory-mb = 205', 'memory-mb = nan', 'limits.memory-mb'),
        ('max-fds = 6150', f'max-fds = {"9" * 400}', 'limits.max-fds'),
        ('grace-s = 8', 'grace-s = inf', 'bounds.grace-s'),
        ('grace-s = 8', f'grace-s = {"9" * 400}', 'bounds.grace-s'),
        ('budget-slack = 56', 'budget-slack = nan', 'bounds.budget-slack'),
        ('quota-window-s = 4', 'quota-window-s = 0', 'bounds.quota-window-s'),
        ('grace-s = 8', 'cold-overshoot = 0.5', 'bounds.cold-overshoot'),
        ('grace-s = 8', 'cold-overshoot = "x"', 'bounds.cold-overshoot'),
        ('grace-s = 8', 'cold-slack = -1', 'bounds.cold-slack'),
        ('grace-s = 8', 'cold-slack = inf', 'bounds.cold-slack'),
        ('[7400, 7415]', '[74000, 74150]', 'port-range'),
        ('[7400, 7415]', '[-1, 7415]', 'port-range'),
        ('"10.1.0.33:8780"', '"10.1.0.33:99999"', 'listen.ready'),
        ('"10.1.0.33:8789"', '"nowhere"', 'listen.directory'),
        ('"10.200.1.7:8781"', '"10.200.1.7:-1"', 'platform.address'),
        ('"10.2.0.18:8785"', '"nowhere"', 'seeds.0'),
        ('"10.2.0.18:8785"', '"10.2.0.18:99999"', 'seeds.0'),
        ('ip = "10.1.0.33"', 'ip = "nowhere"', 'ip'),
        ('ip = "10', 'contracts = "pool"\nip = "10', 'contracts'),
        ('ip = "10', 'contracts = [7]\nip = "10', 'contracts.0'),
    ],
)
def test_odd_settings_are_named(former: str, odd: str, named: str) -> None:
    """Guards against a process that ends with a traceback at a reload.

    The file may change while the process runs. RecursionError and
    OverflowError of the parser are no errors of settings, and the addresses of
    the store and of two listeners were not checked at all.
    """
    assert former in SETTINGS
    with pytest.raises(DotterelhatchError) as caught:
        parse_settings(SETTINGS.replace(former, odd))
    assert caught.value.kind is ErrorKind.SETTINGS_INVALID
    assert named in str(caught.value)


@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        ('', False),
        ('contracts = []', False),
        ('contracts = ["other"]', False),
        ('contracts = ["other", "pool"]', True),
    ],
)
def test_speeds_are_learned_by_contract_only(line: str, expected: bool) -> None:
    """Guards against deployments that are served otherwise than before."""
    settings = parse_settings(SETTINGS.replace('ip = ', f'{line}\nip = ', 1))
    assert settings.gateway.learns_target_speeds is expected


def test_a_settings_file_without_end_is_not_read(tmp_path: Path) -> None:
    """Guards against a file that fills the memory of the process."""
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS + '# ' + 'x' * 2_000_000)
    with pytest.raises(DotterelhatchError, match='longer'):
        load_settings(path)


_LINES = SETTINGS.strip().splitlines()


@given(
    st.integers(0, len(_LINES) - 1),
    st.sampled_from(
        ['inf', '-1', 'nan', '[]', '{}', '"x"', '0', '9' * 400, '1e308']
    )
    | st.text(max_size=10),
)
def test_parsing_of_settings_raises_its_error_only(
    index: int, odd: str
) -> None:
    """Guards against errors of the parser that its caller doesn't expect."""
    lines = list(_LINES)
    lines[index] = f'{lines[index].partition("=")[0]}= {odd}'
    with contextlib.suppress(DotterelhatchError):
        assert parse_settings('\n'.join(lines)).gateway.router_id
