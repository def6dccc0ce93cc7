"""Spread and acceptance of configuration versions."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from dotterelhatch.core.messages import (
    ConfigAcknowledgement,
    ConfigOffer,
    ConfigRequest,
)
from dotterelhatch.core.rollout import (
    ApplyConfig,
    ConfigMessage,
    Rollout,
    RolloutAction,
    RolloutLimits,
    SendConfig,
)
from dotterelhatch.ids import ConfigVersion, RouterId

A, B, C, D = (RouterId(name) for name in 'abcd')


def version(number: int) -> ConfigVersion:
    """Return a version."""
    return ConfigVersion(number)


def document(number: int) -> bytes:
    """Return the only document that a version may have."""
    return f'document {number}'.encode()


def is_usable(content: bytes) -> bool:
    """Accept what ``document`` makes."""
    return content.startswith(b'document')


def offer(number: int) -> ConfigOffer:
    """Return an offer of a version."""
    return ConfigOffer(version(number), document(number))


def applied(number: int) -> ApplyConfig:
    """Return the action that puts a version in force."""
    return ApplyConfig(version(number), document(number))


def make(number: int = 0, peers: Iterable[RouterId] = ()) -> Rollout:
    """Return a rollout with a version in force and peers that lack more."""
    rollout = Rollout(is_usable, random.Random(1))
    if number:
        rollout.on_store_read(version(number), document(number), 0)
    rollout.on_tick(dict.fromkeys(peers, version(number)), 0)
    return rollout


def only_applied(actions: Iterable[RolloutAction]) -> list[RolloutAction]:
    """Leave out the messages."""
    return [one for one in actions if isinstance(one, ApplyConfig)]


def test_spread_before_apply() -> None:
    """Guards against a version in force that no other router holds."""
    rollout = make(1, [A, B, C, D])
    actions = rollout.on_store_read(version(2), document(2), 10)
    assert {one.receiver for one in actions} == {A, B, C, D}
    assert {one.message for one in actions} == {
        ConfigAcknowledgement(version(2))
    }
    held = ConfigAcknowledgement(version(2))
    assert not only_applied(rollout.on_message(A, held, 10.1))
    assert not only_applied(rollout.on_message(A, held, 10.1))
    assert not only_applied(rollout.on_message(B, held, 10.2))
    assert only_applied(rollout.on_message(C, held, 10.3)) == [applied(2)]
    assert rollout.active_version == 2


def test_apply_without_answers() -> None:
    """Guards against waiting for peers that never answer."""
    rollout = make(1, [A])
    rollout.on_store_read(version(2), document(2), 10)
    peers = {A: version(1)}
    assert not only_applied(rollout.on_tick(peers, 11.9))
    assert only_applied(rollout.on_tick(peers, 12)) == [applied(2)]


def test_frequent_changes_do_not_postpone() -> None:
    """Guards against a version that never applies while others arrive."""
    rollout = make(1, [A])
    actions: list[RolloutAction] = []
    for number in range(2, 30):
        now = number / 2
        actions += rollout.on_store_read(version(number), document(number), now)
        actions += rollout.on_tick({A: version(1)}, now)
    assert len(only_applied(actions)) > 5


def test_document_only_to_who_lacks_it() -> None:
    """Guards against documents sent to routers that hold them."""
    rollout = make(5, [A])
    request = ConfigRequest(version(4))
    assert rollout.on_message(A, request, 1)[0] == SendConfig(A, offer(5))
    request = ConfigRequest(version(5))
    answer = SendConfig(A, ConfigAcknowledgement(version(5)))
    assert rollout.on_message(A, request, 1) == [answer]


def test_lower_offer_has_no_effect() -> None:
    """Guards against a step back on a late message."""
    rollout = make(5, [A])
    actions = rollout.on_message(A, offer(4), 9)
    assert actions == [SendConfig(A, ConfigAcknowledgement(version(5)))]
    assert rollout.on_store_read(version(4), document(4), 9) == []


def test_unusable_version_is_not_passed_on() -> None:
    """Guards against one bad document in force or asked for for ever."""
    rollout = make(1, [A])
    bad = ConfigOffer(version(7), b'bad')
    assert rollout.on_message(A, bad, 1) == []
    assert rollout.on_tick({A: version(7)}, 5) == []
    actions = rollout.on_message(A, offer(6), 6)
    assert SendConfig(A, ConfigAcknowledgement(version(6))) in actions


def test_restarted_router_waits_for_the_highest() -> None:
    """Guards against going back after a restart to what a peer lags with."""
    rollout = make(0, [A, B])
    rollout.on_message(A, offer(5), 1)
    actions = rollout.on_tick({A: version(5), B: version(7)}, 9)
    assert actions[0] == SendConfig(B, ConfigRequest(version(5)))
    assert not only_applied(actions)
    assert only_applied(rollout.on_message(B, offer(7), 9)) == [applied(7)]


def test_first_versions_wait_for_answers() -> None:
    """Guards against the first of several offers in force after a restart."""
    rollout = make(0, [A])
    assert not only_applied(rollout.on_message(A, offer(5), 1))
    assert not only_applied(rollout.on_message(B, offer(7), 2))
    assert only_applied(rollout.on_tick({}, 3)) == [applied(7)]


def test_first_stored_version_gives_way_to_a_higher_one() -> None:
    """Guards against a read that was overtaken by a peer's offer."""
    rollout = make(0, [A, B])
    rollout.on_store_read(version(5), document(5), 1)
    rollout.on_message(B, offer(7), 2)
    held = ConfigAcknowledgement(version(5))
    assert not only_applied(rollout.on_message(A, held, 2))
    assert only_applied(rollout.on_tick({A: version(5)}, 3)) == [applied(7)]


