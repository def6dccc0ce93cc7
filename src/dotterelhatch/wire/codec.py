"""Conversion between frames and their protobuf form.

Units are rounded to quarters and waiting times to milliseconds; both are
cumulative or absolute values, so the rounding does not add up. Tokens and
quarters of prompt tokens are exact.
"""

import functools
import ipaddress
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from google.protobuf.message import DecodeError, EncodeError

from dotterelhatch.core.messages import (
    Charge,
    ConfigAcknowledgement,
    ConfigOffer,
    ConfigRequest,
    CrashReport,
    Demand,
    Frame,
    FreeSlots,
    Grant,
    HeldGrant,
    HeldGrants,
    LedgerReport,
    LedgerTotals,
    MemberRecord,
    MemberState,
    Message,
    Release,
    RequestClass,
    RequestCount,
    SlotsInUse,
    StatusReport,
    StatusRequest,
    TargetLeaving,
    UnitTotal,
)
from dotterelhatch.errors import DotterelhatchError, ErrorKind
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    Fingerprint,
    GrantId,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.wire import exchange_pb2 as wire

__all__ = (
    'CodecError',
    'decode_frame',
    'encode_frame',
    'frame_from_wire',
    'frame_to_wire',
)

# Prompt tokens count as quarters of a unit, so quarters are exact for models.
_QUARTERS: Final = 4
_MILLISECONDS: Final = 1000
_PACKED_ADDRESS_BYTES: Final = 6
# Above any real document; a broken one must not fill the memory.
_MAX_DOCUMENT_BYTES: Final = 64 * 1024 * 1024
# Two addresses of each router of the largest fleet. Parsing an address takes
# longer than the rest of a member record, and few addresses change.
_ADDRESS_CACHE_COUNT: Final = 1024

_Function = Callable[..., Any]
_FunctionT = TypeVar('_FunctionT', bound=_Function)
_FieldWriter = tuple[str, _Function]

# Filled by the decorators below.
_writers: Final[dict[type, _FieldWriter]] = {}
_readers: Final[dict[str, _Function]] = {}

# What the protobuf runtime and the enumerations raise for values that do not
# fit, and for input that is broken.
_INVALID: Final = (
    DecodeError,
    EncodeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
    zlib.error,
)


