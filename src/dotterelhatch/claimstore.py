"""At-most-once execution by claims in the table service.

Before work is dispatched, its idempotency key is claimed by a conditional
write. Afterwards the claim is settled: its final state is written to the same
row. Final states that can't be written stay queued and are retried, also those
of claim writes whose outcome is unknown.
"""

import hashlib
import itertools
import logging
import random
from dataclasses import dataclass
from typing import Final, NoReturn

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

__all__ = ('ClaimStore',)

_TABLE: Final = 'claims'
# Ends a wait even if all its random delays are close to zero.
_MAX_POLLS_COUNT: Final = 64
# Ends a call whose key others claim and abandon again and again.
_MAX_WRITES_COUNT: Final = 16
# While the store is down, it is not called once per queued settlement.
_MAX_CONSECUTIVE_FAILURES_COUNT: Final = 3

_ERROR_DETAILS: Final = {
    ErrorKind.KEY_REUSED: (
        'the idempotency key was used with another request body'
    ),
    ErrorKind.OUTCOME_UNKNOWN: (
        'an earlier request with this key may have run; its outcome is unknown'
    ),
    ErrorKind.IN_PROGRESS: 'an earlier request with this key is still running',
}

_ClaimOutcome = StartedClaim | StoredResponse | StoredClaim | None

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class _ClaimAttempt:
    """State of one call of ``begin``.

    :param uncertain_revision: revision expected by a claim write whose outcome
        is unknown, None if there is no such write.
    """

    row_key: str
    row: ClaimRow
    uncertain_revision: int | None = None
    writes_count: int = 0
    polls_count: int = 0
    waited_seconds: float = 0

    def owns(self, stored: StoredClaim) -> bool:
        """Return whether the uncertain write of this call took effect.

        Without an uncertain write, a row with the same token was written by
        another call and must not let the work run twice.
        """
        return (
            self.uncertain_revision is not None
            and stored.has_token(self.row.token)
            and stored.row is not None
            and stored.row.state is ClaimState.CLAIMED
        )

    def on_stored_row(self, stored: StoredClaim | None) -> None:
        """Clear the uncertainty if the write can no longer take effect."""
        # Revisions of a key are never reused, so a write that expects
        # another revision than the stored one cannot take effect any more.
        revision = stored.revision if stored else 0
        if revision != self.uncertain_revision:
            self.uncertain_revision = None


class _SettlementQueue:
    """Queue of final states to write, grouped by row, oldest row first."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._by_row_key: dict[str, dict[ClaimToken, Settlement]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of queued settlements."""
        return self._count

    def next_settlements(self, limit_count: int) -> list[Settlement]:
        """Return up to this many settlements from the front."""
        settlements = (
            settlement
            for by_token in self._by_row_key.values()
            for settlement in by_token.values()
        )
        return list(itertools.islice(settlements, limit_count))

    def for_row(self, key: str) -> list[Settlement]:
        """Return the queued settlements of a row."""
        return list(self._by_row_key.get(key, {}).values())

    def add(self, settlement: Settlement) -> Settlement:
        """Queue a settlement; return the one that is queued for the claim.

        Only a known outcome replaces a settlement that is already queued.
        """
        by_token = self._by_row_key.setdefault(settlement.row_key, {})
        token = settlement.row.token
        self._count += token not in by_token
        if settlement.row.state is ClaimState.DONE:
            by_token[token] = settlement
        return by_token.setdefault(token, settlement)

    def remove(self, settlement: Settlement) -> None:
        """Remove a settlement unless another one has replaced it."""
        by_token = self._by_row_key.get(settlement.row_key, {})
        if by_token.get(settlement.row.token) is settlement:
            by_token.pop(settlement.row.token)
            self._count -= 1
        if not by_token:
            self._by_row_key.pop(settlement.row_key, None)

    def move_to_end(self, settlement: Settlement) -> None:
        """Move all settlements of the row to the end of the queue."""
        by_token = self._by_row_key.pop(settlement.row_key, None)
        if by_token:
            self._by_row_key[settlement.row_key] = by_token


