"""Converts the platform's settings file to gateway settings."""

import tomllib
from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.fleet import Address, RemoteAddress
from dotterelhatch.gateway.settings import (
    GatewaySettings,
    LeavingSettings,
    RetryBudgetSettings,
    WarmupSettings,
)
from dotterelhatch.ids import FailureDomain, RouterId

__all__ = (
    'METRICS_PATH',
    'METRICS_PORT',
    'ProcessSettings',
    'load_settings',
    'parse_settings',
)

# The deploy file has the same port and path.
METRICS_PORT: Final = 9464
METRICS_PATH: Final = '/metrics'
_BYTES_PER_MEBIBYTE: Final = 1024 * 1024
_MILLISECONDS_PER_SECOND: Final = 1000
# Part of the longest time that callers may cache addresses. A leaving router
# waits for this time, so that most cached lists are without it when it stops.
_CALLER_TTL_RATIO: Final = 0.4
_RESERVED_DESCRIPTORS_COUNT: Final = 200
_MAX_CHARACTERS_COUNT: Final = 1_048_576
# Contract by which the routers learn the speed and capacity of servers.
_POOL_CONTRACT: Final = 'pool'


_Port = Annotated[int, Field(ge=1, le=65_535)]
_Number = Annotated[float, Field(ge=0, le=1e9)]
_Seconds = Annotated[float, Field(gt=0, le=1e6)]
_Milliseconds = Annotated[float, Field(gt=0, le=1e9)]


class _TomlTable(BaseModel):
    """TOML table of the settings file; unknown fields are ignored."""

    model_config = ConfigDict(extra='ignore', frozen=True, allow_inf_nan=False)


class _Listen(_TomlTable):
    """Listen addresses.

    ``front`` is for requests, ``ready`` for readiness checks, ``control`` for
    the other routers, ``directory`` for callers that look up addresses.
    """

    front: Address
    ready: Address
    control: Address
    directory: Address


class _Limits(_TomlTable):
    memory_mb: float = Field(alias='memory-mb', default=256, gt=0, le=1e9)
    max_fds: int = Field(alias='max-fds', default=4096, gt=0, le=10**9)


class _Bounds(_TomlTable):
    drain_ms: _Milliseconds = Field(alias='drain-ms', default=2000)
    grace_s: _Seconds = Field(alias='grace-s', default=8)
    retry_budget_ratio: _Number = Field(alias='retry-budget-ratio', default=0.2)
    budget_window_s: _Seconds = Field(alias='budget-window-s', default=10)
    budget_slack: _Number = Field(alias='budget-slack', default=20)
    quota_window_s: _Seconds = Field(alias='quota-window-s', default=4)
    ttl_max_s: _Seconds = 5
    # A cold server takes less than its rate only by a mistake in the file.
    cold_overshoot: float = Field(
        alias='cold-overshoot', default=1, ge=1, le=1000
    )
    cold_slack: _Number = Field(alias='cold-slack', default=0)


class _Heartbeats(_TomlTable):
    """Heartbeats between routers."""

    fewer_between_zones: bool = Field(
        alias='fewer-between-zones', default=True, strict=True
    )


class _Platform(_TomlTable):
    address: RemoteAddress


class _SettingsFile(_TomlTable):
    """Fields of the settings file that are used."""

    node_name: str = Field(alias='node-name', min_length=1)
    ip: IPv4Address
    zone: str
    region: str = ''
    port_range: tuple[_Port, _Port] = Field(alias='port-range')
    heartbeat_ms: _Milliseconds = Field(alias='heartbeat-ms', default=1200)
    seeds: tuple[RemoteAddress, ...] = ()
    listen: _Listen
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    heartbeats: _Heartbeats = _Heartbeats()
    contracts: tuple[str, ...] = ()
    platform: _Platform


class ProcessSettings:
    """Settings of a router process on the platform.

    Besides the gateway settings it has the addresses of the platform's store
    and of the endpoints for readiness checks and for address look-ups, and the
    interval at which servers renew their rows in the store.
    """

    def __init__(self, document: _SettingsFile) -> None:
        """Derive the settings from the content of the file."""
        listen = document.listen
        self.store_address = document.platform.address
        self.ready_address = listen.ready
        self.directory_address = listen.directory
        self.renewal_seconds = document.heartbeat_ms / _MILLISECONDS_PER_SECOND
        self.gateway = _gateway_settings(document)


