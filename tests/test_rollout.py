"""Distribution and activation of configuration versions."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from dotterelhatch.core.messages import (
    ConfigAnnouncement,
    ConfigOffer,
    ConfigRequest,
)
from dotterelhatch.core.rollout import (
    ActivateVersion,
    ConfigMessage,
    Rollout,
    RolloutAction,
    RolloutLimits,
    SendConfig,
)
from dotterelhatch.ids import ConfigVersion, RouterId

A, B, C, D = (RouterId(name) for name in 'abcd')


def version(number: int) -> ConfigVersion:
    """Return a typed version."""
    return ConfigVersion(number)


def document(number: int) -> bytes:
    """Return the document that belongs to a version."""
    return f'document {number}'.encode()


def is_usable(content: bytes) -> bool:
    """Accept only documents made by ``document``."""
    return content.startswith(b'document')


def offer(number: int) -> ConfigOffer:
    """Return an offer of a version."""
    return ConfigOffer(version(number), document(number))


def activation(number: int) -> ActivateVersion:
    """Return the action that makes a version active."""
    return ActivateVersion(version(number), document(number))


def make_rollout(number: int = 0, peers: Iterable[RouterId] = ()) -> Rollout:
    """Return a rollout with an active version, which its peers hold too."""
    rollout = Rollout(is_usable, random.Random(1))
    if number:
        rollout.on_store_read(version(number), document(number), 0)
    rollout.on_tick(dict.fromkeys(peers, version(number)), 0)
    return rollout


def activations(actions: Iterable[RolloutAction]) -> list[RolloutAction]:
    """Return only the actions that make a version active."""
    return [one for one in actions if isinstance(one, ActivateVersion)]


def test_distribution_before_activation() -> None:
    """Guards against an active version that no other router holds.

    It would be lost if the router restarted while the table service is down.
    """
    rollout = make_rollout(1, [A, B, C, D])
    actions = rollout.on_store_read(version(2), document(2), 10)
    assert {one.receiver for one in actions} == {A, B, C, D}
    assert {one.message for one in actions} == {ConfigAnnouncement(version(2))}
    acknowledgement = ConfigAnnouncement(version(2))
    assert not activations(rollout.on_message(A, acknowledgement, 10.1))
    assert not activations(rollout.on_message(A, acknowledgement, 10.1))
    assert not activations(rollout.on_message(B, acknowledgement, 10.2))
    assert activations(rollout.on_message(C, acknowledgement, 10.3)) == [
        activation(2)
    ]
    assert rollout.active_version == 2


def test_activation_without_acknowledgements() -> None:
    """Guards against a version that waits for ever for unresponsive peers.

    A live peer may never acknowledge it, for example because it rejects the
    version, so the wait has a timeout.
    """
    rollout = make_rollout(1, [A])
    rollout.on_store_read(version(2), document(2), 10)
    peers = {A: version(1)}
    assert not activations(rollout.on_tick(peers, 11.9))
    assert activations(rollout.on_tick(peers, 12)) == [activation(2)]


def test_frequent_changes_do_not_postpone_activation() -> None:
    """Guards against a rollout that applies nothing while versions arrive.

    Each new version must not restart the wait of the earlier ones.
    """
    rollout = make_rollout(1, [A])
    actions: list[RolloutAction] = []
    for number in range(2, 30):
        now_seconds = number / 2
        actions += rollout.on_store_read(
            version(number), document(number), now_seconds
        )
        actions += rollout.on_tick({A: version(1)}, now_seconds)
    assert len(activations(actions)) > 5


def test_document_is_sent_only_to_peers_that_lack_it() -> None:
    """Guards against sending documents to peers that already hold them.

    A request names the version that its sender holds.
    """
    rollout = make_rollout(5, [A])
    request = ConfigRequest(version(4))
    assert rollout.on_message(A, request, 1)[0] == SendConfig(A, offer(5))
    request = ConfigRequest(version(5))
    reply = SendConfig(A, ConfigAnnouncement(version(5)))
    assert rollout.on_message(A, request, 1) == [reply]


def test_lower_offer_has_no_effect() -> None:
    """Guards against going back a version because of a late message.

    An offer, or a read of the table service, may be older than the active
    version.
    """
    rollout = make_rollout(5, [A])
    actions = rollout.on_message(A, offer(4), 9)
    assert actions == [SendConfig(A, ConfigAnnouncement(version(5)))]
    assert rollout.on_store_read(version(4), document(4), 9) == []


def test_invalid_version_is_not_distributed() -> None:
    """Guards against an invalid document that becomes active.

    Also guards against requesting it again and again from a peer.
    """
    rollout = make_rollout(1, [A])
    bad = ConfigOffer(version(7), b'bad')
    assert rollout.on_message(A, bad, 1) == []
    assert rollout.on_tick({A: version(7)}, 5) == []
    actions = rollout.on_message(A, offer(6), 6)
    assert SendConfig(A, ConfigAnnouncement(version(6))) in actions


def test_restarted_router_waits_for_the_highest_version() -> None:
    """Guards against going back a version after a restart.

    A peer may offer a lower version than was active before the restart, while
    another live peer holds the higher one.
    """
    rollout = make_rollout(0, [A, B])
    rollout.on_message(A, offer(5), 1)
    actions = rollout.on_tick({A: version(5), B: version(7)}, 9)
    assert actions[0] == SendConfig(B, ConfigRequest(version(5)))
    assert not activations(actions)
    assert activations(rollout.on_message(B, offer(7), 9)) == [activation(7)]


def test_first_versions_wait_for_peers() -> None:
    """Guards against applying the first of several offers after a restart.

    Peers may hold different versions, and the higher one may have been active
    here before the restart.
    """
    rollout = make_rollout(0, [A])
    assert not activations(rollout.on_message(A, offer(5), 1))
    assert not activations(rollout.on_message(B, offer(7), 2))
    assert activations(rollout.on_tick({}, 3)) == [activation(7)]


def test_first_stored_version_yields_to_a_higher_one() -> None:
    """Guards against applying a stored version after a higher offer.

    A read of the table service may have begun before the higher version was
    written that a peer offers.
    """
    rollout = make_rollout(0, [A, B])
    rollout.on_store_read(version(5), document(5), 1)
    rollout.on_message(B, offer(7), 2)
    acknowledgement = ConfigAnnouncement(version(5))
    assert not activations(rollout.on_message(A, acknowledgement, 2))
    assert activations(rollout.on_tick({A: version(5)}, 3)) == [activation(7)]


def test_request_revokes_an_acknowledgement() -> None:
    """Guards against counting the acknowledgement of a restarted peer.

    After a restart the peer no longer holds the version, as its request
    shows.
    """
    rollout = make_rollout(1, [A, B])
    rollout.on_store_read(version(2), document(2), 9)
    rollout.on_message(A, ConfigAnnouncement(version(2)), 9)
    rollout.on_message(A, ConfigRequest(version(0)), 9)
    acknowledgement = ConfigAnnouncement(version(2))
    assert not activations(rollout.on_message(B, acknowledgement, 9))
    assert activations(rollout.on_message(A, acknowledgement, 9)) == [
        activation(2)
    ]


@dataclass
class Simulation:
    """Routers, a table service and a network with injected faults.

    :param active: the active version of each router.
    :param active_before_restart: the highest version that was active at a
        router before its last restart.
    :param views: the peers of each router with their versions.
    :param isolated: routers without a network.
    :param in_flight: messages with sender and receiver.
    :param stored: the version in the table service.
    """

    routers: dict[RouterId, Rollout] = field(default_factory=dict)
    active: dict[RouterId, int] = field(default_factory=dict)
    active_before_restart: dict[RouterId, int] = field(default_factory=dict)
    views: dict[RouterId, dict[RouterId, ConfigVersion]] = field(
        default_factory=dict
    )
    isolated: set[RouterId] = field(default_factory=set)
    in_flight: list[tuple[RouterId, RouterId, ConfigMessage]] = field(
        default_factory=list
    )
    stored: int = 0
    is_store_up: bool = True
    now_seconds: float = 0.0

    def restart(self, router: RouterId) -> None:
        """Start a router without any state."""
        self.active_before_restart[router] = max(
            self.active_before_restart.get(router, 0),
            self.active.get(router, 0),
        )
        self.active[router] = 0
        self.views[router] = {}
        self.routers[router] = Rollout(
            is_usable,
            random.Random(ord(router)),
            RolloutLimits(fan_out_count=2),
        )

    def poll(self, router: RouterId) -> None:
        """Read the table service."""
        if self.is_store_up and self.stored:
            number = self.stored
            actions = self.routers[router].on_store_read(
                version(number), document(number), self.now_seconds
            )
            self.perform(router, actions)

    def view(self, router: RouterId) -> dict[RouterId, ConfigVersion]:
        """Return the live peers of a router with their versions."""
        if router in self.isolated:
            return {}
        return {
            peer: rollout.latest_version
            for peer, rollout in self.routers.items()
            if peer != router and peer not in self.isolated
        }

    def tick(self, router: RouterId) -> None:
        """Run one tick of a router."""
        self.views[router] = self.view(router)
        actions = self.routers[router].on_tick(
            self.views[router], self.now_seconds
        )
        self.perform(router, actions)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver a message; ``keep`` leaves a duplicate in flight."""
        entry = self.in_flight[index] if keep else self.in_flight.pop(index)
        sender, receiver, message = entry
        if not {sender, receiver} & self.isolated:
            actions = self.routers[receiver].on_message(
                sender, message, self.now_seconds
            )
            self.perform(receiver, actions)

    def perform(
        self, router: RouterId, actions: Iterable[RolloutAction]
    ) -> None:
        """Perform the actions of a router and check the order of versions."""
        for action in actions:
            if isinstance(action, SendConfig):
                entry = (router, action.receiver, action.message)
                self.in_flight.append(entry)
                continue
            assert action.document == document(action.version)
            self.check_order(router, action.version)
            self.active[router] = action.version

    def check_order(self, router: RouterId, number: int) -> None:
        """Fail if a router goes back to a lower version."""
        assert number > self.active[router]
        reachable = max(self.views[router].values(), default=0)
        if (
            self.active[router] == 0
            and reachable >= self.active_before_restart[router]
        ):
            assert number >= self.active_before_restart[router]

    def settle(self) -> None:
        """Repair the network and run all routers until they converge."""
        self.isolated.clear()
        for _ in range(40):
            self.now_seconds += 1
            for router in self.routers:
                self.poll(router)
                self.tick(router)
            while self.in_flight:
                self.deliver(0)

    def check_convergence(self) -> None:
        """Fail unless the highest available version is active everywhere."""
        held_versions = [one.latest_version for one in self.routers.values()]
        stored = self.stored if self.is_store_up else 0
        self.settle()
        assert set(self.active.values()) == {max(stored, *held_versions)}


