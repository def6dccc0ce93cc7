"""The configuration in the table service: versions, history, conflicts."""

import json
import secrets
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, dataclass
from typing import Final

from dotterelhatch.document import (
    ConfigDocument,
    decode_document,
    digest,
    encode_document,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind, Executed
from dotterelhatch.ids import ConfigVersion
from dotterelhatch.backing.interfaces import (
    PlatformError,
    Row,
    TableService,
    WriteConflict,
    WriteOutcomeUnknown,
)

__all__ = (
    'ConfigConflict',
    'ConfigStore',
    'StoredConfig',
    'decode_stored_config',
)

_TABLE: Final = 'config'
_CURRENT: Final = 'current'
_DOCUMENT: Final = 'document/'
_HISTORY: Final = 'history/'
_NONE: Final = ConfigVersion(0)

# A lost answer is settled by repeating the same write: either it takes effect
# now, or the conflict shows whose write did.
_ATTEMPT_COUNT: Final = 3
_EDIT_COUNT: Final = 10
# A document row can be replaced between the two reads of a reader.
_READ_COUNT: Final = 5


@dataclass(frozen=True, slots=True)
class StoredConfig:
    """A version with its document.

    :param document: encoded as by ``encode_document``.
    :param author: who applied it.
    :param time_seconds: when it was applied, seconds since the epoch.
    :param nonce: identifies the write, to settle a lost answer.
    """

    version: ConfigVersion
    document: bytes
    author: str
    time_seconds: float
    nonce: str

    @property
    def digest(self) -> str:
        """Return the digest of the document."""
        return digest(self.document)

    def decode(self) -> ConfigDocument:
        """Return the document.

        :raises DotterelhatchError: CONFIG_INVALID.
        """
        return decode_document(self.document)


@dataclass(frozen=True, slots=True)
class _Head:
    """The version row, which the conditional write decides.

    The document is in a row of its own that is written before, so that
    routers read a few hundred bytes when they look for a new version.
    """

    version: ConfigVersion
    digest: str
    author: str
    time_seconds: float
    nonce: str

    @property
    def document_key(self) -> str:
        """Return the key of the document row, which no other write uses."""
        return f'{_DOCUMENT}{self.version:012d}/{self.nonce}'

    def join(self, document: bytes) -> StoredConfig:
        """Return the version with its document.

        :raises DotterelhatchError: CONFIG_INVALID for a damaged document.
        """
        if digest(document) != self.digest:
            raise DotterelhatchError(
                ErrorKind.CONFIG_INVALID,
                f'the digest of stored version {self.version} does not match',
            )
        return StoredConfig(
            self.version, document, self.author, self.time_seconds, self.nonce
        )


class ConfigConflict(DotterelhatchError):
    """The configuration changed since the version an edit was made against.

    :param expected_version: version that the edit was made against.
    :param current: what is stored now, None when nothing is.
    """

    def __init__(
        self, expected_version: ConfigVersion, current: StoredConfig | None
    ) -> None:
        """Name both versions and the author of the stored one."""
        found = 'there is no configuration'
        if current is not None:
            found = f'version {current.version} by {current.author} is stored'
        super().__init__(
            ErrorKind.CONFIG_CONFLICT,
            f'the edit was made against version {expected_version}, {found}',
        )
        self.expected_version = expected_version
        self.current = current


class ConfigStore:
    """Reads and writes the configuration with conditional writes.

    :param clock: returns seconds since the epoch.
    :param new_nonce: returns a text that no other write uses.
    :param history_count: versions that are kept.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Callable[[], float],
        new_nonce: Callable[[], str] = secrets.token_hex,
        history_count: int = 50,
    ) -> None:
        """Keep the service."""
        self._tables = tables
        self._clock = clock
        self._new_nonce = new_nonce
        self._history_count = history_count

    async def read(self) -> StoredConfig | None:
        """Return the current version or None.

        :raises StoreUnavailable: when there is no answer in time.
        :raises DotterelhatchError: CONFIG_INVALID for a damaged row.
        """
        _row, stored = await self._read_current()
        return stored

    async def read_if_newer(self, held: ConfigVersion) -> StoredConfig | None:
        """Return the current version if it is higher than a held one.

        The document is read only in that case.

        :raises StoreUnavailable: when there is no answer in time.
        :raises DotterelhatchError: CONFIG_INVALID for a damaged row.
        """
        row = await self._tables.read(_TABLE, _CURRENT)
        if row is None or _decode_head(row.content).version <= held:
            return None
        return await self.read()

    async def apply(
        self,
        document: ConfigDocument,
        expected_version: ConfigVersion,
        author: str,
    ) -> StoredConfig:
        """Store a document as the version after the expected one.

        A document that equals the current one is not written again.

        :param expected_version: 0 when there is no configuration yet.
        :raises ConfigConflict: when another version is stored.
        :raises DotterelhatchError: CONFIG_INVALID, or STORE_UNAVAILABLE when
            the outcome could not be determined.
        :raises StoreUnavailable: when certainly nothing was written.
        """
        encoded = encode_document(document)
        decode_document(encoded)
        row, current = await self._read_current()
        version = _NONE if current is None else current.version
        if expected_version != version:
            raise ConfigConflict(expected_version, current)
        if current is not None and current.document == encoded:
            return current
        last = await self._archive_last(current)
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
            stored = await self._write(new, revision, expected_version)
        except ConfigConflict:
            await self._delete_document(_head_of(new).document_key)
            raise
        await self._tidy(stored)
        return stored

    async def edit(
        self,
        change: Callable[[ConfigDocument], ConfigDocument],
        author: str,
    ) -> StoredConfig:
        """Apply a change to whatever is current.

        Only for changes that are right for any version, such as a drain,
        because a conflict is answered by making the change again.

        :raises ConfigConflict: when others were faster every time.
        :raises DotterelhatchError: NOT_FOUND when there is no configuration.
        """
        conflict: ConfigConflict | None = None
        for _ in range(_EDIT_COUNT):
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
        """Return the kept versions, the latest first.

        :raises StoreUnavailable: when there is no answer in time.
        """
        rows = await self._tables.scan(_TABLE, _HISTORY)
        kept = {one.version: one for one in map(_decode_row, rows)}
        current = await self.read()
        if current is not None:
            kept[current.version] = current
        return tuple(kept[version] for version in sorted(kept, reverse=True))

    async def _read_current(self) -> tuple[Row | None, StoredConfig | None]:
        """Return the version row and the version that it names."""
        for _ in range(_READ_COUNT):
            row = await self._tables.read(_TABLE, _CURRENT)
            if row is None:
                return None, None
            head = _decode_head(row.content)
            document = await self._tables.read(_TABLE, head.document_key)
            if document is not None:
                return row, head.join(document.content)
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID,
            f'the document of stored version {head.version} is missing',
        )

    async def _write_document(self, new: StoredConfig) -> None:
        """Write the document row, which has no effect by itself."""
        key = _head_of(new).document_key
        causes: list[PlatformError] = []
        for _ in range(_ATTEMPT_COUNT):
            try:
                await self._tables.write(_TABLE, key, new.document, 0)
            except WriteConflict:
                # Only an earlier attempt of this write has the same nonce.
                return
            except PlatformError as error:
                causes.append(error)
            else:
                return
            if not isinstance(causes[0], WriteOutcomeUnknown):
                raise causes[0]
        raise DotterelhatchError(
            ErrorKind.STORE_UNAVAILABLE,
            'the document could not be written, nothing was applied',
        ) from causes[0]

    async def _delete_document(self, key: str) -> None:
        # A row that stays is deleted with the next change.
        with suppress(PlatformError):
            row = await self._tables.read(_TABLE, key)
            if row is not None:
                await self._tables.delete(_TABLE, key, row.revision)

    async def _archive_last(
        self, current: StoredConfig | None
    ) -> ConfigVersion:
        """Make sure the last version is in the history and return it.

        This happens before the version is replaced. A writer that stops
        half-way therefore leaves no hole in the history.
        """
        if current is not None:
            await self._archive(current)
            return current.version
        # Without a current row the history tells which numbers were used.
        rows = await self._tables.scan(_TABLE, _HISTORY)
        return max((_decode_row(row).version for row in rows), default=_NONE)

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
                    'the history could not be written, nothing was applied',
                ) from error

    async def _write(
        self,
        new: StoredConfig,
        revision: int,
        expected_version: ConfigVersion,
    ) -> StoredConfig:
        causes: list[PlatformError] = []
        for _ in range(_ATTEMPT_COUNT):
            try:
                await self._tables.write(
                    _TABLE, _CURRENT, _encode_head(new), revision
                )
            except WriteConflict as conflict:
                return await self._settle(
                    new, conflict.current, expected_version
                )
            except PlatformError as error:
                causes.append(error)
            else:
                return new
            if not isinstance(causes[0], WriteOutcomeUnknown):
                raise causes[0]
        raise DotterelhatchError(
            ErrorKind.STORE_UNAVAILABLE,
            f'the answer to the write of version {new.version} was lost; '
            'look at the history before applying again',
            Executed.UNKNOWN,
        ) from causes[0]

    async def _settle(
        self,
        new: StoredConfig,
        row: Row | None,
        expected_version: ConfigVersion,
    ) -> StoredConfig:
        """Find out whether an earlier attempt is what the write met."""
        if row is not None and _decode_head(row.content).nonce == new.nonce:
            return new
        # An attempt that took effect may have been replaced since then.
        past = await self._tables.read(_TABLE, _history_key(new.version))
        if past is not None and _decode_row(past).nonce == new.nonce:
            return new
        raise ConfigConflict(expected_version, await self.read())

    async def _tidy(self, stored: StoredConfig) -> None:
        """Add a version to the history and delete the oldest ones.

        The version is in force already, so a failure here is not reported.
        The next change does the same again.
        """
        try:
            await self._archive(stored)
            rows = await self._tables.scan(_TABLE, _HISTORY)
            for row in rows[: -self._history_count]:
                await self._tables.delete(_TABLE, row.key, row.revision)
            await self._delete_former(_head_of(stored))
        except (PlatformError, DotterelhatchError):
            return

    async def _delete_former(self, head: _Head) -> None:
        """Delete the document rows that a version has made useless.

        A document of this number or a lower one cannot come into force any
        more, because its writer expects an older version row.
        """
        for row in await self._tables.scan(_TABLE, _DOCUMENT):
            number = int(row.key.removeprefix(_DOCUMENT).partition('/')[0])
            if number <= head.version and row.key != head.document_key:
                await self._tables.delete(_TABLE, row.key, row.revision)


def decode_stored_config(content: bytes) -> StoredConfig:
    """Return what a row holds.

    :raises DotterelhatchError: CONFIG_INVALID for a damaged row.
    """
    try:
        envelope = json.loads(content)
        stored = StoredConfig(
            version=ConfigVersion(int(envelope['version'])),
            document=str(envelope['document']).encode(),
            author=str(envelope['author']),
            time_seconds=float(envelope['time_seconds']),
            nonce=str(envelope['nonce']),
        )
        intact = envelope['digest'] == stored.digest
    except (ValueError, KeyError, TypeError) as error:
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID,
            f'the stored configuration is damaged: {error!r}',
        ) from error
    if not intact:
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID,
            f'the digest of stored version {stored.version} does not match',
        )
    return stored


def _head_of(stored: StoredConfig) -> _Head:
    return _Head(
        stored.version,
        stored.digest,
        stored.author,
        stored.time_seconds,
        stored.nonce,
    )


def _decode_head(content: bytes) -> _Head:
    try:
        envelope = json.loads(content)
        return _Head(
            version=ConfigVersion(int(envelope['version'])),
            digest=str(envelope['digest']),
            author=str(envelope['author']),
            time_seconds=float(envelope['time_seconds']),
            nonce=str(envelope['nonce']),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise DotterelhatchError(
            ErrorKind.CONFIG_INVALID,
            f'the stored version row is damaged: {error!r}',
        ) from error


def _encode_head(stored: StoredConfig) -> bytes:
    return json.dumps(asdict(_head_of(stored)), sort_keys=True).encode()


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
    # Fixed width, so the order of keys is the order of versions.
    return f'{_HISTORY}{version:012d}'
