"""At-most-once claims: rows, and what a stored row means for a request."""

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
    """What is known of the work of a key."""

    CLAIMED = 'claimed'
    NOT_RUN = 'not_run'
    DONE = 'done'
    UNKNOWN = 'unknown'


class ClaimPolicy(FrozenModel):
    """Limits and timing of claims.

    :param wait_seconds: how long a repeat waits for a running first request.
    :param inline_bytes: largest body that is stored in the row itself.
    :param write_attempts_count: writes of one claim or settlement in a row.
    :param pending_limit_count: unsettled claims at which new ones are refused,
        which bounds memory while the table service is down.
    """

    wait_seconds: float = Field(default=10.0, ge=0)
    first_poll_seconds: float = Field(default=0.05, gt=0)
    max_poll_seconds: float = Field(default=2.0, gt=0)
    retention_seconds: float = Field(default=7 * 86_400, gt=0)
    inline_bytes: int = Field(default=65_536, ge=0)
    write_attempts_count: int = Field(default=3, ge=1)
    pending_limit_count: int = Field(default=10_000, ge=1)


class ClaimOwner(FrozenModel):
    """The router lifetime that wrote a claim."""

    router_id: RouterId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this router is and whom it takes for running.

    :param is_live: whether the owner of a claim may still finish it; False
        when that lifetime of the router has ended.
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
    """A complete response that repeats of its request receive."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ResponseRecord(FrozenModel):
    """A stored response; the body is here or in the object store.

    :param digest: SHA-256 of the body in hexadecimal.
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

    Fields that a later version adds are ignored, since routers of two
    versions run side by side during an upgrade.
    """

    model_config = ConfigDict(extra='ignore')

    state: ClaimState
    fingerprint: Fingerprint
    token: Annotated[ClaimToken, Field(min_length=1)]
    owner: ClaimOwner
    written_at_seconds: float
    answer: ResponseRecord | None = None

    def encode(self) -> bytes:
        """Return the stored form."""
        return self.model_dump_json(exclude_none=True).encode()


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim row with its revision, None for a row that is unreadable."""

    row: ClaimRow | None
    revision: int

    @classmethod
    def decode(cls, content: bytes, revision: int) -> Self:
        """Read the stored form."""
        try:
            return cls(ClaimRow.model_validate_json(content), revision)
        except ValidationError:
            return cls(None, revision)

    def has_token(self, token: ClaimToken) -> bool:
        """Return whether the row was written with a token."""
        return self.row is not None and self.row.token == token


@dataclass(frozen=True, slots=True)
class StartedClaim:
    """Permission to dispatch the work of a key once.

    :param revision: revision of the claim row.
    """

    row_key: str
    row: ClaimRow
    revision: int


@dataclass(frozen=True, slots=True)
class Claimable:
    """The key may be claimed by a write on a revision (0: no row)."""

    revision: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The work is done; its response is stored."""

    record: ResponseRecord


@dataclass(frozen=True, slots=True)
class Running:
    """The owner of the claim may still finish it."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request cannot run."""

    kind: ErrorKind


Verdict = Claimable | Replay | Running | Rejected


@dataclass(frozen=True, slots=True)
class Settlement:
    """A final state that is still to be written into a claim row.

    :param row: the row to write; carries the token of the claim.
    :param revision: revision of the claim row or, when it is not known
        whether the claim was written, the revision that its write expected.
    :param is_written: whether the claim is known to be written.
    :param answer: the response, when the work is done.
    """

    row_key: str
    row: ClaimRow
    revision: int
    is_written: bool
    answer: StoredResponse | None = None


def row_key(organisation: OrganisationId, service: ServiceId, key: str) -> str:
    """Return the key of a claim row; ids contain no slash."""
    return f'{organisation}/{service}/{key}'


def is_expired(
    row: ClaimRow, now_seconds: float, policy: ClaimPolicy, identity: Identity
) -> bool:
    """Return whether a row has outlived the retention.

    A claim whose owner is live is kept, whatever the clocks say.
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
    """Decide what a stored row means for a request.

    :param wanted: the row that the request would write.
    """
    if stored is None:
        return Claimable(0)
    if stored.row is None:
        return Rejected(ErrorKind.OUTCOME_UNKNOWN)
    row = stored.row
    # Nothing ran for a row that is not run, so its body binds no request.
    if row.state is ClaimState.NOT_RUN:
        return Claimable(stored.revision)
    if is_expired(row, wanted.written_at_seconds, policy, identity):
        return Claimable(stored.revision)
    if row.fingerprint != wanted.fingerprint:
        return Rejected(ErrorKind.KEY_REUSED)
    return _judge_used(row, identity)


def plan_settlement(
    settlement: Settlement, stored: StoredClaim | None
) -> int | None:
    """Return the revision to write the final state on, None when settled.

    While the row still has the revision that a lost claim write expected, that
    write may take effect later; writing on this revision prevents it.
    """
    if stored is not None and stored.has_token(settlement.row.token):
        return _plan_own(settlement.row, stored)
    stored_revision = stored.revision if stored else 0
    if not settlement.is_written and stored_revision == settlement.revision:
        return stored_revision
    return None


def _judge_used(row: ClaimRow, identity: Identity) -> Verdict:
    if row.state is ClaimState.DONE and row.answer is not None:
        return Replay(row.answer)
    if row.state is ClaimState.CLAIMED and identity.is_owner_live(row.owner):
        return Running()
    return Rejected(ErrorKind.OUTCOME_UNKNOWN)


def _plan_own(wanted: ClaimRow, stored: StoredClaim) -> int | None:
    state = stored.row.state if stored.row else None
    is_unknown = state is ClaimState.UNKNOWN
    # The owner may learn the outcome after it was marked unknown.
    is_improved = is_unknown and wanted.state is ClaimState.DONE
    if state is ClaimState.CLAIMED or is_improved:
        return stored.revision
    return None
