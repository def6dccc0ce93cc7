"""Targets that receive no new requests because their host is leaving."""

from collections.abc import Iterable

from dotterelhatch.backing.interfaces import HostEntry, HostRole, HostState
from dotterelhatch.core.messages import TargetLeaving
from dotterelhatch.ids import TargetId

__all__ = ('LeavingTargets',)


class LeavingTargets:
    """The instances of targets that are leaving.

    The host list lags behind and may list an instance as live again. So an
    instance that was listed as leaving stays so until the target has another
    instance.
    """

    def __init__(self) -> None:
        """Start without leaving targets."""
        self._leaving: dict[TargetId, set[str]] = {}
        self._instances: dict[TargetId, str] = {}

    def on_hosts(self, hosts: Iterable[HostEntry]) -> list[TargetLeaving]:
        """Apply a host list and return the reports for the other routers."""
        unreported = []
        for host in hosts:
            if host.role is not HostRole.TARGET:
                continue
            target = TargetId(host.name)
            self._instances[target] = host.instance
            if host.state is HostState.LEAVING:
                message = TargetLeaving(target, host.instance)
                if self.on_report(message):
                    unreported.append(message)
        return unreported

    def on_report(self, message: TargetLeaving) -> bool:
        """Add a leaving instance and return whether it was unknown."""
        instances = self._leaving.setdefault(message.target, set())
        if message.instance in instances:
            return False
        instances.add(message.instance)
        return True

    def reports(self) -> list[TargetLeaving]:
        """Return reports of all leaving instances, for a restarted router."""
        return [
            TargetLeaving(target, instance)
            for target, instances in self._leaving.items()
            for instance in sorted(instances)
        ]

    def targets(self) -> frozenset[TargetId]:
        """Return the targets whose current instance is leaving."""
        return frozenset(
            target
            for target, instances in self._leaving.items()
            if self._instances.get(target) in {None, *instances}
        )

    def dump(self) -> dict[str, list[str]]:
        """Return the state for the state dump."""
        return {
            target: sorted(instances)
            for target, instances in self._leaving.items()
        }
