"""Targets that receive no new work because their host is leaving."""

from collections.abc import Iterable

from dotterelhatch.core.messages import TargetLeaving
from dotterelhatch.ids import TargetId
from dotterelhatch.backing.interfaces import HostEntry, HostRole, HostState

__all__ = ('LeavingTargets',)


class LeavingTargets:
    """Remembers which instances of targets are leaving.

    The host list lags and may show an instance as live again, so a leaving
    instance stays leaving until the target has another instance.
    """

    def __init__(self) -> None:
        """Start with no leaving target."""
        self._leaving: dict[TargetId, set[str]] = {}
        self._instances: dict[TargetId, str] = {}

    def on_hosts(self, hosts: Iterable[HostEntry]) -> list[TargetLeaving]:
        """Take over a host list and return what the peers should know."""
        news = []
        for host in hosts:
            if host.role is not HostRole.TARGET:
                continue
            target = TargetId(host.name)
            self._instances[target] = host.instance
            if host.state is HostState.LEAVING:
                message = TargetLeaving(target, host.instance)
                if self.on_message(message):
                    news.append(message)
        return news

    def on_message(self, message: TargetLeaving) -> bool:
        """Take over a leaving instance and return whether it is news."""
        instances = self._leaving.setdefault(message.target, set())
        if message.instance in instances:
            return False
        instances.add(message.instance)
        return True

    def reports(self) -> list[TargetLeaving]:
        """Return all that a router with nothing remembered must know."""
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
