"""Simulated fleet of routers that exchange member records, for tests."""

import random
from dataclasses import dataclass

from dotterelhatch.core.membership import ListedRouter, Membership
from dotterelhatch.core.messages import Frame
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    Incarnation,
    RouterId,
)
from dotterelhatch.settings import PlatformSettings, RouterSettings

__all__ = ('MemberFleet', 'Node', 'router_settings')

_UNUSED = 'http://127.0.0.1:1'
_START_MILLISECONDS = 1_700_000_000_000


def router_settings(name: str, port: int = 7000) -> RouterSettings:
    """Return settings with the default timing."""
    return RouterSettings(
        router_id=RouterId(name),
        failure_domain=FailureDomain('konya'),
        region='anadolu',
        caller_address=f'127.0.0.1:{port}',
        peer_address=f'127.0.0.1:{port + 1000}',
        operations_address=f'127.0.0.1:{port + 2000}',
        platform=PlatformSettings(
            tables_url=_UNUSED, objects_url=_UNUSED, hosts_url=_UNUSED
        ),
    )


@dataclass
class Node:
    """One router of the fleet.

    :param side: side of a partition; nodes of different sides cannot reach
        each other.
    """

    settings: RouterSettings
    membership: Membership
    running: bool = True
    paused: bool = False
    side: int = 0

    @property
    def responds(self) -> bool:
        """Return whether the node handles frames."""
        return self.running and not self.paused


class MemberFleet:
    """Routers that exchange frames under faults and a simulated clock.

    :param names: ids of the routers, one letter each.
    """

    def __init__(self, names: str, seed: int = 0) -> None:
        """Start all routers."""
        self.rng = random.Random(seed)
        self.now_seconds = 0.0
        self.loss = 0.0
        self.keep_copies = False
        self.copies: list[tuple[RouterId, Frame]] = []
        self.nodes: dict[RouterId, Node] = {}
        self._settings = {
            RouterId(name): router_settings(name, 7000 + index)
            for index, name in enumerate(names)
        }
        for name in self._settings:
            self.start(name)

    def start(self, name: RouterId, clock_back_seconds: float = 0) -> None:
        """Start a router without any state."""
        wall_seconds = self.now_seconds - clock_back_seconds
        membership = Membership(
            self._settings[name],
            Incarnation(_START_MILLISECONDS + int(wall_seconds * 1000)),
            random.Random(self.rng.random()),
        )
        side = self.nodes[name].side if name in self.nodes else 0
        self.nodes[name] = Node(self._settings[name], membership, side=side)
        self._list_hosts(membership)

    def run(self, period_count: int = 1) -> None:
        """Run some periods of one second."""
        for _ in range(period_count):
            self.now_seconds += 1
            for name, node in self.nodes.items():
                if node.responds:
                    for peer in node.membership.on_tick(self.now_seconds):
                        self.call(name, peer)

    def call(self, caller: RouterId, callee: RouterId) -> None:
        """Make a call, and a second one if the first failure requires it."""
        membership = self.nodes[caller].membership
        if self._exchange(caller, callee):
            return
        if membership.on_call_failed(callee, self.now_seconds):
            if not self._exchange(caller, callee):
                membership.on_call_failed(callee, self.now_seconds)

    def deliver_copies(self) -> None:
        """Deliver copies of earlier frames in random order."""
        self.rng.shuffle(self.copies)
        copies, self.copies = self.copies, []
        for receiver, frame in copies:
            if self.nodes[receiver].responds:
                self.nodes[receiver].membership.on_frame(
                    frame, self.now_seconds
                )

    def running(self) -> set[RouterId]:
        """Return the routers that run."""
        return {name for name, node in self.nodes.items() if node.running}

    def views(self) -> list[Membership]:
        """Return the member lists of the routers that respond."""
        return [one.membership for one in self.nodes.values() if one.responds]

    def _exchange(self, caller: RouterId, callee: RouterId) -> bool:
        source, sink = self.nodes[caller], self.nodes[callee]
        request = self._frame(source, callee)
        if not sink.responds or source.side != sink.side or self._is_lost():
            return False
        self._deliver(callee, request)
        reply = self._frame(sink, caller)
        if self._is_lost():
            return False
        self._deliver(caller, reply)
        return True

    def _deliver(self, receiver: RouterId, frame: Frame) -> None:
        if self.keep_copies:
            self.copies.append((receiver, frame))
        self.nodes[receiver].membership.on_frame(frame, self.now_seconds)

    def _is_lost(self) -> bool:
        return self.rng.random() < self.loss

    def _frame(self, node: Node, receiver: RouterId) -> Frame:
        own = node.membership.own_record()
        return Frame(
            sender=own.router,
            incarnation=own.incarnation,
            receiver_incarnation=node.membership.incarnation_of(receiver),
            sequence=0,
            config_version=ConfigVersion(0),
            records=node.membership.records_to_send(receiver),
            messages=(),
        )

    def _list_hosts(self, membership: Membership) -> None:
        membership.on_hosts(
            [
                ListedRouter(
                    name,
                    settings.peer_address,
                    settings.failure_domain,
                    leaving=False,
                )
                for name, settings in self._settings.items()
            ],
            self.now_seconds,
        )
