"""Storage of the fleet configuration in the table service.

The current version is a head row, replaced by conditional writes, and a
document row. Earlier versions are kept as history rows.
"""

import json
import secrets
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, dataclass
from typing import Final

from dotterelhatch.backing.interfaces import (
    PlatformError,
    Row,
    TableService,
    WriteConflict,
    WriteOutcomeUnknown,
)
from dotterelhatch.document import (
    ConfigDocument,
    decode_document,
    document_digest,
    encode_document,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.ids import ConfigVersion

__all__ = (
    'ConfigConflict',
    'ConfigStore',
    'StoredConfig',
    'decode_stored_config',
)

_TABLE: Final = 'config'
_CURRENT_KEY: Final = 'current'
_DOCUMENT_PREFIX: Final = 'document/'
_HISTORY_PREFIX: Final = 'history/'
# Errors of the parser and of conversions, for any bytes of a row.
_DAMAGED_ERRORS: Final = (
    ValueError,
    LookupError,
    TypeError,
    RecursionError,
    OverflowError,
)
_NO_VERSION: Final = ConfigVersion(0)

# If the response to a write is lost, the same write is repeated: it either
# takes effect now, or the conflict shows whose write did.
_MAX_WRITE_ATTEMPTS_COUNT: Final = 3
_MAX_EDIT_ATTEMPTS_COUNT: Final = 10
# A document row can be deleted between the reads of the head row and of the
# document row, when a new version replaces it.
_MAX_READ_ATTEMPTS_COUNT: Final = 5


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """A configuration version with its document.

    :param document: the document in the form of ``encode_document``.
    :param author: the operator who applied it.
    :param time_seconds: time at which it was applied, since the epoch.
    :param nonce: identifies the write, so that its effect can be recognised
        after a lost response.
    """

    version: ConfigVersion
    document: bytes
    author: str
    time_seconds: float
    nonce: str

    @property
    def digest(self) -> str:
        """Return the digest of the document."""
        return document_digest(self.document)

    def decode(self) -> ConfigDocument:
        """Return the decoded document.

        :raises DotterelhatchError: CONFIG_INVALID if it cannot be decoded.
        """
        return decode_document(self.document)


@dataclass(frozen=True, slots=True)
class _Head:
    """The head row, whose conditional write makes a version current.

    The document is in a row of its own that is written first, so that
    routers read only a few hundred bytes when they poll for a new version.
    """

    version: ConfigVersion
    digest: str
    author: str
    time_seconds: float
    nonce: str

    @property
    def document_key(self) -> str:
        """Return the key of the document row, unique to this write."""
        return f'{_DOCUMENT_PREFIX}{self.version:012d}/{self.nonce}'

    def with_document(self, document: bytes) -> StoredConfig:
        """Return the version with its document.

        :raises DotterelhatchError: CONFIG_INVALID for a damaged document.
        """
        if document_digest(document) != self.digest:
            raise DotterelhatchError(
                ErrorKind.CONFIG_INVALID,
                f'the digest of stored version {self.version} does not match',
            )
        return StoredConfig(
            self.version, document, self.author, self.time_seconds, self.nonce
        )


class ConfigConflict(DotterelhatchError):
    """Another version is stored than the one an edit is based on.

    :param expected_version: the version that the edit is based on.
    :param current: the stored version, None if there is none.
    """

    def __init__(
        self, expected_version: ConfigVersion, current: StoredConfig | None
    ) -> None:
        """Create the error with a message that names both versions."""
        found = 'but no configuration is stored'
        if current is not None:
            found = (
                f'but version {current.version} by {current.author} is stored'
            )
        super().__init__(
            ErrorKind.CONFIG_CONFLICT,
            f'the edit is based on version {expected_version}, {found}',
        )
        self.expected_version = expected_version
        self.current = current


class ConfigStore:
    """Reads and writes the configuration with conditional writes.

    :param clock: returns seconds since the epoch.
    :param new_nonce: returns a string that is unique to a write.
    :param history_count: number of versions kept, the current one included.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Callable[[], float],
        new_nonce: Callable[[], str] = secrets.token_hex,
        history_count: int = 50,
    ) -> None:
        """Create a store in a table service."""
        self._tables = tables
        self._clock = clock
        self._new_nonce = new_nonce
        self._history_count = history_count

    async def read(self) -> StoredConfig | None:
        """Return the current version, None if there is none.

        :raises StoreUnavailable: when there is no response in time.
        :raises DotterelhatchError: CONFIG_INVALID for a damaged row.
        """
        _row, stored = await self._read_current()
        return stored

    async def read_if_newer(
        self, known_version: ConfigVersion
    ) -> StoredConfig | None:
        """Return the current version if it is higher than a known one.

        The document is read only in that case.

        :raises StoreUnavailable: when there is no response in time.
        :raises DotterelhatchError: CONFIG_INVALID for a damaged row.
        """
        row = await self._tables.read(_TABLE, _CURRENT_KEY)
        if row is None or _decode_head(row.content).version <= known_version:
            return None
        return await self.read()

    async def apply(
        self,
        document: ConfigDocument,
        expected_version: ConfigVersion,
        author: str,
    ) -> StoredConfig:
        """Store a document as the next version and make it current.

        A document that equals the current one is not written again.

        :param expected_version: the current version that the document is
            based on, 0 if there is none yet.
        :raises ConfigConflict: when another version is stored.
        :raises DotterelhatchError: CONFIG_INVALID for an invalid document;
            STORE_UNAVAILABLE when writes failed, with ``Executed.UNKNOWN`` if
            the document may have been applied.
        :raises StoreUnavailable: when the store failed before a version was
            applied.
        """
        encoded = encode_document(document)
        decode_document(encoded)
        row, current = await self._read_current()
        version = _NO_VERSION if current is None else current.version
        if expected_version != version:
            raise ConfigConflict(expected_version, current)
        if current is not None and current.document == encoded:
            return current
        last = await self._archive_and_find_last(current)
        new = StoredConfig(
            ConfigVersion(last + 1),
            encoded,
            author,
            self._clock(),
            self._new_nonce(),
        )
        revision = 0 if row is None else row.revision
        await self._write_document(new)
        try:
            stored = await self._write_head(new, revision, expected_version)
        except ConfigConflict:
            await self._delete_document(_build_head(new).document_key)
            raise
        await self._prune_history(stored)
        return stored

    async def edit(
        self,
        change: Callable[[ConfigDocument], ConfigDocument],
        author: str,
    ) -> StoredConfig:
        """Apply a change to the current document.

        After a conflict the change is made again on the new version, so use
        this only for changes that are valid on any version, such as a drain.

        :raises ConfigConflict: when every attempt met a conflict.
        :raises DotterelhatchError: NOT_FOUND when there is no configuration.
        """
        conflict: ConfigConflict | None = None
        for _ in range(_MAX_EDIT_ATTEMPTS_COUNT):
            current = await self.read()
            if current is None:
                break
            try:
                return await self.apply(
                    change(current.decode()), current.version, author
                )
            except ConfigConflict as error:
                conflict = error
        raise conflict or DotterelhatchError(
            ErrorKind.NOT_FOUND, 'there is no configuration to change'
        )

    async def history(self) -> tuple[StoredConfig, ...]:
        """Return the stored versions, the latest first.

        :raises StoreUnavailable: when there is no response in time.
        """
        rows = await self._tables.scan(_TABLE, _HISTORY_PREFIX)
        by_version = {one.version: one for one in map(_decode_row, rows)}
        current = await self.read()
        if current is not None:
            by_version[current.version] = current
        return tuple(
            by_version[version] for version in sorted(by_version, reverse=True)
        )

    async def _read_current(self) -> tuple[Row | None, StoredConfig | None]:
        """Return the head row and the version that it names."""
        for _ in range(_MAX_READ_ATTEMPTS_COUNT):
            row = await self._tables.read(_TABLE, _CURRENT_KEY)
            if row is None:
                return None, None
            head = _decode_head(row.content)
            document = await self._tables.read(_TABLE, head.document_key)
            if document is not None:
                return row, head.with_document(document.content)
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID,
            f'the document of stored version {head.version} is missing',
        )

    async def _write_document(self, new: StoredConfig) -> None:
        """Write the document row, which has no effect without a head row."""
        key = _build_head(new).document_key
        failures: list[PlatformError] = []
        for _ in range(_MAX_WRITE_ATTEMPTS_COUNT):
            try:
                await self._tables.write(_TABLE, key, new.document, 0)
            except WriteConflict:
                # Only an earlier attempt of this write has the same nonce.
                return
            except PlatformError as error:
                failures.append(error)
            else:
                return
            if not isinstance(failures[0], WriteOutcomeUnknown):
                raise failures[0]
        raise DotterelhatchError(
            ErrorKind.STORE_UNAVAILABLE,
            'the document could not be written; no version was applied',
        ) from failures[0]

    async def _delete_document(self, key: str) -> None:
        # After a failure the row is deleted with the next change.
        with suppress(PlatformError):
            row = await self._tables.read(_TABLE, key)
            if row is not None:
                await self._tables.delete(_TABLE, key, row.revision)

    async def _archive_and_find_last(
        self, current: StoredConfig | None
    ) -> ConfigVersion:
        """Make sure the last version is in the history and return it.

        This is done before the version is replaced, so that a writer which
        stops half-way leaves no gap in the history.
        """
        if current is not None:
            await self._archive(current)
            return current.version
        # Without a head row the history shows which version numbers were
        # used.
        rows = await self._tables.scan(_TABLE, _HISTORY_PREFIX)
        return max(
            (_decode_row(row).version for row in rows), default=_NO_VERSION
        )

    async def _archive(self, stored: StoredConfig) -> None:
        key = _history_key(stored.version)
        if await self._tables.read(_TABLE, key) is not None:
            return
        try:
            await self._tables.write(_TABLE, key, _encode_stored(stored), 0)
        except WriteConflict:
            return
        except WriteOutcomeUnknown as error:
            if await self._tables.read(_TABLE, key) is None:
                raise DotterelhatchError(
                    ErrorKind.STORE_UNAVAILABLE,
                    'the history could not be written; no version was applied',
                ) from error

    async def _write_head(
        self,
        new: StoredConfig,
        revision: int,
        expected_version: ConfigVersion,
    ) -> StoredConfig:
        failures: list[PlatformError] = []
        for _ in range(_MAX_WRITE_ATTEMPTS_COUNT):
            try:
                await self._tables.write(
                    _TABLE, _CURRENT_KEY, _encode_head(new), revision
                )
            except WriteConflict as conflict:
                return await self._resolve_conflict(
                    new, conflict.current, expected_version
                )
            except PlatformError as error:
                failures.append(error)
            else:
                return new
            if not isinstance(failures[0], WriteOutcomeUnknown):
                raise failures[0]
        raise DotterelhatchError(
            ErrorKind.STORE_UNAVAILABLE,
            f'the response to the write of version {new.version} was lost; '
            'check the history before applying it again',
            Executed.UNKNOWN,
        ) from failures[0]

    async def _resolve_conflict(
        self,
        new: StoredConfig,
        row: Row | None,
        expected_version: ConfigVersion,
    ) -> StoredConfig:
        """Return the new version if an earlier attempt had written it.

        :raises ConfigConflict: when another write caused the conflict.
        """
        if row is not None and _decode_head(row.content).nonce == new.nonce:
            return new
        # The earlier attempt may have taken effect and been replaced since.
        archived = await self._tables.read(_TABLE, _history_key(new.version))
        if archived is not None and _decode_row(archived).nonce == new.nonce:
            return new
        raise ConfigConflict(expected_version, await self.read())

    async def _prune_history(self, stored: StoredConfig) -> None:
        """Add a version to the history and delete the oldest versions.

        The version is already current, so a failure here is not reported;
        the next change repeats the work.
        """
        try:
            await self._archive(stored)
            rows = await self._tables.scan(_TABLE, _HISTORY_PREFIX)
            for row in rows[: -self._history_count]:
                await self._tables.delete(_TABLE, row.key, row.revision)
            await self._delete_obsolete_documents(_build_head(stored))
        except (PlatformError, DotterelhatchError):
            return

    async def _delete_obsolete_documents(self, head: _Head) -> None:
        """Delete the document rows that the current version has replaced.

        A document of this or a lower version can no longer become current,
        because its writer expects an older head row.
        """
        for row in await self._tables.scan(_TABLE, _DOCUMENT_PREFIX):
            document_version = int(
                row.key.removeprefix(_DOCUMENT_PREFIX).partition('/')[0]
            )
            if (
                document_version <= head.version
                and row.key != head.document_key
            ):
                await self._tables.delete(_TABLE, row.key, row.revision)


def decode_stored_config(content: bytes) -> StoredConfig:
    """Decode the content of a history row.

    :raises DotterelhatchError: CONFIG_INVALID for a damaged row.
    """
    try:
        fields = json.loads(content)
        stored = StoredConfig(
            version=ConfigVersion(int(fields['version'])),
            document=str(fields['document']).encode(),
            author=str(fields['author']),
            time_seconds=float(fields['time_seconds']),
            nonce=str(fields['nonce']),
        )
        is_intact = fields['digest'] == stored.digest
    except _DAMAGED_ERRORS as error:
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID,
            f'the stored history row is damaged: {error!r}',
        ) from error
    if not is_intact:
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID,
            f'the digest of stored version {stored.version} does not match',
        )
    return stored


def _build_head(stored: StoredConfig) -> _Head:
    return _Head(
        stored.version,
        stored.digest,
        stored.author,
        stored.time_seconds,
        stored.nonce,
    )


def _decode_head(content: bytes) -> _Head:
    try:
        fields = json.loads(content)
        return _Head(
            version=ConfigVersion(int(fields['version'])),
            digest=str(fields['digest']),
            author=str(fields['author']),
            time_seconds=float(fields['time_seconds']),
            nonce=str(fields['nonce']),
        )
    except _DAMAGED_ERRORS as error:
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID,
            f'the stored head row is damaged: {error!r}',
        ) from error


def _encode_head(stored: StoredConfig) -> bytes:
    return json.dumps(asdict(_build_head(stored)), sort_keys=True).encode()


def _decode_row(row: Row) -> StoredConfig:
    return decode_stored_config(row.content)


def _encode_stored(stored: StoredConfig) -> bytes:
    return json.dumps(
        {
            'version': stored.version,
            'digest': stored.digest,
            'document': stored.document.decode(),
            'author': stored.author,
            'time_seconds': stored.time_seconds,
            'nonce': stored.nonce,
        },
        sort_keys=True,
    ).encode()


def _history_key(version: ConfigVersion) -> str:
    # Zero-padded, so that the order of keys is the order of versions.
    return f'{_HISTORY_PREFIX}{version:012d}'
