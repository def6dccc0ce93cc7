"""Random interleavings of routers that claim the same keys."""

import random
from collections import Counter
from dataclasses import dataclass
from typing import Any

from claim_helpers import ClaimEnvironment, begin
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from dotterelhatch.claimstore import ClaimStore
from dotterelhatch.core.claims import StartedClaim, StoredResponse
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed

ROUTERS = st.sampled_from('abc')
KEYS = st.sampled_from(['k0', 'k1'])
FAULTS = ['ok', 'ok', 'ok', 'lost', 'void', 'late', 'down']
SCRIPTS = st.lists(st.sampled_from(FAULTS), max_size=4)
INDEXES = st.integers(min_value=0, max_value=3)
# Each store call suspends twice; most calls end within 12 steps.
STEPS = st.sampled_from([12, 12, 1, 2, 3])
STEP_ACTIONS = ['advance', 'advance', 'dispatch', 'conclude', 'settle']
FAULT_ACTIONS = ['cancel', 'release', 'release', 'presume', 'restart']


@dataclass
class HeldClaim:
    """A claim that a router has started and not settled."""

    name: str
    claim: StartedClaim
    key: str
    is_dispatched: bool = False


class ClaimMachine(RuleBasedStateMachine):
    """Guards against a second run of the work of a key.

    Routers claim, dispatch and settle two keys under random faults. Work is
    dispatched only with a claim, so there must never be two claims for a key.
    A response must come from the only run, and an error must not say that
    nothing ran unless it is known.
    """

    def __init__(self) -> None:
        super().__init__()
        self.environment = ClaimEnvironment()
        self.incarnations = Counter('abc')
        self.routers = {name: self.environment.router(name) for name in 'abc'}
        self.calls: list[tuple[str, str, Any]] = []
        self.held: list[HeldClaim] = []
        self.dispatched: dict[str, list[str]] = {'k0': [], 'k1': []}
        self.tokens_count = 0

    def teardown(self) -> None:
        self.stop_router('abc')

    @rule(seed=st.integers(min_value=0, max_value=2**32))
    def burst(self, seed: int) -> None:
        """Run many random actions, since single rules rarely interleave."""
        rng = random.Random(seed)
        for _action in range(30):
            name, key = rng.choice('abc'), rng.choice(['k0', 'k1'])
            script = rng.choices(FAULTS, k=rng.randrange(4))
            number, steps = rng.randrange(4), rng.choice([12, 12, 1, 2, 3])
            act = rng.random()
            if act < 0.3:
                self.request(name, key, script, steps)
            elif act < 0.85:
                self.advance_any(
                    rng.choice(STEP_ACTIONS), number, script, steps
                )
            else:
                self.inject_fault(rng.choice(FAULT_ACTIONS), name, number)
            self.check_at_most_once()
            self.check_not_run_rows()

    @rule(name=ROUTERS, key=KEYS, script=SCRIPTS, steps=STEPS)
    def request(
        self, name: str, key: str, script: list[str], steps: int
    ) -> None:
        self.tokens_count += 1
        store = self.load(name, script)
        self.run_steps(
            name, key, begin(store, f't{self.tokens_count}', key), steps
        )

    @rule(
        action=st.sampled_from(STEP_ACTIONS),
        number=INDEXES,
        script=SCRIPTS,
        steps=STEPS,
    )
    def advance_any(
        self, action: str, number: int, script: list[str], steps: int
    ) -> None:
        if action == 'advance' and self.calls:
            self.run_steps(*self.calls.pop(number % len(self.calls)), steps)
        elif action == 'settle':
            name = 'abc'[number % 3]
            call = self.load(name, script).settle_pending()
            self.run_steps(name, '', call, steps)
        elif action == 'dispatch' and self.held:
            self.dispatch(self.held[number % len(self.held)])
        elif action == 'conclude' and self.held:
            held = self.held.pop(number % len(self.held))
            if number % 2:
                self.dispatch(held)
            self.conclude(held, script, number < 2, steps)

    @rule(
        action=st.sampled_from(FAULT_ACTIONS),
        name=ROUTERS,
        number=INDEXES,
    )
    def inject_fault(self, action: str, name: str, number: int) -> None:
        if action == 'cancel' and self.calls:
            self.calls.pop(number % len(self.calls))[-1].close()
        elif action == 'release':
            self.environment.tables.release_held_writes()
        elif action == 'presume':
            # A paused or partitioned router counts as dead but continues.
            self.environment.live.discard((name, self.incarnations[name]))
        elif action == 'restart':
            self.environment.live.discard((name, self.incarnations[name]))
            self.stop_router(name)
            self.incarnations[name] += 1
            self.routers[name] = self.environment.router(
                name, incarnation=self.incarnations[name]
            )

    def load(self, name: str, script: list[str]) -> ClaimStore:
        store, tables = self.routers[name]
        tables.script = list(script)
        return store

    def dispatch(self, held: HeldClaim) -> None:
        if not held.is_dispatched:
            self.dispatched[held.key].append(held.claim.row.token)
        held.is_dispatched = True

    def conclude(
        self, held: HeldClaim, script: list[str], is_known: bool, steps: int
    ) -> None:
        store = self.load(held.name, script)
        if not held.is_dispatched:
            call = store.abandon(held.claim)
        elif is_known:
            body = held.claim.row.token.encode()
            call = store.finish(held.claim, StoredResponse(200, (), body))
        else:
            call = store.mark_unknown(held.claim)
        self.run_steps(held.name, held.key, call, steps)

    @invariant()
    def check_at_most_once(self) -> None:
        for key, tokens in self.dispatched.items():
            waiting = [
                held
                for held in self.held
                if held.key == key and not held.is_dispatched
            ]
            assert len(tokens) + len(waiting) <= 1

    @invariant()
    def check_not_run_rows(self) -> None:
        for key, tokens in self.dispatched.items():
            stored = self.environment.stored(key)
            if stored and stored.row and stored.row.state.value == 'not_run':
                held = [held.claim.row.token for held in self.held]
                assert stored.row.token not in held + tokens

    def run_steps(self, name: str, key: str, call: Any, steps: int) -> None:
        try:
            for _step in range(steps):
                call.send(None)
        except StopIteration as stop:
            self.on_finished(name, key, stop.value)
        except DotterelhatchError as error:
            # Only an error before the claim may say that nothing was run.
            is_not_run = error.kind is ErrorKind.STORE_UNAVAILABLE
            assert (error.executed is Executed.NO) == is_not_run
            assert error.kind is not ErrorKind.KEY_REUSED
        else:
            self.calls.append((name, key, call))

    def on_finished(self, name: str, key: str, outcome: Any) -> None:
        if isinstance(outcome, StartedClaim):
            self.held.append(HeldClaim(name, outcome, key))
        elif isinstance(outcome, StoredResponse):
            assert [outcome.body.decode()] == self.dispatched[key]

    def stop_router(self, names: str) -> None:
        for name, _key, call in self.calls:
            if name in names:
                call.close()
        self.calls = [call for call in self.calls if call[0] not in names]
        self.held = [held for held in self.held if held.name not in names]


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(max_examples=200, stateful_step_count=15)
