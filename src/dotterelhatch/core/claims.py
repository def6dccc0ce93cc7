"""Claims on idempotency keys, which make requests run at most once.

A claim is a row of the table service. This module defines the rows and the
decisions that follow from them; ``ClaimStore`` reads and writes them.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, NewType, Self

from pydantic import ConfigDict, Field, ValidationError

from dotterelhatch.errors import ErrorKind
from dotterelhatch.fleet import FrozenModel
from dotterelhatch.ids import (
    Fingerprint,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
)

__all__ = (
    'ClaimOwner',
    'ClaimPolicy',
    'ClaimRow',
    'ClaimState',
    'ClaimToken',
    'Claimable',
    'Identity',
    'Rejected',
    'Replay',
    'ResponseRecord',
    'Running',
    'Settlement',
    'StartedClaim',
    'StoredClaim',
    'StoredResponse',
    'Verdict',
    'evaluate_claim',
    'is_expired',
    'plan_settlement',
    'row_key',
)

ClaimToken = NewType('ClaimToken', str)


class ClaimState(enum.Enum):
    """State of the work that belongs to a key.

    CLAIMED: the work may be running. NOT_RUN: it was not dispatched, so the key
    may be claimed again. DONE: its response is stored. UNKNOWN: it was
    dispatched, and whether it ran is not known.
    """

    CLAIMED = 'claimed'
    NOT_RUN = 'not_run'
    DONE = 'done'
    UNKNOWN = 'unknown'


class ClaimPolicy(FrozenModel):
    """Limits and timing of claims.

    :param wait_seconds: how long a request waits for a running request with
        the same key.
    :param first_poll_seconds: bound of the first delay between polls, which
        doubles with each poll.
    :param max_poll_seconds: limit of that bound.
    :param retention_seconds: how long a row is kept after it was written.
    :param inline_bytes: largest body that is stored in the row itself.
    :param write_attempts_count: consecutive attempts to write one row.
    :param pending_limit_count: number of unsettled claims at which new ones
        are rejected; bounds memory while the table service is down.
    """

    wait_seconds: float = Field(default=10.0, ge=0)
    first_poll_seconds: float = Field(default=0.05, gt=0)
    max_poll_seconds: float = Field(default=2.0, gt=0)
    retention_seconds: float = Field(default=7 * 86_400, gt=0)
    inline_bytes: int = Field(default=65_536, ge=0)
    write_attempts_count: int = Field(default=3, ge=1)
    pending_limit_count: int = Field(default=10_000, ge=1)


class ClaimOwner(FrozenModel):
    """The router incarnation that wrote a claim."""

    router_id: RouterId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Identity:
    """The claim owner of this process and a liveness check for other owners.

    :param is_live: returns whether a router incarnation is still running, so
        that it may finish its claims.
    """

    owner: ClaimOwner
    is_live: Callable[[RouterId, Incarnation], bool]

    def is_owner_live(self, owner: ClaimOwner) -> bool:
        """Return whether an owner may still finish its claim."""
        if owner == self.owner:
            return True
        return self.is_live(owner.router_id, owner.incarnation)


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete response, returned to later requests with the same key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ResponseRecord(FrozenModel):
    """A response as part of a claim row.

    :param digest: SHA-256 of the body in hexadecimal.
    :param body: the body, None if it is in the object store.
    :param object_name: name of the body in the object store.
    """

    model_config = ConfigDict(
        extra='ignore', ser_json_bytes='base64', val_json_bytes='base64'
    )

    status: int
    headers: tuple[tuple[str, str], ...]
    digest: str
    body: bytes | None = None
    object_name: str | None = None


class ClaimRow(FrozenModel):
    """Content of a claim row.

    Unknown fields are ignored, because routers of two software versions run
    side by side during an upgrade and the later one may add fields.

    :param fingerprint: identifies the request body.
    :param token: identifies the call that wrote the claim.
    """

    model_config = ConfigDict(extra='ignore')

    state: ClaimState
    fingerprint: Fingerprint
    token: Annotated[ClaimToken, Field(min_length=1)]
    owner: ClaimOwner
    written_at_seconds: float
    answer: ResponseRecord | None = None

    def encode(self) -> bytes:
        """Return the row as JSON."""
        return self.model_dump_json(exclude_none=True).encode()


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim row with its revision.

    :param row: None if the content could not be decoded.
    """

    row: ClaimRow | None
    revision: int

    @classmethod
    def decode(cls, content: bytes, revision: int) -> Self:
        """Decode a row from JSON, to a claim without a row if it is damaged."""
        try:
            return cls(ClaimRow.model_validate_json(content), revision)
        except ValidationError:
            return cls(None, revision)

    def has_token(self, token: ClaimToken) -> bool:
        """Return whether the row was written with a token."""
        return self.row is not None and self.row.token == token


