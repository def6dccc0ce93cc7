"""At-most-once execution against the table service."""

import hashlib
import itertools
import logging
import random
from dataclasses import dataclass
from typing import Final, NoReturn

from dotterelhatch.core.claims import (
    Claimable,
    ClaimPolicy,
    ClaimRow,
    ClaimState,
    ClaimToken,
    Identity,
    Rejected,
    Replay,
    ResponseRecord,
    Settlement,
    StartedClaim,
    StoredClaim,
    StoredResponse,
    evaluate_claim,
    is_expired,
    plan_settlement,
    row_key,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.ids import Fingerprint, OrganisationId, ServiceId
from dotterelhatch.backing.interfaces import (
    Clock,
    ObjectStore,
    PlatformError,
    Row,
    Sleep,
    StoreUnavailable,
    TableService,
    WriteConflict,
    WriteOutcomeUnknown,
)

__all__ = ('ClaimStore',)

_TABLE: Final = 'claims'
# Ends a poll whose waiting times were all drawn close to zero.
_MAX_POLLS_COUNT: Final = 64
# Ends a call whose key is claimed and given back again and again.
_MAX_WRITES_COUNT: Final = 16
# A down store is not asked once per queued claim.
_FAILURES_IN_A_ROW: Final = 3

_DETAILS: Final = {
    ErrorKind.KEY_REUSED: (
        'the idempotency key was used with another request body'
    ),
    ErrorKind.OUTCOME_UNKNOWN: (
        'an earlier request with this key may have run; its outcome is unknown'
    ),
    ErrorKind.IN_PROGRESS: 'an earlier request with this key is still running',
}

_Outcome = StartedClaim | StoredResponse | StoredClaim | None

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Attempt:
    """One call of ``begin``.

    :param uncertain_revision: revision that a claim write expected whose
        outcome is not known, None when there is no such write.
    """

    row_key: str
    row: ClaimRow
    uncertain_revision: int | None = None
    writes_count: int = 0
    polls_count: int = 0
    waited_seconds: float = 0

    def owns(self, stored: StoredClaim) -> bool:
        """Return whether the uncertain write of this call took effect.

        Without an uncertain write a row with the same token belongs to
        another call, which must not run twice.
        """
        return (
            self.uncertain_revision is not None
            and stored.has_token(self.row.token)
            and stored.row is not None
            and stored.row.state is ClaimState.CLAIMED
        )

    def observe(self, stored: StoredClaim | None) -> None:
        """Drop the uncertainty when the write can no longer take effect."""
        # Revisions of a key never repeat.
        revision = stored.revision if stored else 0
        if revision != self.uncertain_revision:
            self.uncertain_revision = None


class _Pending:
    """Final states that are still to be written, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_row: dict[str, dict[ClaimToken, Settlement]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued states."""
        return self._count

    def first(self, limit_count: int) -> list[Settlement]:
        """Return at most this many states from the front."""
        queued = (
            settlement
            for by_token in self._by_row.values()
            for settlement in by_token.values()
        )
        return list(itertools.islice(queued, limit_count))

    def of_row(self, key: str) -> list[Settlement]:
        """Return the queued states of a row."""
        return list(self._by_row.get(key, {}).values())

    def add(self, settlement: Settlement) -> Settlement:
        """Queue a state; return the state that is queued for the claim.

        Only a known outcome replaces a state that is queued already.
        """
        by_token = self._by_row.setdefault(settlement.row_key, {})
        token = settlement.row.token
        self._count += token not in by_token
        if settlement.row.state is ClaimState.DONE:
            by_token[token] = settlement
        return by_token.setdefault(token, settlement)

    def remove(self, settlement: Settlement) -> None:
        """Remove a state unless another one has replaced it."""
        by_token = self._by_row.get(settlement.row_key, {})
        if by_token.get(settlement.row.token) is settlement:
            by_token.pop(settlement.row.token)
            self._count -= 1
        if not by_token:
            self._by_row.pop(settlement.row_key, None)

    def move_to_end(self, settlement: Settlement) -> None:
        """Let the other rows go first next time."""
        by_token = self._by_row.pop(settlement.row_key, None)
        if by_token:
            self._by_row[settlement.row_key] = by_token


class ClaimStore:
    """Claims keys before their work is dispatched and stores the outcome."""

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        sleep: Sleep,
        identity: Identity,
        rng: random.Random,
        policy: ClaimPolicy | None = None,
    ) -> None:
        """Keep the services.

        :param clock: wall clock in seconds, compared between routers only for
            the retention.
        :param rng: draws the jitter of polls.
        """
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._sleep = sleep
        self._identity = identity
        self._rng = rng
        self._policy = policy or ClaimPolicy()
        self._pending = _Pending()
        self._scan_after = ''

    @property
    def pending_count(self) -> int:
        """Return how many final states are still to be written."""
        return len(self._pending)

    async def begin(
        self,
        organisation: OrganisationId,
        service: ServiceId,
        key: str,
        fingerprint: Fingerprint,
        token: ClaimToken,
    ) -> StartedClaim | StoredResponse:
        """Claim a key or return the response that is stored for it.

        :param fingerprint: identifies the body of the request.
        :param token: unique to this call in the whole fleet.
        :raises DotterelhatchError: ``STORE_UNAVAILABLE`` when this call was
            not run, ``IN_PROGRESS``, ``OUTCOME_UNKNOWN`` or ``KEY_REUSED``.
        """
        row = ClaimRow(
            state=ClaimState.CLAIMED,
            fingerprint=fingerprint,
            token=token,
            owner=self._identity.owner,
            written_at_seconds=self._clock(),
        )
        attempt = _Attempt(row_key(organisation, service, key), row)
        try:
            return await self._run(attempt)
        except BaseException:
            self._queue_uncertain(attempt)
            raise

    async def finish(self, claim: StartedClaim, answer: StoredResponse) -> None:
        """Store the response of a claim; it is queued while that fails."""
        await self._conclude(claim, ClaimState.DONE, answer)

    async def abandon(self, claim: StartedClaim) -> None:
        """Mark a claim as not run; only when nothing was dispatched."""
        await self._conclude(claim, ClaimState.NOT_RUN)

    async def mark_unknown(self, claim: StartedClaim) -> None:
        """Mark the outcome of a dispatched claim as unknown."""
        await self._conclude(claim, ClaimState.UNKNOWN)

    async def settle_pending(self, limit_count: int = 200) -> int:
        """Write queued final states and return how many remain queued.

        :param limit_count: at most this many in one call.
        """
        failures_count = 0
        for settlement in self._pending.first(limit_count):
            if await self._try_settle(settlement):
                failures_count = 0
                continue
            self._pending.move_to_end(settlement)
            failures_count += 1
            if failures_count == _FAILURES_IN_A_ROW:
                break
        return self.pending_count

    async def delete_expired(self, limit_count: int) -> int:
        """Delete expired rows and return how many were deleted.

        Each call continues where the last one ended.

        :param limit_count: at most this many rows are read and deleted.
        """
        try:
            rows = await self._tables.scan(
                _TABLE, '', after=self._scan_after, limit_count=limit_count
            )
        except StoreUnavailable:
            return 0
        deletions = [await self._delete_if_expired(row) for row in rows]
        self._scan_after = rows[-1].key if len(rows) == limit_count else ''
        return deletions.count(True)

    async def _run(self, attempt: _Attempt) -> StartedClaim | StoredResponse:
        remembered = self._remembered(attempt)
        if remembered is not None:
            return remembered
        if self.pending_count >= self._policy.pending_limit_count:
            _refuse_unavailable('too many claims wait to be settled')
        outcome: _Outcome = await self._claim(attempt, 0)
        while not isinstance(outcome, (StartedClaim, StoredResponse)):
            outcome = await self._advance(attempt, outcome)
        return outcome

    async def _advance(
        self, attempt: _Attempt, stored: StoredClaim | None
    ) -> _Outcome:
        verdict = evaluate_claim(
            stored, attempt.row, self._policy, self._identity
        )
        if isinstance(verdict, Claimable):
            return await self._claim(attempt, verdict.revision)
        if isinstance(verdict, Replay):
            return await self._load(verdict.record)
        if isinstance(verdict, Rejected):
            _refuse(verdict.kind)
        return await self._wait(attempt, stored)

    async def _claim(
        self, attempt: _Attempt, revision: int
    ) -> StartedClaim | StoredClaim | None:
        """Write the claim on a revision; return it or the stored row."""
        for _ in range(self._policy.write_attempts_count):
            outcome = await self._try_claim(attempt, revision)
            if isinstance(outcome, StartedClaim):
                return outcome
            attempt.observe(outcome)
            if attempt.uncertain_revision is None:
                return outcome
        _refuse_unavailable('the claim was not written')

    async def _try_claim(
        self, attempt: _Attempt, revision: int
    ) -> StartedClaim | StoredClaim | None:
        attempt.writes_count += 1
        if attempt.writes_count > _MAX_WRITES_COUNT:
            _refuse_unavailable('the claim was not written')
        try:
            return await self._write_claim(attempt, revision)
        except WriteConflict as conflict:
            stored = _decode(conflict.current)
        except StoreUnavailable as error:
            _refuse_unavailable(str(error))
        except WriteOutcomeUnknown:
            stored = await self._read_back(attempt)
        if stored is not None and attempt.owns(stored):
            return self._started(attempt, stored.revision)
        return stored

    async def _write_claim(
        self, attempt: _Attempt, revision: int
    ) -> StartedClaim:
        try:
            row = await self._tables.write(
                _TABLE, attempt.row_key, attempt.row.encode(), revision
            )
        except (WriteConflict, StoreUnavailable):
            raise
        except BaseException:
            # The answer was lost or the call was cancelled on the way.
            attempt.uncertain_revision = revision
            raise
        return self._started(attempt, row.revision)

    async def _read_back(self, attempt: _Attempt) -> StoredClaim | None:
        try:
            return await self._read(attempt.row_key)
        except StoreUnavailable as error:
            _refuse_unavailable(str(error))

    async def _wait(
        self, attempt: _Attempt, stored: StoredClaim | None
    ) -> StoredResponse | StoredClaim | None:
        """Wait for a running request and return what is stored then."""
        policy = self._policy
        attempt.polls_count += 1
        is_late = attempt.waited_seconds >= policy.wait_seconds
        if is_late or attempt.polls_count > _MAX_POLLS_COUNT:
            _refuse(ErrorKind.IN_PROGRESS)
        started_at_seconds = self._clock()
        longest_seconds = min(
            policy.max_poll_seconds,
            policy.first_poll_seconds * 2 ** (attempt.polls_count - 1),
        )
        delay_seconds = self._rng.uniform(0, longest_seconds)
        await self._sleep(delay_seconds)
        outcome = await self._look(attempt, stored)
        # The clock may be set back during the wait.
        elapsed_seconds = self._clock() - started_at_seconds
        attempt.waited_seconds += max(delay_seconds, elapsed_seconds)
        return outcome

    async def _look(
        self, attempt: _Attempt, stored: StoredClaim | None
    ) -> StoredResponse | StoredClaim | None:
        for settlement in self._pending.of_row(attempt.row_key):
            await self._try_settle(settlement)
        remembered = self._remembered(attempt)
        if remembered is not None:
            return remembered
        try:
            return await self._read(attempt.row_key)
        except StoreUnavailable:
            return stored

    def _remembered(self, attempt: _Attempt) -> StoredResponse | None:
        """Return the response of a claim that this router still settles."""
        for settlement in self._pending.of_row(attempt.row_key):
            if settlement.row.state is ClaimState.NOT_RUN:
                continue
            if settlement.row.fingerprint != attempt.row.fingerprint:
                _refuse(ErrorKind.KEY_REUSED)
            if settlement.answer is None:
                _refuse(ErrorKind.OUTCOME_UNKNOWN)
            return settlement.answer
        return None

    def _started(self, attempt: _Attempt, revision: int) -> StartedClaim:
        attempt.uncertain_revision = None
        return StartedClaim(attempt.row_key, attempt.row, revision)

    def _queue_uncertain(self, attempt: _Attempt) -> None:
        if attempt.uncertain_revision is None:
            return
        _log.info('claim %s is queued for settlement', attempt.row_key)
        self._pending.add(
            Settlement(
                attempt.row_key,
                attempt.row.model_copy(update={'state': ClaimState.NOT_RUN}),
                attempt.uncertain_revision,
                is_written=False,
            )
        )

    async def _conclude(
        self,
        claim: StartedClaim,
        state: ClaimState,
        answer: StoredResponse | None = None,
    ) -> None:
        changes = {'state': state, 'written_at_seconds': self._clock()}
        settlement = Settlement(
            claim.row_key,
            claim.row.model_copy(update=changes),
            claim.revision,
            is_written=True,
            answer=answer,
        )
        # Queued first, so that a cancelled call does not lose it.
        await self._try_settle(self._pending.add(settlement))

    async def _try_settle(self, settlement: Settlement) -> bool:
        try:
            await self._settle(settlement)
        except PlatformError as error:
            # The token of a claim is the id of its request.
            _log.info(
                'claim %s not settled: %s',
                settlement.row_key,
                error,
                extra={'request_id': settlement.row.token},
            )
            return False
        self._pending.remove(settlement)
        return True

    async def _settle(self, settlement: Settlement) -> None:
        revision: int | None = settlement.revision
        if not settlement.is_written:
            revision = await self._plan(settlement)
        if revision is None:
            return
        row = await self._store_answer(settlement)
        for _ in range(self._policy.write_attempts_count):
            revision = await self._write_final(settlement, row, revision)
            if revision is None:
                return
        raise WriteOutcomeUnknown('no write was confirmed')

    async def _write_final(
        self, settlement: Settlement, row: ClaimRow, revision: int
    ) -> int | None:
        """Write the final state; return the revision for another attempt."""
        try:
            await self._tables.write(
                _TABLE, settlement.row_key, row.encode(), revision
            )
        except WriteConflict as conflict:
            return plan_settlement(settlement, _decode(conflict.current))
        except WriteOutcomeUnknown:
            return await self._plan(settlement)
        return None

    async def _plan(self, settlement: Settlement) -> int | None:
        stored = await self._read(settlement.row_key)
        return plan_settlement(settlement, stored)

    async def _store_answer(self, settlement: Settlement) -> ClaimRow:
        """Store a large body and return the row that refers to it."""
        answer = settlement.answer
        if answer is None:
            return settlement.row
        digest = hashlib.sha256(answer.body).hexdigest()
        record = ResponseRecord(
            status=answer.status,
            headers=answer.headers,
            digest=digest,
            body=answer.body,
        )
        if len(answer.body) > self._policy.inline_bytes:
            name = f'responses/{settlement.row.token}/{digest}'
            await self._objects.put(name, answer.body)
            record = record.model_copy(
                update={'body': None, 'object_name': name}
            )
        return settlement.row.model_copy(update={'answer': record})

    async def _load(self, record: ResponseRecord) -> StoredResponse:
        body = record.body
        if body is None and record.object_name is not None:
            body = await self._load_object(record.object_name)
        if body is None or hashlib.sha256(body).hexdigest() != record.digest:
            raise DotterelhatchError(
                ErrorKind.OUTCOME_UNKNOWN,
                'the request was run; its stored response is lost',
                Executed.YES,
            )
        return StoredResponse(record.status, record.headers, body)

    async def _load_object(self, name: str) -> bytes | None:
        try:
            return await self._objects.get(name)
        except StoreUnavailable as error:
            raise DotterelhatchError(
                ErrorKind.STORE_UNAVAILABLE,
                'the request was run; its stored response cannot be read now',
                Executed.YES,
            ) from error

    async def _read(self, key: str) -> StoredClaim | None:
        return _decode(await self._tables.read(_TABLE, key))

    async def _delete_if_expired(self, row: Row) -> bool:
        claim = StoredClaim.decode(row.content, row.revision).row
        if claim is None:
            return False
        now_seconds = self._clock()
        if not is_expired(claim, now_seconds, self._policy, self._identity):
            return False
        try:
            await self._tables.delete(_TABLE, row.key, row.revision)
        except (WriteConflict, WriteOutcomeUnknown, StoreUnavailable):
            return False
        return True


def _decode(row: Row | None) -> StoredClaim | None:
    if row is None:
        return None
    return StoredClaim.decode(row.content, row.revision)


def _refuse(kind: ErrorKind) -> NoReturn:
    executed = Executed.UNKNOWN
    if kind is ErrorKind.KEY_REUSED:
        executed = Executed.NO
    raise DotterelhatchError(kind, _DETAILS[kind], executed)


def _refuse_unavailable(reason: str) -> NoReturn:
    raise DotterelhatchError(
        ErrorKind.STORE_UNAVAILABLE,
        f'{reason}; this attempt was not run, an earlier attempt with the '
        'same key may have been',
    )