ROUTERS = st.sampled_from([A, B, C, D])


class RolloutMachine(RuleBasedStateMachine):
    """Guards against going back a version and against lost versions.

    Random sequences of faults, reads and deliveries must never lower the
    active version of a router, and must converge once the faults end.
    """

    def __init__(self) -> None:
        """Start four routers without a configuration."""
        super().__init__()
        self.simulation = Simulation()
        for router in (A, B, C, D):
            self.simulation.restart(router)

    @rule(router=ROUTERS)
    def restart(self, router: RouterId) -> None:
        """Restart a router without its state."""
        self.simulation.restart(router)

    @rule(routers=st.lists(ROUTERS, min_size=1, max_size=4))
    def poll(self, routers: list[RouterId]) -> None:
        """Read the table service at some routers."""
        for router in routers:
            self.simulation.poll(router)

    @rule(
        routers=st.lists(ROUTERS, min_size=1, max_size=4),
        seconds=st.sampled_from([0.1, 1.0, 2.0]),
    )
    def tick(self, routers: list[RouterId], seconds: float) -> None:
        """Advance the time and run a tick of some routers."""
        self.simulation.now_seconds += seconds
        for router in routers:
            self.simulation.tick(router)

    @rule(is_up=st.booleans(), is_changed=st.booleans())
    def change_store(self, is_up: bool, is_changed: bool) -> None:
        """Start or end an outage, or write a version."""
        self.simulation.is_store_up = is_up
        self.simulation.stored += int(is_up and is_changed)

    @rule(router=ROUTERS)
    def toggle_isolation(self, router: RouterId) -> None:
        """Isolate a router from the network or connect it again."""
        self.simulation.isolated ^= {router}

    @precondition(lambda self: self.simulation.in_flight)
    @rule(
        picked=st.integers(min_value=0, max_value=99),
        delivery=st.sampled_from(['deliver', 'deliver', 'duplicate', 'lose']),
    )
    def handle(self, picked: int, delivery: str) -> None:
        """Deliver, duplicate or lose any message in flight."""
        index = picked % len(self.simulation.in_flight)
        if delivery == 'lose':
            self.simulation.in_flight.pop(index)
        else:
            self.simulation.deliver(index, keep=delivery == 'duplicate')

    @precondition(lambda self: self.simulation.in_flight)
    @rule()
    def handle_all(self) -> None:
        """Deliver all messages in flight, the latest first."""
        for _ in range(len(self.simulation.in_flight)):
            self.simulation.deliver(len(self.simulation.in_flight) - 1)

    def teardown(self) -> None:
        """Check that the routers converge after the last step."""
        self.simulation.check_convergence()