@dataclass(frozen=True, slots=True)
class StartedClaim:
    """A written claim, which permits to dispatch the work of a key once.

    :param revision: revision of the claim row.
    """

    row_key: str
    row: ClaimRow
    revision: int


@dataclass(frozen=True, slots=True)
class Claimable:
    """The key may be claimed by a write with an expected revision.

    :param revision: the expected revision, 0 if there must be no row.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The work is done and its response is stored."""

    record: ResponseRecord


@dataclass(frozen=True, slots=True)
class Running:
    """The key is claimed and the owner may still finish the work."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request must not run.

    :param kind: the error for the caller.
    """

    kind: ErrorKind


Verdict = Claimable | Replay | Running | Rejected


@dataclass(frozen=True, slots=True)
class Settlement:
    """A final state that has to be written to a claim row.

    :param row: the row to write, with the token of the claim.
    :param revision: revision of the claim row. If it is not known whether the
        claim was written, the revision that its write expected.
    :param is_written: whether the claim is known to be written.
    :param response: the response, if the work is done.
    """

    row_key: str
    row: ClaimRow
    revision: int
    is_written: bool
    response: StoredResponse | None = None


def row_key(organisation: OrganisationId, service: ServiceId, key: str) -> str:
    """Return the key of a claim row.

    The key is unambiguous because ids contain no slash.
    """
    return f'{organisation}/{service}/{key}'


def is_expired(
    row: ClaimRow, now_seconds: float, policy: ClaimPolicy, identity: Identity
) -> bool:
    """Return whether a row is older than the retention period.

    A claim with a live owner never expires, because the clocks of routers may
    differ.
    """
    if now_seconds - row.written_at_seconds < policy.retention_seconds:
        return False
    if row.state is ClaimState.CLAIMED:
        return not identity.is_owner_live(row.owner)
    return True


def evaluate_claim(
    stored: StoredClaim | None,
    wanted: ClaimRow,
    policy: ClaimPolicy,
    identity: Identity,
) -> Verdict:
    """Decide how to handle a request, given the stored row of its key.

    :param stored: the stored row, None if there is none.
    :param wanted: the row that the request would write.
    """
    if stored is None:
        return Claimable(0)
    if stored.row is None:
        return Rejected(ErrorKind.OUTCOME_UNKNOWN)
    row = stored.row
    # Nothing ran for a NOT_RUN row, so a request with another body may use
    # the key.
    if row.state is ClaimState.NOT_RUN:
        return Claimable(stored.revision)
    if is_expired(row, wanted.written_at_seconds, policy, identity):
        return Claimable(stored.revision)
    if row.fingerprint != wanted.fingerprint:
        return Rejected(ErrorKind.KEY_REUSED)
    return _evaluate_current(row, identity)


def plan_settlement(
    settlement: Settlement, stored: StoredClaim | None
) -> int | None:
    """Return the expected revision for the write of a final state.

    If the outcome of the claim write is unknown and the row still has the
    revision which that write expected, the write may take effect later.
    Writing a row with this expected revision prevents that.

    :returns: None if there is nothing left to write.
    """
    if stored is not None and stored.has_token(settlement.row.token):
        return _plan_for_own_row(settlement.row, stored)
    stored_revision = stored.revision if stored else 0
    if not settlement.is_written and stored_revision == settlement.revision:
        return stored_revision
    return None


def _evaluate_current(row: ClaimRow, identity: Identity) -> Verdict:
    if row.state is ClaimState.DONE and row.answer is not None:
        return Replay(row.answer)
    if row.state is ClaimState.CLAIMED and identity.is_owner_live(row.owner):
        return Running()
    return Rejected(ErrorKind.OUTCOME_UNKNOWN)


def _plan_for_own_row(wanted: ClaimRow, stored: StoredClaim) -> int | None:
    state = stored.row.state if stored.row else None
    is_unknown = state is ClaimState.UNKNOWN
    # The owner may receive the outcome after it has marked it as unknown.
    is_late_outcome = is_unknown and wanted.state is ClaimState.DONE
    if state is ClaimState.CLAIMED or is_late_outcome:
        return stored.revision
    return None