class ClaimStore:
    """Claims idempotency keys and stores the outcome of their work."""

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
        """Create a store without queued settlements.

        :param clock: wall clock in seconds; times of different routers are
            compared only for the retention.
        :param rng: random generator for the jitter between polls.
        """
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._sleep = sleep
        self._identity = identity
        self._rng = rng
        self._policy = policy or ClaimPolicy()
        self._pending = _SettlementQueue()
        self._scan_position = ''

    @property
    def pending_count(self) -> int:
        """Return the number of queued settlements."""
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
        :raises DotterelhatchError: ``STORE_UNAVAILABLE`` if the store failed,
            in which case this call did not run; ``IN_PROGRESS``,
            ``OUTCOME_UNKNOWN`` or ``KEY_REUSED`` for the state of the key.
        """
        row = ClaimRow(
            state=ClaimState.CLAIMED,
            fingerprint=fingerprint,
            token=token,
            owner=self._identity.owner,
            written_at_seconds=self._clock(),
        )
        attempt = _ClaimAttempt(row_key(organisation, service, key), row)
        try:
            return await self._claim_or_replay(attempt)
        except BaseException:
            self._queue_uncertain_claim(attempt)
            raise

    async def finish(
        self, claim: StartedClaim, response: StoredResponse
    ) -> None:
        """Store the response of a claim; it is queued if that fails."""
        await self._settle_claim(claim, ClaimState.DONE, response)

    async def abandon(self, claim: StartedClaim) -> None:
        """Mark a claim as not run.

        Call it only if nothing was dispatched: the key may be claimed again.
        """
        await self._settle_claim(claim, ClaimState.NOT_RUN)

    async def mark_unknown(self, claim: StartedClaim) -> None:
        """Mark the outcome of a dispatched claim as unknown."""
        await self._settle_claim(claim, ClaimState.UNKNOWN)

    async def settle_pending(self, limit_count: int = 200) -> int:
        """Write queued final states and return how many remain queued.

        :param limit_count: most settlements that are written by this call.
        """
        failures_count = 0
        for settlement in self._pending.next_settlements(limit_count):
            if await self._try_settle(settlement):
                failures_count = 0
                continue
            self._pending.move_to_end(settlement)
            failures_count += 1
            if failures_count == _MAX_CONSECUTIVE_FAILURES_COUNT:
                break
        return self.pending_count

    async def delete_expired(self, limit_count: int) -> int:
        """Delete expired rows and return how many were deleted.

        Each call continues the scan of the table where the last one ended.

        :param limit_count: most rows that are read by this call.
        """
        try:
            rows = await self._tables.scan(
                _TABLE, '', after=self._scan_position, limit_count=limit_count
            )
        except StoreUnavailable:
            return 0
        deletions = [await self._delete_if_expired(row) for row in rows]
        self._scan_position = rows[-1].key if len(rows) == limit_count else ''
        return deletions.count(True)

    async def _claim_or_replay(
        self, attempt: _ClaimAttempt
    ) -> StartedClaim | StoredResponse:
        pending_response = self._find_pending_response(attempt)
        if pending_response is not None:
            return pending_response
        if self.pending_count >= self._policy.pending_limit_count:
            _reject_unavailable('the limit of unsettled claims is reached')
        outcome: _ClaimOutcome = await self._write_claim(attempt, 0)
        while not isinstance(outcome, (StartedClaim, StoredResponse)):
            outcome = await self._advance(attempt, outcome)
        return outcome

    async def _advance(
        self, attempt: _ClaimAttempt, stored: StoredClaim | None
    ) -> _ClaimOutcome:
        verdict = evaluate_claim(
            stored, attempt.row, self._policy, self._identity
        )
        if isinstance(verdict, Claimable):
            return await self._write_claim(attempt, verdict.revision)
        if isinstance(verdict, Replay):
            return await self._load_response(verdict.record)
        if isinstance(verdict, Rejected):
            _reject(verdict.kind)
        return await self._wait(attempt, stored)

    async def _write_claim(
        self, attempt: _ClaimAttempt, revision: int
    ) -> StartedClaim | StoredClaim | None:
        """Write the claim; return it, or the stored row on a conflict.

        A write with an unknown outcome is repeated until its outcome is known.
        """
        for _ in range(self._policy.write_attempts_count):
            outcome = await self._try_write_claim(attempt, revision)
            if isinstance(outcome, StartedClaim):
                return outcome
            attempt.on_stored_row(outcome)
            if attempt.uncertain_revision is None:
                return outcome
        _reject_unavailable('the claim could not be written')

    async def _try_write_claim(
        self, attempt: _ClaimAttempt, revision: int
    ) -> StartedClaim | StoredClaim | None:
        attempt.writes_count += 1
        if attempt.writes_count > _MAX_WRITES_COUNT:
            _reject_unavailable('the claim could not be written')
        try:
            return await self._send_claim_write(attempt, revision)
        except WriteConflict as conflict:
            stored = _decode_row(conflict.current)
        except StoreUnavailable as error:
            _reject_unavailable(str(error))
        except WriteOutcomeUnknown:
            stored = await self._read_back(attempt)
        if stored is not None and attempt.owns(stored):
            return self._start_claim(attempt, stored.revision)
        return stored

    async def _send_claim_write(
        self, attempt: _ClaimAttempt, revision: int
    ) -> StartedClaim:
        try:
            row = await self._tables.write(
                _TABLE, attempt.row_key, attempt.row.encode(), revision
            )
        except (WriteConflict, StoreUnavailable):
            raise
        except BaseException:
            # The response was lost or the call was cancelled, so the write
            # may have taken effect.
            attempt.uncertain_revision = revision
            raise
        return self._start_claim(attempt, row.revision)

    async def _read_back(self, attempt: _ClaimAttempt) -> StoredClaim | None:
        try:
            return await self._read(attempt.row_key)
        except StoreUnavailable as error:
            _reject_unavailable(str(error))

    async def _wait(
        self, attempt: _ClaimAttempt, stored: StoredClaim | None
    ) -> StoredResponse | StoredClaim | None:
        """Wait, then poll the state of a running request.

        :returns: its response, or the stored row.
        """
        policy = self._policy
        attempt.polls_count += 1
        is_timed_out = attempt.waited_seconds >= policy.wait_seconds
        if is_timed_out or attempt.polls_count > _MAX_POLLS_COUNT:
            _reject(ErrorKind.IN_PROGRESS)
        started_at_seconds = self._clock()
        max_delay_seconds = min(
            policy.max_poll_seconds,
            policy.first_poll_seconds * 2 ** (attempt.polls_count - 1),
        )
        delay_seconds = self._rng.uniform(0, max_delay_seconds)
        await self._sleep(delay_seconds)
        outcome = await self._poll(attempt, stored)
        # The wall clock may be set back during the wait, so the delay is the
        # lower bound.
        elapsed_seconds = self._clock() - started_at_seconds
        attempt.waited_seconds += max(delay_seconds, elapsed_seconds)
        return outcome

    async def _poll(
        self, attempt: _ClaimAttempt, stored: StoredClaim | None
    ) -> StoredResponse | StoredClaim | None:
        for settlement in self._pending.for_row(attempt.row_key):
            await self._try_settle(settlement)
        pending_response = self._find_pending_response(attempt)
        if pending_response is not None:
            return pending_response
        try:
            return await self._read(attempt.row_key)
        except StoreUnavailable:
            return stored

    def _find_pending_response(
        self, attempt: _ClaimAttempt
    ) -> StoredResponse | None:
        """Return the response in the queued settlements of this key.

        :raises DotterelhatchError: ``KEY_REUSED`` or ``OUTCOME_UNKNOWN``
            according to the queued settlements.
        """
        for settlement in self._pending.for_row(attempt.row_key):
            if settlement.row.state is ClaimState.NOT_RUN:
                continue
            if settlement.row.fingerprint != attempt.row.fingerprint:
                _reject(ErrorKind.KEY_REUSED)
            if settlement.response is None:
                _reject(ErrorKind.OUTCOME_UNKNOWN)
            return settlement.response
        return None

    def _start_claim(
        self, attempt: _ClaimAttempt, revision: int
    ) -> StartedClaim:
        attempt.uncertain_revision = None
        return StartedClaim(attempt.row_key, attempt.row, revision)

    def _queue_uncertain_claim(self, attempt: _ClaimAttempt) -> None:
        if attempt.uncertain_revision is None:
            return
        _LOGGER.info(
            'outcome of the write of claim %s is unknown; settlement queued',
            attempt.row_key,
        )
        self._pending.add(
            Settlement(
                attempt.row_key,
                attempt.row.model_copy(update={'state': ClaimState.NOT_RUN}),
                attempt.uncertain_revision,
                is_written=False,
            )
        )

    async def _settle_claim(
        self,
        claim: StartedClaim,
        state: ClaimState,
        response: StoredResponse | None = None,
    ) -> None:
        changes = {'state': state, 'written_at_seconds': self._clock()}
        settlement = Settlement(
            claim.row_key,
            claim.row.model_copy(update=changes),
            claim.revision,
            is_written=True,
            response=response,
        )
        # Queued before the write, so that it is not lost if this call is
        # cancelled.
        await self._try_settle(self._pending.add(settlement))

    async def _try_settle(self, settlement: Settlement) -> bool:
        try:
            await self._settle(settlement)
        except PlatformError as error:
            # The token of a claim is the id of its request.
            _LOGGER.info(
                'settlement of claim %s failed and stays queued: %s',
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
            revision = await self._revision_to_settle(settlement)
        if revision is None:
            return
        row = await self._store_response(settlement)
        for _ in range(self._policy.write_attempts_count):
            revision = await self._write_final(settlement, row, revision)
            if revision is None:
                return
        raise WriteOutcomeUnknown('no write of the final state was confirmed')

    async def _write_final(
        self, settlement: Settlement, row: ClaimRow, revision: int
    ) -> int | None:
        """Write the final state.

        :returns: the expected revision for another attempt, None if done.
        """
        try:
            await self._tables.write(
                _TABLE, settlement.row_key, row.encode(), revision
            )
        except WriteConflict as conflict:
            return plan_settlement(settlement, _decode_row(conflict.current))
        except WriteOutcomeUnknown:
            return await self._revision_to_settle(settlement)
        return None

    async def _revision_to_settle(self, settlement: Settlement) -> int | None:
        stored = await self._read(settlement.row_key)
        return plan_settlement(settlement, stored)

    async def _store_response(self, settlement: Settlement) -> ClaimRow:
        """Return the final row with its response.

        A large body is put into the object store first.
        """
        response = settlement.response
        if response is None:
            return settlement.row
        digest = hashlib.sha256(response.body).hexdigest()
        record = ResponseRecord(
            status=response.status,
            headers=response.headers,
            digest=digest,
            body=response.body,
        )
        if len(response.body) > self._policy.inline_bytes:
            name = f'responses/{settlement.row.token}/{digest}'
            await self._objects.put(name, response.body)
            record = record.model_copy(
                update={'body': None, 'object_name': name}
            )
        return settlement.row.model_copy(update={'answer': record})

    async def _load_response(self, record: ResponseRecord) -> StoredResponse:
        body = record.body
        if body is None and record.object_name is not None:
            body = await self._load_object(record.object_name)
        if body is None or hashlib.sha256(body).hexdigest() != record.digest:
            raise DotterelhatchError(
                ErrorKind.OUTCOME_UNKNOWN,
                'the request was run; its stored response is lost or damaged',
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
        return _decode_row(await self._tables.read(_TABLE, key))

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


def _decode_row(row: Row | None) -> StoredClaim | None:
    if row is None:
        return None
    return StoredClaim.decode(row.content, row.revision)


def _reject(kind: ErrorKind) -> NoReturn:
    executed = Executed.UNKNOWN
    if kind is ErrorKind.KEY_REUSED:
        executed = Executed.NO
    raise DotterelhatchError(kind, _ERROR_DETAILS[kind], executed)


def _reject_unavailable(reason: str) -> NoReturn:
    raise DotterelhatchError(
        ErrorKind.STORE_UNAVAILABLE,
        f'{reason}; this request was not run, but an earlier request with the '
        'same key may have been',
    )
