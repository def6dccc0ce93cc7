"""Settings of a gateway process; its components get the whole object."""

from pydantic import Field

from dotterelhatch.fleet import Address, FrozenModel
from dotterelhatch.ids import FailureDomain, RouterId

__all__ = (
    'GatewaySettings',
    'LeavingSettings',
    'RetryBudgetSettings',
    'WarmupSettings',
)


class RetryBudgetSettings(FrozenModel):
    """Limit of the retries to targets of one service, for the whole fleet.

    :param window_seconds: length of the sliding window.
    :param ratio: allowed retries per request in the window.
    :param slack_count: allowed retries in the window beyond the ratio.
    """

    window_seconds: float = Field(default=10.0, gt=0)
    ratio: float = Field(default=0.2, ge=0)
    slack_count: float = Field(default=20.0, ge=0)


class LeavingSettings(FrozenModel):
    """Timing of a graceful shutdown.

    :param address_ttl_seconds: how long callers may cache router addresses;
        some cache them three times as long.
    :param limit_seconds: time after which the process has to exit.
    """

    address_ttl_seconds: float = Field(default=2.0, gt=0, le=60)
    limit_seconds: float = Field(default=8.0, gt=0, le=600)


class WarmupSettings(FrozenModel):
    """How far requests to a cold target may exceed the rate it tolerates.

    They apply to the services whose configuration names such a rate.

    :param overshoot_ratio: allowed requests in a second per request of the
        rate.
    :param slack_count: allowed requests in a second beyond the ratio.
    """

    overshoot_ratio: float = Field(default=1.0, ge=1, le=1000)
    slack_count: float = Field(default=0.0, ge=0)


class GatewaySettings(FrozenModel):
    """Settings of a gateway process.

    :param caller_address: listens for requests of callers.
    :param control_address: listens for peers that fetch snapshots.
    :param heartbeat_address: listens for heartbeats of peers (UDP).
    :param seed_addresses: heartbeat addresses of some peers; they may be down.
    :param memory_limit_bytes: the process is killed when it uses more.
    :param descriptors_limit_count: maximum of open sockets.
    :param share_window_seconds: window over which the usage of organisations
        is compared.
    :param target_departure_seconds: time after which a target that has left
        must get no requests.
    :param target_renewal_seconds: interval at which targets renew their
        entries in the list.
    :param repeats: budget of retries to targets.
    :param has_fewer_heartbeats_elsewhere: whether a large fleet sends fewer
        heartbeats to other failure domains.
    :param warmup: bound of the requests to cold targets.
    :param learns_target_speeds: whether predicted waits follow the speed of
        each target, as learned by all routers.
    """

    router_id: RouterId
    failure_domain: FailureDomain
    region: str
    caller_address: Address
    control_address: Address
    heartbeat_address: Address
    metrics_address: Address
    metrics_path: str = '/metrics'
    seed_addresses: tuple[Address, ...] = ()
    memory_limit_bytes: int = Field(default=256 * 1024 * 1024, gt=0)
    descriptors_limit_count: int = Field(default=4096, gt=0)
    share_window_seconds: float = Field(default=4.0, gt=0)
    target_departure_seconds: float = Field(default=2.0, gt=0)
    target_renewal_seconds: float = Field(default=1.2, gt=0)
    repeats: RetryBudgetSettings = RetryBudgetSettings()
    leaving: LeavingSettings = LeavingSettings()
    has_fewer_heartbeats_elsewhere: bool = True
    warmup: WarmupSettings = WarmupSettings()
    learns_target_speeds: bool = False
    log_level: str = Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
    )
