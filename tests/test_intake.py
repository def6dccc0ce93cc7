"""Order in which a busy server reads requests."""

from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.intake import IntakeQueue
from dotterelhatch.ids import OrganisationId

LARGE = OrganisationId('large')
SMALL = OrganisationId('small')
STEP_SECONDS = 0.01


def flooded_queue(large_count: int, small_count: int) -> IntakeQueue[str]:
    """Return a queue in which one organisation has many requests."""
    queue = IntakeQueue[str]()
    for number in range(large_count):
        queue.add(f'large-{number}', LARGE, 0)
    for number in range(small_count):
        queue.add(f'small-{number}', SMALL, 0)
    return queue


def take_all(queue: IntakeQueue[str]) -> list[str]:
    """Return all requests in the order in which they are read."""
    taken = []
    while (entry := queue.take_next()) is not None:
        taken.append(entry)
    return taken


def test_no_request_is_late_without_load() -> None:
    """Guards against rejections that idle processor time does not call for."""
    queue = IntakeQueue[str]()
    for step in range(300):
        now_seconds = step * STEP_SECONDS
        queue.add(f'large-{step}', LARGE, now_seconds)
        queue.add(f'small-{step}', SMALL, now_seconds)
        assert queue.take_late(now_seconds) is None
        assert {queue.take_next(), queue.take_next()} == {
            f'large-{step}',
            f'small-{step}',
        }


def test_a_flood_does_not_delay_the_requests_of_others() -> None:
    """Guards against an order that is blind to the organisation."""
    taken = take_all(flooded_queue(300, 30))
    assert sum(name.startswith('small') for name in taken[:60]) == 30


def test_the_latest_request_of_an_organisation_is_read_first() -> None:
    """Guards against requests that are all read after their callers gave up."""
    assert take_all(flooded_queue(3, 0)) == ['large-2', 'large-1', 'large-0']


def test_a_request_that_waits_too_long_is_late() -> None:
    """Guards against callers that are never answered under overload."""
    queue = flooded_queue(2, 0)
    assert queue.take_late(0.1) is None
    assert queue.take_late(0.2) == 'large-0'
    queue.add('large-2', LARGE, 0.2)
    assert queue.take_late(0.2) == 'large-1'
    assert queue.take_late(0.2) is None


def test_an_organisation_that_returns_has_no_debt() -> None:
    """Guards against turns that depend on requests of long ago."""
    queue = flooded_queue(100, 0)
    take_all(queue)
    queue.add('large', LARGE, 60)
    queue.add('small', SMALL, 60)
    assert set(take_all(queue)) == {'large', 'small'}


@given(
    st.lists(
        st.tuples(
            st.sampled_from(('add', 'next', 'late', 'discard')),
            st.integers(0, 3),
        )
    )
)
def test_each_request_leaves_the_queue_once(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against requests that are read twice or forgotten."""
    queue = IntakeQueue[int]()
    waiting: set[int] = set()
    for number, (action, flow) in enumerate(steps):
        now_seconds = number * 0.03
        if action == 'add':
            queue.add(number, OrganisationId(str(flow)), now_seconds)
            waiting.add(number)
        elif action == 'discard':
            queue.discard(flow)
            waiting.discard(flow)
        else:
            taken = (
                queue.take_next()
                if action == 'next'
                else queue.take_late(now_seconds)
            )
            assert taken is None or taken in waiting
            assert taken is not None or action == 'late' or not waiting
            waiting.discard(taken)  # type: ignore[arg-type]
        assert len(queue) == len(waiting)


def test_the_flow_with_the_most_requests_loses_its_oldest() -> None:
    """Guards against a full queue that rejects whoever comes next."""
    queue = IntakeQueue[str]()
    queue.add('small', SMALL, 0.0)
    for number in range(3):
        queue.add(f'large {number}', LARGE, float(number))
    assert queue.take_excess(3) == 'large 0'
    assert queue.take_excess(3) is None
    assert len(queue) == 3


def test_new_connections_are_rejected_before_open_ones() -> None:
    """Guards against callers that have to connect again for each request."""
    queue = IntakeQueue[str]()
    queue.add('open', LARGE, 0.0)
    queue.add('new', LARGE, 1.0, source='host')
    assert queue.take_late(1.05) == 'open'
    queue.add('open', LARGE, 2.0)
    assert queue.take_excess(1) == 'new'