TestRolloutMachine = RolloutMachine.TestCase


def _inject_fault(simulation: Simulation, rng: random.Random) -> None:
    steps: list[Callable[[], None]] = [
        lambda: simulation.restart(rng.choice([A, B, C, D])),
        lambda: setattr(simulation, 'is_store_up', not simulation.is_store_up),
        lambda: setattr(
            simulation,
            'stored',
            simulation.stored + int(simulation.is_store_up),
        ),
        lambda: simulation.isolated.symmetric_difference_update(
            rng.choice([A, B, C, D])
        ),
    ]
    rng.choice(steps)()


def _run_second(simulation: Simulation, rng: random.Random) -> None:
    for router in rng.sample([A, B, C, D], 4):
        simulation.tick(router)
        if simulation.now_seconds % 3 == 0:
            simulation.poll(router)
    while simulation.in_flight:
        index = rng.randrange(len(simulation.in_flight))
        if rng.random() < 0.3:
            simulation.in_flight.pop(index)
        else:
            simulation.deliver(index)


@pytest.mark.parametrize('seed', range(20))
def test_long_run(seed: int) -> None:
    """Guards against versions that get lost in a long run with faults.

    Messages are lost and routers restart without state for 200 s. Afterwards
    the highest version that is still available must be active everywhere.
    """
    rng = random.Random(seed)
    simulation = Simulation(stored=1)
    for router in (A, B, C, D):
        simulation.restart(router)
    for second in range(200):
        simulation.now_seconds = second
        if rng.random() < 0.4:
            _inject_fault(simulation, rng)
        _run_second(simulation, rng)
    if any(simulation.active.values()) or simulation.is_store_up:
        simulation.check_convergence()
