"""Settings of a gateway process, passed whole to its parts."""

from pydantic import Field

from dotterelhatch.fleet import Address, FrozenModel
from dotterelhatch.ids import FailureDomain, RouterId

__all__ = ('GatewaySettings', 'LeavingSettings', 'RepeatSettings')


class RepeatSettings(FrozenModel):
    """Bound of the repeats that targets of one service receive in all."""

    window_seconds: float = Field(default=10.0, gt=0)
    ratio: float = Field(default=0.2, ge=0)
    slack_count: float = Field(default=20.0, ge=0)


class LeavingSettings(FrozenModel):
    """Timing of a graceful stop.

    :param address_ttl_seconds: how long callers keep the addresses that they
        were told; some keep them three times as long.
    :param limit_seconds: until the process has to end.
    """

    address_ttl_seconds: float = Field(default=2.0, gt=0, le=60)
    limit_seconds: float = Field(default=8.0, gt=0, le=600)


class GatewaySettings(FrozenModel):
    """Settings of a gateway process.

    :param caller_address: where requests arrive.
    :param control_address: where peers fetch snapshots.
    :param heartbeat_address: where datagrams of peers arrive.
    :param seed_addresses: heartbeat addresses of some peers, which may be
        down.
    :param memory_limit_bytes: the process is killed above it.
    :param descriptors_limit_count: open sockets that the process may have.
    :param share_window_seconds: over which organisations are compared.
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
    repeats: RepeatSettings = RepeatSettings()
    leaving: LeavingSettings = LeavingSettings()
    log_level: str = Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
    )
