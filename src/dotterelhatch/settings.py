"""Settings of one router process."""

from typing import Annotated

from pydantic import Field

from dotterelhatch.fleet import Address, FrozenModel
from dotterelhatch.ids import FailureDomain, RouterId

__all__ = (
    'ExchangeSettings',
    'LogFormat',
    'PlatformSettings',
    'RouterSettings',
    'StopSettings',
)

LogFormat = Annotated[str, Field(pattern='^(json|text)$')]


class PlatformSettings(FrozenModel):
    """URLs of the platform services and timing of the calls to them.

    A URL has the form ``http://ip:port``.
    """

    tables_url: str
    objects_url: str
    hosts_url: str
    weights_url: str | None = None
    call_timeout_seconds: float = Field(default=2.0, gt=0, le=30)
    hosts_interval_seconds: float = Field(default=2.0, gt=0, le=60)
    config_interval_seconds: float = Field(default=3.0, gt=0, le=9)


class ExchangeSettings(FrozenModel):
    """Timing and sizes of the exchange of frames between routers."""

    period_seconds: float = Field(default=1.0, gt=0, le=10)
    call_timeout_seconds: float = Field(default=1.0, gt=0, le=10)
    dead_after_seconds: float = Field(default=3.0, gt=0, le=60)
    resume_gap_seconds: float = Field(default=4.0, gt=0, le=60)
    held_period_seconds: float = Field(default=5.0, gt=0, le=60)
    spread_delay_seconds: float = Field(default=0.02, gt=0, le=1)
    fan_out_count: int = Field(default=4, ge=1, le=64)
    probe_count: int = Field(default=4, ge=1, le=64)
    record_count: int = Field(default=16, ge=1, le=1024)


class StopSettings(FrozenModel):
    """Timing of a graceful stop."""

    address_ttl_seconds: float = Field(default=10.0, ge=0, le=600)
    margin_seconds: float = Field(default=5.0, ge=0, le=600)
    stop_limit_seconds: float | None = Field(default=None, gt=0)


class RouterSettings(FrozenModel):
    """Settings of a router process.

    :param caller_address: ``ip:port`` on which callers connect.
    :param peer_address: ``ip:port`` on which other routers connect.
    :param operations_address: ``ip:port`` of the operations endpoints, such
        as health and metrics.
    """

    router_id: RouterId
    failure_domain: FailureDomain
    region: str
    caller_address: Address
    peer_address: Address
    operations_address: Address
    platform: PlatformSettings
    exchange: ExchangeSettings = ExchangeSettings()
    stop: StopSettings = StopSettings()
    log_level: str = Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
    )
    log_format: LogFormat = 'json'
