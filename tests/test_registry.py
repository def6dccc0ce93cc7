"""The target registry during drains, restarts and outages of its list."""

from dataclasses import replace

import pytest

from dotterelhatch.core.registry import (
    TargetEntry,
    TargetRegistry,
    TargetState,
)
from dotterelhatch.ids import FailureDomain, ServiceId, TargetId

SERVICE = ServiceId('usta-model')


def _entry(name: str, **changes: object) -> TargetEntry:
    entry = TargetEntry(
        id=TargetId(name),
        service=SERVICE,
        address='10.0.0.1:80',
        failure_domain=FailureDomain('konya'),
        state=TargetState.READY,
        slots_count=6,
        started_ms=100,
    )
    return replace(entry, **changes)  # type: ignore[arg-type]


def _names(registry: TargetRegistry) -> list[str]:
    return [entry.id for entry in registry.ready(SERVICE)]


def test_a_leaving_target_stays_leaving_until_it_starts_again() -> None:
    """Guards against requests to a drained target in an outdated list.

    A later read may return the entry as it was before the drain.
    """
    registry = TargetRegistry()
    leaving = _entry('a', state=TargetState.LEAVING)
    registry.apply([_entry('a')], 0)
    registry.apply([leaving], 1)
    registry.apply([_entry('a')], 2)
    assert not _names(registry)
    registry.apply([_entry('a', started_ms=200)], 3)
    assert _names(registry) == ['a']


def test_a_target_that_disappears_is_gone_at_once() -> None:
    """Guards against requests to a target that left without a drain.

    The list was reachable all the time, so the entry did not expire by an
    outage and gets no grace period.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a'), _entry('b')], 0)
    changed = registry.apply([_entry('b')], 1)
    assert _names(registry) == ['b']
    assert [(one.id, one.state) for one in changed] == [
        ('a', TargetState.LEAVING)
    ]


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while() -> None:
    """Guards against a service without targets after an outage of its list.

    Entries expire during the outage, since targets cannot renew them.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a'), _entry('b')], 0)
    registry.apply([], 10, regained_seconds=10)
    assert _names(registry) == ['a', 'b']
    registry.apply([_entry('b')], 11, regained_seconds=10)
    assert [one.id for one in registry.expire(12.6)] == ['a']
    assert _names(registry) == ['b']


def test_a_target_whose_grace_period_ends_counts_as_leaving() -> None:
    """Guards against a target that is dropped as if it had just started.

    A start discards what is known of its health, its cache and its crashes.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a')], 0)
    registry.apply([], 10, regained_seconds=10)
    dropped = registry.expire(13)
    assert [one.state for one in dropped] == [TargetState.LEAVING]


@pytest.mark.parametrize('departure_seconds', [0.5, 1.2, 3.0])
def test_a_target_that_may_have_left_is_kept_no_longer_than_allowed(
    departure_seconds: float,
) -> None:
    """Guards against a bound for leaving targets of which only one is kept.

    Each deployment states how long a target that has left may get requests.
    """
    registry = TargetRegistry(departure_seconds)
    registry.apply([_entry('a')], 0)
    registry.apply([], 10.3, regained_seconds=10.2)
    registry.expire(10 + departure_seconds - 0.1)
    assert not _names(registry)


@pytest.mark.parametrize('left_seconds', [10.1, 10.5, 11.0, 12.0])
def test_a_target_that_leaves_after_an_outage_is_not_kept_for_long(
    left_seconds: float,
) -> None:
    """Guards against requests to a target that left when its list was back.

    It was listed after the outage, so its entry had not expired in it. Requests
    may reach a target for 2 s after it has left, and the router reads the
    change up to 0.3 s late.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a'), _entry('b')], 0)
    registry.apply([_entry('a'), _entry('b')], 10, regained_seconds=10)
    registry.apply([_entry('b')], left_seconds + 0.3, regained_seconds=10)
    registry.expire(left_seconds + 1.9)
    assert _names(registry) == ['b']


def test_a_leaving_target_is_not_kept_by_an_outage() -> None:
    """Guards against a drain that is undone by an outage of the list.

    Entries that disappear right after an outage are kept for a grace period,
    but not those of leaving targets.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a', state=TargetState.LEAVING)], 0)
    registry.apply([], 10, regained_seconds=10)
    assert len(registry) == 0


def test_an_address_of_another_instance_is_not_used() -> None:
    """Guards against requests to an address that another instance got.

    The list may still contain the former entry, with other changes, until the
    target registers its new start.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a')], 0)
    registry.mark_replaced(TargetId('a'))
    registry.apply([_entry('a', slots_count=7)], 1)
    assert not _names(registry)
    registry.apply([_entry('a', started_ms=300)], 2)
    assert _names(registry) == ['a']


def test_a_target_that_says_that_it_leaves_is_not_used_again() -> None:
    """Guards against requests to a target whose answer said that it leaves.

    The list may still name it as ready, lose it in an outage and name it once
    more afterwards.
    """
    registry = TargetRegistry()
    entry = _entry('a')
    registry.apply([entry, _entry('b')], 0)
    assert registry.mark_leaving(entry)
    assert not registry.mark_leaving(entry)
    assert _names(registry) == ['b']
    registry.apply([entry, _entry('b')], 1)
    assert _names(registry) == ['b']
    registry.apply([_entry('b')], 2, regained_seconds=2)
    assert _names(registry) == ['b']
    registry.apply([_entry('b')], 9)
    registry.apply([entry, _entry('b')], 10)
    assert _names(registry) == ['b']


