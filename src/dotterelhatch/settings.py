"""Settings of one router process; its components get the whole object."""

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

    :param call_timeout_seconds: limit for one call to a service.
    :param hosts_interval_seconds: interval between reads of the host list.
    :param config_interval_seconds: interval between reads of the
        configuration.
    """

    tables_url: str
    objects_url: str
    hosts_url: str
    weights_url: str | None = None
    call_timeout_seconds: float = Field(default=2.0, gt=0, le=30)
    hosts_interval_seconds: float = Field(default=2.0, gt=0, le=60)
    config_interval_seconds: float = Field(default=3.0, gt=0, le=9)


class ExchangeSettings(FrozenModel):
    """Timing and sizes of the exchange of frames between routers.

    :param period_seconds: period of probes and other periodic messages.
    :param call_timeout_seconds: limit for one call to another router.
    :param dead_after_seconds: time after which a suspect router is dead.
    :param resume_gap_seconds: a longer gap between two periods means that the
        process was paused; missing replies are not counted as failures then.
    :param held_period_seconds: period after which held grants and demand are
        sent to coordinators again, in case a message was lost.
    :param spread_delay_seconds: delay before the demand of a queue is sent to
        more coordinators than those with free slots.
    :param fan_out_count: initial maximum of coordinators that receive the
        demand of a queue.
    :param probe_count: maximum number of routers that are probed per period.
    :param record_count: maximum number of member records in a frame, except
        in the first frame to a router.
    """

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
    """Timing of a graceful stop.

    :param address_ttl_seconds: time for which callers may cache the address
        of this router; connections are accepted until it has expired.
    :param margin_seconds: additional time for which connections are accepted.
    :param stop_limit_seconds: limit for the stop, after which requests in
        progress are aborted; None for no limit.
    """

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