def load_settings(path: Path) -> ProcessSettings:
    """Read a settings file.

    :raises DotterelhatchError: SETTINGS_INVALID, naming each invalid key.
    """
    try:
        with path.open(encoding='utf-8') as settings_file:
            content = settings_file.read(_MAX_CHARACTERS_COUNT + 1)
    except (OSError, UnicodeDecodeError) as error:
        raise DotterelhatchError(
            ErrorKind.SETTINGS_INVALID, f'{path}: {error}'
        ) from error
    if len(content) > _MAX_CHARACTERS_COUNT:
        raise DotterelhatchError(
            ErrorKind.SETTINGS_INVALID,
            f'{path}: longer than {_MAX_CHARACTERS_COUNT} characters',
        )
    return parse_settings(content)


def parse_settings(content: str) -> ProcessSettings:
    """Parse the content of a settings file.

    :raises DotterelhatchError: SETTINGS_INVALID, naming each invalid key.
    """
    try:
        document = _SettingsFile.model_validate(_parse_toml(content))
        return ProcessSettings(document)
    except ValidationError as error:
        raise DotterelhatchError(
            ErrorKind.SETTINGS_INVALID, '; '.join(_describe_errors(error))
        ) from error


def _parse_toml(content: str) -> dict[str, Any]:
    try:
        return tomllib.loads(content)
    except RecursionError as error:
        raise DotterelhatchError(
            ErrorKind.SETTINGS_INVALID, 'not TOML: nested too deeply'
        ) from error
    except ValueError as error:
        # Besides its own error, the parser raises that of int().
        raise DotterelhatchError(
            ErrorKind.SETTINGS_INVALID, f'not TOML: {error}'
        ) from error


def _describe_errors(error: ValidationError) -> list[str]:
    return [
        '{}: {}'.format(
            '.'.join(str(key) for key in detail['loc']), detail['msg']
        )
        for detail in error.errors()
    ]


def _gateway_settings(document: _SettingsFile) -> GatewaySettings:
    listen = document.listen
    limits = document.limits
    bounds = document.bounds
    heartbeat_port = document.port_range[0]
    return GatewaySettings(
        router_id=RouterId(document.node_name),
        failure_domain=FailureDomain(document.zone),
        region=document.region,
        caller_address=listen.front,
        control_address=listen.control,
        heartbeat_address=f'{document.ip}:{heartbeat_port}',
        metrics_address=f'{document.ip}:{METRICS_PORT}',
        metrics_path=METRICS_PATH,
        seed_addresses=_seed_addresses(document.seeds, heartbeat_port),
        memory_limit_bytes=int(limits.memory_mb * _BYTES_PER_MEBIBYTE),
        descriptors_limit_count=max(
            1, limits.max_fds - _RESERVED_DESCRIPTORS_COUNT
        ),
        share_window_seconds=bounds.quota_window_s,
        target_departure_seconds=bounds.drain_ms / _MILLISECONDS_PER_SECOND,
        target_renewal_seconds=document.heartbeat_ms / _MILLISECONDS_PER_SECOND,
        repeats=RetryBudgetSettings(
            window_seconds=bounds.budget_window_s,
            ratio=bounds.retry_budget_ratio,
            slack_count=bounds.budget_slack,
        ),
        leaving=LeavingSettings(
            address_ttl_seconds=bounds.ttl_max_s * _CALLER_TTL_RATIO,
            limit_seconds=bounds.grace_s,
        ),
        has_fewer_heartbeats_elsewhere=(
            document.heartbeats.fewer_between_zones
        ),
        warmup=WarmupSettings(
            overshoot_ratio=bounds.cold_overshoot,
            slack_count=bounds.cold_slack,
        ),
        learns_target_speeds=_POOL_CONTRACT in document.contracts,
    )


def _seed_addresses(seeds: tuple[Any, ...], port: int) -> tuple[str, ...]:
    """Convert the control addresses of the file to heartbeat addresses.

    All hosts use the same heartbeat port.
    """
    return tuple(f'{seed.rpartition(":")[0]}:{port}' for seed in seeds)