def test_a_new_start_of_a_leaving_target_is_used() -> None:
    """Guards against a target that is lost for good after a restart.

    An answer of the former start may still arrive after the new start was
    listed.
    """
    registry = TargetRegistry()
    former = _entry('a')
    registry.apply([former], 0)
    registry.mark_leaving(former)
    registry.apply([_entry('a', started_ms=200)], 1)
    assert _names(registry) == ['a']
    registry.mark_leaving(former)
    assert _names(registry) == ['a']
    assert not registry.is_usable(former)


RENEWAL_SECONDS = 1.2


def _registry_after_departure(**changes: object) -> TargetRegistry:
    """Return a registry whose target "a" has disappeared at 10 s."""
    registry = TargetRegistry(renewal_seconds=RENEWAL_SECONDS)
    registry.apply([_entry('a', **changes), _entry('b')], 0)
    registry.apply([_entry('b')], 10)
    return registry


@pytest.mark.parametrize('written_seconds', [10.1, 12.4, 15.9])
def test_a_late_write_brings_back_a_target_that_has_left(
    written_seconds: float,
) -> None:
    """Guards against requests to a target after its entry was removed.

    The platform performs a write that it has not answered seconds later. The
    entry expires when the target does not renew it.
    """
    registry = _registry_after_departure(row_version=1)
    late = _entry('a', row_version=3)
    registry.apply([late, _entry('b')], written_seconds)
    assert _names(registry) == ['b']
    assert not registry.is_usable(late)
    expired_seconds = written_seconds + 3 * RENEWAL_SECONDS
    registry.readmit(expired_seconds)
    assert _names(registry) == ['b']
    registry.apply([_entry('b')], expired_seconds)
    registry.readmit(expired_seconds + 60)
    assert _names(registry) == ['b']


def test_a_new_start_of_a_target_that_has_left_waits() -> None:
    """Guards against a restart that is taken for a late write."""
    registry = _registry_after_departure()
    registry.apply([_entry('a', started_ms=200), _entry('b')], 10.1)
    assert _names(registry) == ['a', 'b']


def test_a_target_that_expired_in_an_outage_waits_when_it_is_back() -> None:
    """Guards against an outage after which sound targets are not used.

    They register again under the same start, some after the grace period.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a'), _entry('b')], 0)
    registry.apply([], 10, regained_seconds=10)
    registry.expire(13)
    assert not _names(registry)
    registry.apply([_entry('a')], 13.1, regained_seconds=10)
    assert _names(registry) == ['a']
    registry.apply([_entry('a'), _entry('b')], 14, regained_seconds=10)
    assert _names(registry) == ['a', 'b']


def test_a_target_that_was_cut_off_from_its_list_is_lost_for_good() -> None:
    """Guards against a live target that is taken for one that has left.

    An entry that is still there when that of a late write has expired shows
    that it is alive.
    """
    registry = _registry_after_departure(row_version=1)
    registry.apply([_entry('a', row_version=3)], 12)
    registry.readmit(20)
    assert not _names(registry)
    readmitted = registry.readmit(21)
    assert [one.id for one in readmitted] == ['a']
    assert _names(registry) == ['a']
    registry = _registry_after_departure(row_version=1)
    registry.readmit(21)
    registry.apply([_entry('a', row_version=3)], 21.1)
    assert _names(registry) == ['a']


def test_a_late_write_that_is_read_late_brings_back_a_target() -> None:
    """Guards against a router that was cut off from its list meanwhile.

    It reads the entry when no late write is performed any more.
    """
    registry = _registry_after_departure(row_version=1)
    registry.apply([_entry('a', row_version=3), _entry('b')], 18)
    assert _names(registry) == ['b']


def test_starts_that_are_not_used_are_kept_for_ever() -> None:
    """Guards against memory that grows with each target that leaves."""
    registry = TargetRegistry()
    kept = _entry('kept')
    registry.apply([kept], 0)
    registry.mark_leaving(kept)
    for number in range(5000):
        leaving = _entry('a', started_ms=number, state=TargetState.LEAVING)
        registry.apply([kept, leaving], number)
        registry.apply([kept], number)
    assert len(registry._unusable) <= 4096
    assert not registry.is_usable(kept)
    assert not registry.is_usable(_entry('a', started_ms=4999))


def test_a_late_write_brings_back_a_target_that_was_leaving() -> None:
    """Guards against a drain that ends with the entry of the target."""
    registry = _registry_after_departure(state=TargetState.LEAVING)
    registry.apply([_entry('a')], 60)
    registry.readmit(120)
    assert not _names(registry)
    registry.apply([_entry('a', started_ms=200)], 121)
    assert _names(registry) == ['a']


def test_a_malformed_entry_counts_as_a_departure() -> None:
    """Guards against the loss of a target whose entry was overwritten once.

    Other programs write to the list, too, and the target writes it again.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a')], 0)
    registry.apply([], 1, unreadable={TargetId('a')})
    assert not _names(registry)
    registry.apply([_entry('a')], 2)
    assert _names(registry) == ['a']


def test_an_empty_list_is_taken_for_the_departure_of_all_targets() -> None:
    """Guards against a service without targets when the list is filled again.

    A list with one entry can't be told from one that has lost its content.
    """
    registry = TargetRegistry()
    registry.apply([_entry('a'), _entry('b')], 0)
    registry.apply([], 1)
    assert not _names(registry)
    registry.apply([_entry('a'), _entry('b')], 2)
    assert _names(registry) == ['a', 'b']
    registry.apply([_entry('b')], 3)
    registry.apply([], 4)
    registry.apply([_entry('b', row_version=5)], 5)
    assert not _names(registry)


def test_an_incomplete_list_is_taken_for_departures() -> None:
    """Guards against the loss of targets that a list has left out once.

    A late write would make a new row.
    """
    registry = _registry_after_departure(row_version=1)
    registry.apply([_entry('a', row_version=1), _entry('b')], 11)
    assert _names(registry) == ['a', 'b']