class CodecError(DotterelhatchError):
    """A frame that cannot be encoded or decoded."""

    def __init__(self, detail: str) -> None:
        """Keep the reason."""
        super().__init__(ErrorKind.BAD_REQUEST, detail)


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded form of a frame.

    :param frame: the frame to send.
    :returns: the protobuf encoding.
    :raises CodecError: when a value does not fit the encoding.
    """
    return frame_to_wire(frame).SerializeToString()


def decode_frame(encoded: bytes) -> Frame:
    """Return the frame of an encoded form.

    :param encoded: bytes of any origin.
    :returns: the frame.
    :raises CodecError: when the bytes are no frame or hold a message of an
        unknown kind.
    """
    try:
        decoded = wire.Frame.FromString(encoded)
    except _INVALID as error:
        raise CodecError(f'bytes are no frame: {error}') from error
    return frame_from_wire(decoded)


def frame_to_wire(frame: Frame) -> wire.Frame:
    """Return the protobuf message of a frame.

    :param frame: the frame to send.
    :returns: the protobuf message.
    :raises CodecError: when a value does not fit the encoding.
    """
    try:
        return _write_frame(frame)
    except _INVALID as error:
        raise CodecError(f'frame cannot be encoded: {error}') from error


def frame_from_wire(decoded: wire.Frame) -> Frame:
    """Return the frame of a protobuf message.

    :param decoded: a protobuf message of any origin.
    :returns: the frame.
    :raises CodecError: when a message is of an unknown kind or a value is out
        of range.
    """
    try:
        return _read_frame(decoded)
    except _INVALID as error:
        raise CodecError(f'frame cannot be decoded: {error!r}') from error


class _NameWriter:
    """The names of one frame, each stored once."""

    def __init__(self) -> None:
        self._indexes: dict[str, int] = {}

    def index(self, name: str) -> int:
        """Return the index of a name, adding it when it is new."""
        return self._indexes.setdefault(name, len(self._indexes))

    def indexes(self, names: Iterable[str]) -> list[int]:
        """Return the indexes of several names."""
        return [self.index(name) for name in names]

    def names(self) -> list[str]:
        """Return the names in the order of their indexes."""
        return list(self._indexes)


@dataclass(frozen=True, slots=True)
class _Writes:
    """Registers the function that writes a message type.

    :param kind: the message type.
    :param field: its field of the oneof.
    """

    kind: type
    field: str

    def __call__(self, function: _FunctionT) -> _FunctionT:
        """Add the function to the registry."""
        _writers[self.kind] = (self.field, function)
        return function


@dataclass(frozen=True, slots=True)
class _Reads:
    """Registers the function that reads a field of the oneof."""

    field: str

    def __call__(self, function: _FunctionT) -> _FunctionT:
        """Add the function to the registry."""
        _readers[self.field] = function
        return function


def _write_frame(frame: Frame) -> wire.Frame:
    names = _NameWriter()
    encoded = wire.Frame(
        sender_name=names.index(frame.sender),
        incarnation=frame.incarnation,
        receiver_incarnation=frame.receiver_incarnation,
        sequence=frame.sequence,
        config_version=frame.config_version,
        records=[_write_record(record, names) for record in frame.records],
        messages=[_write_message(one, names) for one in frame.messages],
    )
    encoded.names.extend(names.names())
    return encoded


def _read_frame(decoded: wire.Frame) -> Frame:
    names = list(decoded.names)
    return Frame(
        sender=RouterId(names[decoded.sender_name]),
        incarnation=Incarnation(decoded.incarnation),
        receiver_incarnation=Incarnation(decoded.receiver_incarnation),
        sequence=decoded.sequence,
        config_version=ConfigVersion(decoded.config_version),
        records=tuple(_read_record(one, names) for one in decoded.records),
        messages=tuple(_read_message(one, names) for one in decoded.messages),
    )


def _write_message(message: Message, names: _NameWriter) -> wire.Message:
    field, write = _writers[type(message)]
    return wire.Message(**{field: write(message, names)})


def _read_message(part: wire.Message, names: list[str]) -> Message:
    field = part.WhichOneof('kind')
    if field is None:
        raise ValueError('message of an unknown kind')
    message: Message = _readers[field](getattr(part, field), names)
    return message


def _write_record(
    record: MemberRecord, names: _NameWriter
) -> wire.MemberRecord:
    part = wire.MemberRecord(
        router_name=names.index(record.router),
        incarnation=record.incarnation,
        heartbeat=record.heartbeat,
        state=record.state.value,
        failure_domain_name=names.index(record.failure_domain),
        config_version=record.config_version,
    )
    peer_address = _pack_address(record.peer_address)
    caller_address = _pack_address(record.caller_address)
    if peer_address is None:
        part.peer_address_text = record.peer_address
    else:
        part.peer_address = peer_address
    if caller_address is None:
        part.caller_address_text = record.caller_address
    else:
        part.caller_address = caller_address
    return part


def _read_record(part: wire.MemberRecord, names: list[str]) -> MemberRecord:
    return MemberRecord(
        router=RouterId(names[part.router_name]),
        incarnation=Incarnation(part.incarnation),
        heartbeat=part.heartbeat,
        state=MemberState(part.state),
        failure_domain=FailureDomain(names[part.failure_domain_name]),
        peer_address=_read_address(part.peer_address, part.peer_address_text),
        caller_address=_read_address(
            part.caller_address, part.caller_address_text
        ),
        config_version=ConfigVersion(part.config_version),
    )


@functools.lru_cache(_ADDRESS_CACHE_COUNT)
def _pack_address(text: str) -> bytes | None:
    """Return the packed form of ``ip:port``, None for any other text."""
    host, _colon, port = text.rpartition(':')
    try:
        packed = ipaddress.IPv4Address(host).packed + int(port).to_bytes(2)
    except (ValueError, OverflowError):
        return None
    # Texts such as 127.0.0.1:080 would be read back in another form.
    return packed if _unpack_address(packed) == text else None


@functools.lru_cache(_ADDRESS_CACHE_COUNT)
def _unpack_address(packed: bytes) -> str:
    host, port = packed[:4], int.from_bytes(packed[4:])
    return f'{ipaddress.IPv4Address(host)}:{port}'


def _read_address(packed: bytes, text: str) -> str:
    if not packed:
        return text
    if len(packed) != _PACKED_ADDRESS_BYTES:
        raise ValueError('packed address of another length than 6 bytes')
    return _unpack_address(packed)


def _to_quarters(units: float) -> int:
    return round(units * _QUARTERS)


def _to_units(quarters: int) -> float:
    return quarters / _QUARTERS


def _write_totals(
    totals: tuple[UnitTotal, ...], names: _NameWriter
) -> wire.UnitTotals | None:
    if not totals:
        return None
    return wire.UnitTotals(
        organisation_names=names.indexes(one.organisation for one in totals),
        quarters=[_to_quarters(one.units) for one in totals],
    )


def _read_totals(
    part: wire.UnitTotals, names: list[str]
) -> tuple[UnitTotal, ...]:
    pairs = zip(part.organisation_names, part.quarters, strict=True)
    return tuple(
        UnitTotal(OrganisationId(names[index]), _to_units(quarters))
        for index, quarters in pairs
    )


@_Writes(Demand, 'demand')
def _write_demand(message: Demand, names: _NameWriter) -> wire.Demand:
    return wire.Demand(
        service_name=names.index(message.service),
        organisation_name=names.index(message.organisation),
        short_count=message.short_count,
        long_count=message.long_count,
        isolated_target_names=[
            names.index(target) for target in message.isolated_targets
        ],
        estimate_quarters=_to_quarters(message.estimate_units),
        waited_milliseconds=round(message.waited_seconds * _MILLISECONDS),
    )


@_Reads('demand')
def _read_demand(part: wire.Demand, names: list[str]) -> Demand:
    return Demand(
        service=ServiceId(names[part.service_name]),
        organisation=OrganisationId(names[part.organisation_name]),
        short_count=part.short_count,
        long_count=part.long_count,
        isolated_targets=tuple(
            TargetId(names[index]) for index in part.isolated_target_names
        ),
        estimate_units=_to_units(part.estimate_quarters),
        waited_seconds=part.waited_milliseconds / _MILLISECONDS,
    )


@_Writes(Grant, 'grant')
def _write_grant(message: Grant, names: _NameWriter) -> wire.Grant:
    return wire.Grant(
        grant_id=message.grant_id,
        service_name=names.index(message.service),
        organisation_name=names.index(message.organisation),
        target_name=names.index(message.target),
        request_class=message.request_class.value,
        charged_quarters=_to_quarters(message.charged_units),
    )


@_Reads('grant')
def _read_grant(part: wire.Grant, names: list[str]) -> Grant:
    return Grant(
        grant_id=GrantId(part.grant_id),
        service=ServiceId(names[part.service_name]),
        organisation=OrganisationId(names[part.organisation_name]),
        target=TargetId(names[part.target_name]),
        request_class=RequestClass(part.request_class),
        charged_units=_to_units(part.charged_quarters),
    )


@_Writes(Release, 'release')
def _write_release(message: Release, names: _NameWriter) -> wire.Release:
    return wire.Release(
        grant_id=message.grant_id,
        target_name=names.index(message.target),
        quarters=_to_quarters(message.units),
        unused=message.unused,
        target_failed=message.target_failed,
    )


@_Reads('release')
def _read_release(part: wire.Release, names: list[str]) -> Release:
    return Release(
        grant_id=GrantId(part.grant_id),
        target=TargetId(names[part.target_name]),
        units=_to_units(part.quarters),
        unused=part.unused,
        target_failed=part.target_failed,
    )


@_Writes(Charge, 'charge')
def _write_charge(message: Charge, names: _NameWriter) -> wire.Charge:
    return wire.Charge(
        grant_id=message.grant_id,
        target_name=names.index(message.target),
        quarters=_to_quarters(message.units),
    )


@_Reads('charge')
def _read_charge(part: wire.Charge, names: list[str]) -> Charge:
    return Charge(
        grant_id=GrantId(part.grant_id),
        target=TargetId(names[part.target_name]),
        units=_to_units(part.quarters),
    )


def _write_held_grant(grant: HeldGrant, names: _NameWriter) -> wire.HeldGrant:
    return wire.HeldGrant(
        grant_id=grant.grant_id,
        home_name=names.index(grant.coordinator),
        home_incarnation=grant.coordinator_incarnation,
        organisation_name=names.index(grant.organisation),
        request_class=grant.request_class.value,
        quarters=_to_quarters(grant.units),
    )


def _read_held_grant(part: wire.HeldGrant, names: list[str]) -> HeldGrant:
    return HeldGrant(
        grant_id=GrantId(part.grant_id),
        coordinator=RouterId(names[part.home_name]),
        coordinator_incarnation=Incarnation(part.home_incarnation),
        organisation=OrganisationId(names[part.organisation_name]),
        request_class=RequestClass(part.request_class),
        units=_to_units(part.quarters),
    )


@_Writes(HeldGrants, 'held')
def _write_held(message: HeldGrants, names: _NameWriter) -> wire.Held:
    return wire.Held(
        service_name=names.index(message.service),
        target_name=names.index(message.target),
        grants=[_write_held_grant(one, names) for one in message.grants],
    )


@_Reads('held')
def _read_held(part: wire.Held, names: list[str]) -> HeldGrants:
    return HeldGrants(
        service=ServiceId(names[part.service_name]),
        target=TargetId(names[part.target_name]),
        grants=tuple(_read_held_grant(one, names) for one in part.grants),
    )


@_Writes(FreeSlots, 'free_slots')
def _write_free_slots(message: FreeSlots, names: _NameWriter) -> wire.FreeSlots:
    return wire.FreeSlots(
        service_name=names.index(message.service),
        free_count=message.free_count,
    )


@_Reads('free_slots')
def _read_free_slots(part: wire.FreeSlots, names: list[str]) -> FreeSlots:
    return FreeSlots(
        service=ServiceId(names[part.service_name]),
        free_count=part.free_count,
    )


@_Writes(LedgerReport, 'ledger_report')
def _write_ledger_report(
    message: LedgerReport, names: _NameWriter
) -> wire.LedgerReport:
    return wire.LedgerReport(
        service_name=names.index(message.service),
        session=message.session,
        sequence=message.sequence,
        rows=_write_totals(message.rows, names),
        known_totals=_write_totals(message.known_totals, names),
    )


@_Reads('ledger_report')
def _read_ledger_report(
    part: wire.LedgerReport, names: list[str]
) -> LedgerReport:
    return LedgerReport(
        service=ServiceId(names[part.service_name]),
        session=part.session,
        sequence=part.sequence,
        rows=_read_totals(part.rows, names),
        known_totals=_read_totals(part.known_totals, names),
    )


@_Writes(LedgerTotals, 'ledger_totals')
def _write_ledger_totals(
    message: LedgerTotals, names: _NameWriter
) -> wire.LedgerTotals:
    return wire.LedgerTotals(
        service_name=names.index(message.service),
        session=message.session,
        sequence=message.sequence,
        totals=_write_totals(message.totals, names),
        virtual_time_quarters=_to_quarters(message.virtual_time),
    )


@_Reads('ledger_totals')
def _read_ledger_totals(
    part: wire.LedgerTotals, names: list[str]
) -> LedgerTotals:
    return LedgerTotals(
        service=ServiceId(names[part.service_name]),
        session=part.session,
        sequence=part.sequence,
        virtual_time=_to_units(part.virtual_time_quarters),
        totals=_read_totals(part.totals, names),
    )


@_Writes(ConfigOffer, 'config_offer')
def _write_config_offer(
    message: ConfigOffer, _names: _NameWriter
) -> wire.ConfigOffer:
    return wire.ConfigOffer(
        version=message.version, document=zlib.compress(message.document)
    )


@_Reads('config_offer')
def _read_config_offer(
    part: wire.ConfigOffer, _names: list[str]
) -> ConfigOffer:
    return ConfigOffer(ConfigVersion(part.version), _inflate(part.document))


def _inflate(packed: bytes) -> bytes:
    inflater = zlib.decompressobj()
    document = inflater.decompress(packed, _MAX_DOCUMENT_BYTES)
    if not inflater.eof:
        raise ValueError('document that is cut off or too large')
    return document


@_Writes(ConfigRequest, 'config_request')
def _write_config_request(
    message: ConfigRequest, _names: _NameWriter
) -> wire.ConfigRequest:
    return wire.ConfigRequest(above_version=message.above_version)


@_Reads('config_request')
def _read_config_request(
    part: wire.ConfigRequest, _names: list[str]
) -> ConfigRequest:
    return ConfigRequest(ConfigVersion(part.above_version))


@_Writes(ConfigAcknowledgement, 'config_held')
def _write_config_held(
    message: ConfigAcknowledgement, _names: _NameWriter
) -> wire.ConfigHeld:
    return wire.ConfigHeld(version=message.version)


@_Reads('config_held')
def _read_config_held(
    part: wire.ConfigHeld, _names: list[str]
) -> ConfigAcknowledgement:
    return ConfigAcknowledgement(ConfigVersion(part.version))


@_Writes(CrashReport, 'crash_report')
def _write_crash_report(
    message: CrashReport, names: _NameWriter
) -> wire.CrashReport:
    return wire.CrashReport(
        fingerprint=message.fingerprint,
        target_name=names.index(message.target),
        completed=message.completed,
    )


@_Reads('crash_report')
def _read_crash_report(part: wire.CrashReport, names: list[str]) -> CrashReport:
    return CrashReport(
        fingerprint=Fingerprint(part.fingerprint),
        target=TargetId(names[part.target_name]),
        completed=part.completed,
    )


@_Writes(TargetLeaving, 'target_leaving')
def _write_target_leaving(
    message: TargetLeaving, names: _NameWriter
) -> wire.TargetLeaving:
    return wire.TargetLeaving(
        target_name=names.index(message.target), instance=message.instance
    )


@_Reads('target_leaving')
def _read_target_leaving(
    part: wire.TargetLeaving, names: list[str]
) -> TargetLeaving:
    return TargetLeaving(TargetId(names[part.target_name]), part.instance)


@_Writes(StatusRequest, 'status_request')
def _write_status_request(
    _message: StatusRequest, _names: _NameWriter
) -> wire.StatusRequest:
    return wire.StatusRequest()


@_Reads('status_request')
def _read_status_request(
    _part: wire.StatusRequest, _names: list[str]
) -> StatusRequest:
    return StatusRequest()


@_Writes(StatusReport, 'status_report')
def _write_status_report(
    message: StatusReport, names: _NameWriter
) -> wire.StatusReport:
    rows = message.requests
    return wire.StatusReport(
        target_names=names.indexes(one.target for one in message.slots),
        in_use_counts=[one.in_use_count for one in message.slots],
        service_names=names.indexes(row.service for row in rows),
        organisation_names=names.indexes(row.organisation for row in rows),
        queued_counts=[row.queued_count for row in rows],
        running_counts=[row.running_count for row in rows],
    )


@_Reads('status_report')
def _read_status_report(
    part: wire.StatusReport, names: list[str]
) -> StatusReport:
    slots = zip(part.target_names, part.in_use_counts, strict=True)
    rows = zip(
        part.service_names,
        part.organisation_names,
        part.queued_counts,
        part.running_counts,
        strict=True,
    )
    return StatusReport(
        tuple(
            SlotsInUse(TargetId(names[target]), in_use_count)
            for target, in_use_count in slots
        ),
        tuple(
            RequestCount(
                ServiceId(names[service]),
                OrganisationId(names[organisation]),
                queued_count,
                running_count,
            )
            for service, organisation, queued_count, running_count in rows
        ),
    )
