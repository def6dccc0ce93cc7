"""Idle connections of a server, by the organisations that use them."""

from typing import Generic, TypeVar

from dotterelhatch.core.intake import Flow

__all__ = ('IdleConnections',)

ConnectionT = TypeVar('ConnectionT')
TaskT = TypeVar('TaskT')


class IdleConnections(Generic[ConnectionT, TaskT]):
    """Idle connections with the tasks that wait on them."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._tasks: dict[Flow, dict[ConnectionT, TaskT]] = {}

    def add(self, flow: Flow, connection: ConnectionT, task: TaskT) -> None:
        """Add a connection that has become idle."""
        self._tasks.setdefault(flow, {})[connection] = task

    def discard(self, flow: Flow, connection: ConnectionT) -> None:
        """Remove a connection, if it is idle."""
        tasks = self._tasks.get(flow, {})
        tasks.pop(connection, None)
        if not tasks:
            self._tasks.pop(flow, None)

    def tasks(self) -> list[TaskT]:
        """Return the tasks of all connections."""
        return [
            task for tasks in self._tasks.values() for task in tasks.values()
        ]

    def connections(self) -> list[ConnectionT]:
        """Return all connections."""
        return [
            connection for tasks in self._tasks.values() for connection in tasks
        ]

    def pop_excess(self) -> TaskT | None:
        """Remove the connection to close if there are too many.

        It is the oldest one of the organisation that has the most, so that
        one organisation cannot have the connections of others closed.

        :returns: its task, None without an idle connection.
        """
        if not self._tasks:
            return None
        flow = max(self._tasks, key=self._count)
        connection, task = next(iter(self._tasks[flow].items()))
        self.discard(flow, connection)
        return task

    def _count(self, flow: Flow) -> int:
        return len(self._tasks[flow])