def test_restart_takes_back_an_acknowledgement() -> None:
    """Guards against counting what a peer held before it restarted."""
    rollout = make(1, [A, B])
    rollout.on_store_read(version(2), document(2), 9)
    rollout.on_message(A, ConfigAcknowledgement(version(2)), 9)
    rollout.on_message(A, ConfigRequest(version(0)), 9)
    held = ConfigAcknowledgement(version(2))
    assert not only_applied(rollout.on_message(B, held, 9))
    assert only_applied(rollout.on_message(A, held, 9)) == [applied(2)]


@dataclass
class Simulation:
    """Routers, a table service and a network that tests can disturb."""

    routers: dict[RouterId, Rollout] = field(default_factory=dict)
    in_force: dict[RouterId, int] = field(default_factory=dict)
    before: dict[RouterId, int] = field(default_factory=dict)
    views: dict[RouterId, dict[RouterId, ConfigVersion]] = field(
        default_factory=dict
    )
    cut: set[RouterId] = field(default_factory=set)
    flight: list[tuple[RouterId, RouterId, ConfigMessage]] = field(
        default_factory=list
    )
    stored: int = 0
    is_store_up: bool = True
    now: float = 0.0

    def restart(self, router: RouterId) -> None:
        """Start a router with nothing."""
        self.before[router] = max(
            self.before.get(router, 0), self.in_force.get(router, 0)
        )
        self.in_force[router] = 0
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
                version(number), document(number), self.now
            )
            self.perform(router, actions)

    def view(self, router: RouterId) -> dict[RouterId, ConfigVersion]:
        """Return what membership says at a router."""
        if router in self.cut:
            return {}
        return {
            peer: rollout.latest_version
            for peer, rollout in self.routers.items()
            if peer != router and peer not in self.cut
        }

    def tick(self, router: RouterId) -> None:
        """Let the time of a router's step come."""
        self.views[router] = self.view(router)
        actions = self.routers[router].on_tick(self.views[router], self.now)
        self.perform(router, actions)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver a message in flight and perhaps keep a duplicate."""
        entry = self.flight[index] if keep else self.flight.pop(index)
        sender, receiver, message = entry
        if not {sender, receiver} & self.cut:
            actions = self.routers[receiver].on_message(
                sender, message, self.now
            )
            self.perform(receiver, actions)

    def perform(
        self, router: RouterId, actions: Iterable[RolloutAction]
    ) -> None:
        """Send and apply, and check the order of versions."""
        for action in actions:
            if isinstance(action, SendConfig):
                entry = (router, action.receiver, action.message)
                self.flight.append(entry)
                continue
            assert action.document == document(action.version)
            self.check_order(router, action.version)
            self.in_force[router] = action.version

    def check_order(self, router: RouterId, number: int) -> None:
        """Fail when a version goes back."""
        assert number > self.in_force[router]
        reachable = max(self.views[router].values(), default=0)
        if self.in_force[router] == 0 and reachable >= self.before[router]:
            assert number >= self.before[router]

    def settle(self) -> None:
        """Repair the network and let every router take its steps."""
        self.cut.clear()
        for _ in range(40):
            self.now += 1
            for router in self.routers:
                self.poll(router)
                self.tick(router)
            while self.flight:
                self.deliver(0)

    def check_spread(self) -> None:
        """Fail when a version that is reachable is not in force."""
        held = [one.latest_version for one in self.routers.values()]
        stored = self.stored if self.is_store_up else 0
        self.settle()
        assert set(self.in_force.values()) == {max(stored, *held)}


ROUTERS = st.sampled_from([A, B, C, D])


class Machine(RuleBasedStateMachine):
    """Guards against steps back and versions that do not get everywhere."""

    def __init__(self) -> None:
        """Start four routers."""
        super().__init__()
        self.sim = Simulation()
        for router in (A, B, C, D):
            self.sim.restart(router)

    @rule(router=ROUTERS)
    def restart(self, router: RouterId) -> None:
        """Lose all state of a router."""
        self.sim.restart(router)

    @rule(routers=st.lists(ROUTERS, min_size=1, max_size=4))
    def poll(self, routers: list[RouterId]) -> None:
        """Read the table service at some routers."""
        for router in routers:
            self.sim.poll(router)

    @rule(
        routers=st.lists(ROUTERS, min_size=1, max_size=4),
        seconds=st.sampled_from([0.1, 1.0, 2.0]),
    )
    def tick(self, routers: list[RouterId], seconds: float) -> None:
        """Let time pass at some routers."""
        self.sim.now += seconds
        for router in routers:
            self.sim.tick(router)

    @rule(is_up=st.booleans(), is_changed=st.booleans())
    def change_store(self, is_up: bool, is_changed: bool) -> None:
        """Start or end an outage, or write a version."""
        self.sim.is_store_up = is_up
        self.sim.stored += int(is_up and is_changed)

    @rule(router=ROUTERS)
    def toggle_link(self, router: RouterId) -> None:
        """Cut a router off or connect it."""
        self.sim.cut ^= {router}

    @precondition(lambda self: self.sim.flight)
    @rule(
        picked=st.integers(min_value=0, max_value=99),
        fate=st.sampled_from(['deliver', 'deliver', 'duplicate', 'lose']),
    )
    def handle(self, picked: int, fate: str) -> None:
        """Deliver any message in flight, twice, or never."""
        index = picked % len(self.sim.flight)
        if fate == 'lose':
            self.sim.flight.pop(index)
        else:
            self.sim.deliver(index, keep=fate == 'duplicate')

    @precondition(lambda self: self.sim.flight)
    @rule()
    def handle_all(self) -> None:
        """Deliver what is in flight, the latest first."""
        for _ in range(len(self.sim.flight)):
            self.sim.deliver(len(self.sim.flight) - 1)

    def teardown(self) -> None:
        """Check the spread from wherever the run ended."""
        self.sim.check_spread()


TestMachine = Machine.TestCase


def _disturb(sim: Simulation, rng: random.Random) -> None:
    steps: list[Callable[[], None]] = [
        lambda: sim.restart(rng.choice([A, B, C, D])),
        lambda: setattr(sim, 'is_store_up', not sim.is_store_up),
        lambda: setattr(sim, 'stored', sim.stored + int(sim.is_store_up)),
        lambda: sim.cut.symmetric_difference_update(rng.choice([A, B, C, D])),
    ]
    rng.choice(steps)()


def _run_second(sim: Simulation, rng: random.Random) -> None:
    for router in rng.sample([A, B, C, D], 4):
        sim.tick(router)
        if sim.now % 3 == 0:
            sim.poll(router)
    while sim.flight:
        index = rng.randrange(len(sim.flight))
        if rng.random() < 0.3:
            sim.flight.pop(index)
        else:
            sim.deliver(index)


@pytest.mark.parametrize('seed', range(20))
def test_long_run(seed: int) -> None:
    """Guards against a slow loss of versions under losses and restarts."""
    rng = random.Random(seed)
    sim = Simulation(stored=1)
    for router in (A, B, C, D):
        sim.restart(router)
    for second in range(200):
        sim.now = second
        if rng.random() < 0.4:
            _disturb(sim, rng)
        _run_second(sim, rng)
    if any(sim.in_force.values()) or sim.is_store_up:
        sim.check_spread()
