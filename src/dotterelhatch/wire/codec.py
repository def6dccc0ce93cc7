"""Conversion between frames and their protobuf encoding.

Units are rounded to quarters of a unit and waiting times to milliseconds.
Rounding errors do not accumulate, because the values are absolute or
cumulative. Token counts and quarters of prompt tokens are exact.
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
    ConfigAnnouncement,
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

# A prompt token counts as a quarter of a unit, so quarters are exact for model
# services.
_QUARTERS_PER_UNIT: Final = 4
_MILLISECONDS_PER_SECOND: Final = 1000
_PACKED_ADDRESS_BYTES: Final = 6
# Larger than any real document; bounds the memory for a malformed one.
_MAX_DOCUMENT_BYTES: Final = 64 * 1024 * 1024
# Holds both addresses of each router in the largest fleet. Converting an
# address takes longer than the rest of a member record, and addresses rarely
# change.
_ADDRESS_CACHE_COUNT: Final = 1024

_Function = Callable[..., Any]
_FunctionT = TypeVar('_FunctionT', bound=_Function)
_FieldEncoder = tuple[str, _Function]

# Filled by the decorators _Encodes and _Decodes.
_encoders: Final[dict[type, _FieldEncoder]] = {}
_decoders: Final[dict[str, _Function]] = {}

# Raised by the protobuf runtime, enumerations and zlib for values that are out
# of range and for malformed input.
_CONVERSION_ERRORS: Final = (
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
    """A frame cannot be encoded or decoded."""

    def __init__(self, detail: str) -> None:
        """Create the error with the reason."""
        super().__init__(ErrorKind.BAD_REQUEST, detail)


def encode_frame(frame: Frame) -> bytes:
    """Return the protobuf encoding of a frame.

    :raises CodecError: if a value cannot be encoded.
    """
    return frame_to_wire(frame).SerializeToString()


def decode_frame(encoded: bytes) -> Frame:
    """Return the frame of a protobuf encoding.

    :param encoded: bytes from an untrusted source.
    :raises CodecError: if the bytes are malformed, hold a message of an
        unknown type or a value that is out of range.
    """
    try:
        decoded = wire.Frame.FromString(encoded)
    except _CONVERSION_ERRORS as error:
        raise CodecError(
            f'malformed protobuf encoding of a frame: {error}'
        ) from error
    return frame_from_wire(decoded)


def frame_to_wire(frame: Frame) -> wire.Frame:
    """Return the protobuf message of a frame.

    :raises CodecError: if a value cannot be encoded.
    """
    try:
        return _to_wire_frame(frame)
    except _CONVERSION_ERRORS as error:
        raise CodecError(f'frame cannot be encoded: {error}') from error


def frame_from_wire(decoded: wire.Frame) -> Frame:
    """Return the frame of a protobuf message.

    :param decoded: a protobuf message from an untrusted source.
    :raises CodecError: if a message is of an unknown type or a value is out
        of range.
    """
    try:
        return _from_wire_frame(decoded)
    except _CONVERSION_ERRORS as error:
        raise CodecError(f'frame cannot be decoded: {error!r}') from error


class _NameTable:
    """String table of a frame, which stores each name once."""

    def __init__(self) -> None:
        self._indexes: dict[str, int] = {}

    def index(self, name: str) -> int:
        """Return the index of a name; add the name if it is new."""
        return self._indexes.setdefault(name, len(self._indexes))

    def indexes(self, names: Iterable[str]) -> list[int]:
        """Return the indexes of several names."""
        return [self.index(name) for name in names]

    def names(self) -> list[str]:
        """Return the names in the order of their indexes."""
        return list(self._indexes)


@dataclass(frozen=True, slots=True)
class _Encodes:
    """Decorator that registers the encoder of a message type.

    :param message_type: class of the messages.
    :param field: field of the oneof ``Message.kind``.
    """

    message_type: type
    field: str

    def __call__(self, function: _FunctionT) -> _FunctionT:
        """Add the function to the registry and return it."""
        _encoders[self.message_type] = (self.field, function)
        return function


@dataclass(frozen=True, slots=True)
class _Decodes:
    """Decorator that registers the decoder of a field of the oneof."""

    field: str

    def __call__(self, function: _FunctionT) -> _FunctionT:
        """Add the function to the registry and return it."""
        _decoders[self.field] = function
        return function


def _to_wire_frame(frame: Frame) -> wire.Frame:
    names = _NameTable()
    encoded = wire.Frame(
        sender_name=names.index(frame.sender),
        incarnation=frame.incarnation,
        receiver_incarnation=frame.receiver_incarnation,
        sequence=frame.sequence,
        config_version=frame.config_version,
        records=[_encode_record(record, names) for record in frame.records],
        messages=[
            _encode_message(message, names) for message in frame.messages
        ],
    )
    encoded.names.extend(names.names())
    return encoded


def _from_wire_frame(decoded: wire.Frame) -> Frame:
    names = list(decoded.names)
    return Frame(
        sender=RouterId(names[decoded.sender_name]),
        incarnation=Incarnation(decoded.incarnation),
        receiver_incarnation=Incarnation(decoded.receiver_incarnation),
        sequence=decoded.sequence,
        config_version=ConfigVersion(decoded.config_version),
        records=tuple(_decode_record(part, names) for part in decoded.records),
        messages=tuple(
            _decode_message(part, names) for part in decoded.messages
        ),
    )


def _encode_message(message: Message, names: _NameTable) -> wire.Message:
    field, encode = _encoders[type(message)]
    return wire.Message(**{field: encode(message, names)})


def _decode_message(part: wire.Message, names: list[str]) -> Message:
    field = part.WhichOneof('kind')
    if field is None:
        raise ValueError('message of an unknown type')
    message: Message = _decoders[field](getattr(part, field), names)
    return message


def _encode_record(
    record: MemberRecord, names: _NameTable
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


def _decode_record(part: wire.MemberRecord, names: list[str]) -> MemberRecord:
    return MemberRecord(
        router=RouterId(names[part.router_name]),
        incarnation=Incarnation(part.incarnation),
        heartbeat=part.heartbeat,
        state=MemberState(part.state),
        failure_domain=FailureDomain(names[part.failure_domain_name]),
        peer_address=_decode_address(part.peer_address, part.peer_address_text),
        caller_address=_decode_address(
            part.caller_address, part.caller_address_text
        ),
        config_version=ConfigVersion(part.config_version),
    )


@functools.lru_cache(_ADDRESS_CACHE_COUNT)
def _pack_address(text: str) -> bytes | None:
    """Return ``ip:port`` packed into 6 bytes, None for any other text."""
    host, _colon, port = text.rpartition(':')
    try:
        packed = ipaddress.IPv4Address(host).packed + int(port).to_bytes(2)
    except (ValueError, OverflowError):
        return None
    # A text such as 127.0.0.1:080 would be decoded to a different text.
    return packed if _unpack_address(packed) == text else None


@functools.lru_cache(_ADDRESS_CACHE_COUNT)
def _unpack_address(packed: bytes) -> str:
    host, port = packed[:4], int.from_bytes(packed[4:])
    return f'{ipaddress.IPv4Address(host)}:{port}'


def _decode_address(packed: bytes, text: str) -> str:
    if not packed:
        return text
    if len(packed) != _PACKED_ADDRESS_BYTES:
        raise ValueError('packed address is not 6 bytes long')
    return _unpack_address(packed)


def _to_quarters(units: float) -> int:
    return round(units * _QUARTERS_PER_UNIT)


def _to_units(quarters: int) -> float:
    return quarters / _QUARTERS_PER_UNIT


def _encode_totals(
    totals: tuple[UnitTotal, ...], names: _NameTable
) -> wire.UnitTotals | None:
    if not totals:
        return None
    return wire.UnitTotals(
        organisation_names=names.indexes(
            total.organisation for total in totals
        ),
        quarters=[_to_quarters(total.units) for total in totals],
    )


def _decode_totals(
    part: wire.UnitTotals, names: list[str]
) -> tuple[UnitTotal, ...]:
    pairs = zip(part.organisation_names, part.quarters, strict=True)
    return tuple(
        UnitTotal(OrganisationId(names[index]), _to_units(quarters))
        for index, quarters in pairs
    )


@_Encodes(Demand, 'demand')
def _encode_demand(message: Demand, names: _NameTable) -> wire.Demand:
    return wire.Demand(
        service_name=names.index(message.service),
        organisation_name=names.index(message.organisation),
        short_count=message.short_count,
        long_count=message.long_count,
        isolated_target_names=[
            names.index(target) for target in message.isolated_targets
        ],
        estimate_quarters=_to_quarters(message.estimate_units),
        waited_milliseconds=round(
            message.waited_seconds * _MILLISECONDS_PER_SECOND
        ),
    )


@_Decodes('demand')
def _decode_demand(part: wire.Demand, names: list[str]) -> Demand:
    return Demand(
        service=ServiceId(names[part.service_name]),
        organisation=OrganisationId(names[part.organisation_name]),
        short_count=part.short_count,
        long_count=part.long_count,
        isolated_targets=tuple(
            TargetId(names[index]) for index in part.isolated_target_names
        ),
        estimate_units=_to_units(part.estimate_quarters),
        waited_seconds=part.waited_milliseconds / _MILLISECONDS_PER_SECOND,
    )


@_Encodes(Grant, 'grant')
def _encode_grant(message: Grant, names: _NameTable) -> wire.Grant:
    return wire.Grant(
        grant_id=message.grant_id,
        service_name=names.index(message.service),
        organisation_name=names.index(message.organisation),
        target_name=names.index(message.target),
        request_class=message.request_class.value,
        charged_quarters=_to_quarters(message.charged_units),
    )


@_Decodes('grant')
def _decode_grant(part: wire.Grant, names: list[str]) -> Grant:
    return Grant(
        grant_id=GrantId(part.grant_id),
        service=ServiceId(names[part.service_name]),
        organisation=OrganisationId(names[part.organisation_name]),
        target=TargetId(names[part.target_name]),
        request_class=RequestClass(part.request_class),
        charged_units=_to_units(part.charged_quarters),
    )


@_Encodes(Release, 'release')
def _encode_release(message: Release, names: _NameTable) -> wire.Release:
    return wire.Release(
        grant_id=message.grant_id,
        target_name=names.index(message.target),
        quarters=_to_quarters(message.units),
        unused=message.unused,
        target_failed=message.target_failed,
        pause_milliseconds=message.pause_milliseconds,
    )


@_Decodes('release')
def _decode_release(part: wire.Release, names: list[str]) -> Release:
    return Release(
        grant_id=GrantId(part.grant_id),
        target=TargetId(names[part.target_name]),
        units=_to_units(part.quarters),
        unused=part.unused,
        target_failed=part.target_failed,
        pause_milliseconds=part.pause_milliseconds,
    )


@_Encodes(Charge, 'charge')
def _encode_charge(message: Charge, names: _NameTable) -> wire.Charge:
    return wire.Charge(
        grant_id=message.grant_id,
        target_name=names.index(message.target),
        quarters=_to_quarters(message.units),
    )


@_Decodes('charge')
def _decode_charge(part: wire.Charge, names: list[str]) -> Charge:
    return Charge(
        grant_id=GrantId(part.grant_id),
        target=TargetId(names[part.target_name]),
        units=_to_units(part.quarters),
    )


def _encode_held_grant(grant: HeldGrant, names: _NameTable) -> wire.HeldGrant:
    return wire.HeldGrant(
        grant_id=grant.grant_id,
        home_name=names.index(grant.coordinator),
        home_incarnation=grant.coordinator_incarnation,
        organisation_name=names.index(grant.organisation),
        request_class=grant.request_class.value,
        quarters=_to_quarters(grant.units),
    )


def _decode_held_grant(part: wire.HeldGrant, names: list[str]) -> HeldGrant:
    return HeldGrant(
        grant_id=GrantId(part.grant_id),
        coordinator=RouterId(names[part.home_name]),
        coordinator_incarnation=Incarnation(part.home_incarnation),
        organisation=OrganisationId(names[part.organisation_name]),
        request_class=RequestClass(part.request_class),
        units=_to_units(part.quarters),
    )


@_Encodes(HeldGrants, 'held')
def _encode_held_grants(message: HeldGrants, names: _NameTable) -> wire.Held:
    return wire.Held(
        service_name=names.index(message.service),
        target_name=names.index(message.target),
        grants=[_encode_held_grant(grant, names) for grant in message.grants],
    )


@_Decodes('held')
def _decode_held_grants(part: wire.Held, names: list[str]) -> HeldGrants:
    return HeldGrants(
        service=ServiceId(names[part.service_name]),
        target=TargetId(names[part.target_name]),
        grants=tuple(_decode_held_grant(grant, names) for grant in part.grants),
    )


@_Encodes(FreeSlots, 'free_slots')
def _encode_free_slots(message: FreeSlots, names: _NameTable) -> wire.FreeSlots:
    return wire.FreeSlots(
        service_name=names.index(message.service),
        free_count=message.free_count,
    )


@_Decodes('free_slots')
def _decode_free_slots(part: wire.FreeSlots, names: list[str]) -> FreeSlots:
    return FreeSlots(
        service=ServiceId(names[part.service_name]),
        free_count=part.free_count,
    )


@_Encodes(LedgerReport, 'ledger_report')
def _encode_ledger_report(
    message: LedgerReport, names: _NameTable
) -> wire.LedgerReport:
    return wire.LedgerReport(
        service_name=names.index(message.service),
        session=message.session,
        sequence=message.sequence,
        rows=_encode_totals(message.rows, names),
        known_totals=_encode_totals(message.known_totals, names),
    )


@_Decodes('ledger_report')
def _decode_ledger_report(
    part: wire.LedgerReport, names: list[str]
) -> LedgerReport:
    return LedgerReport(
        service=ServiceId(names[part.service_name]),
        session=part.session,
        sequence=part.sequence,
        rows=_decode_totals(part.rows, names),
        known_totals=_decode_totals(part.known_totals, names),
    )


@_Encodes(LedgerTotals, 'ledger_totals')
def _encode_ledger_totals(
    message: LedgerTotals, names: _NameTable
) -> wire.LedgerTotals:
    return wire.LedgerTotals(
        service_name=names.index(message.service),
        session=message.session,
        sequence=message.sequence,
        totals=_encode_totals(message.totals, names),
        virtual_time_quarters=_to_quarters(message.virtual_time),
    )


@_Decodes('ledger_totals')
def _decode_ledger_totals(
    part: wire.LedgerTotals, names: list[str]
) -> LedgerTotals:
    return LedgerTotals(
        service=ServiceId(names[part.service_name]),
        session=part.session,
        sequence=part.sequence,
        virtual_time=_to_units(part.virtual_time_quarters),
        totals=_decode_totals(part.totals, names),
    )


@_Encodes(ConfigOffer, 'config_offer')
def _encode_config_offer(
    message: ConfigOffer, _names: _NameTable
) -> wire.ConfigOffer:
    return wire.ConfigOffer(
        version=message.version, document=zlib.compress(message.document)
    )


@_Decodes('config_offer')
def _decode_config_offer(
    part: wire.ConfigOffer, _names: list[str]
) -> ConfigOffer:
    return ConfigOffer(ConfigVersion(part.version), _decompress(part.document))


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(packed, _MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise ValueError('compressed document is truncated or too large')
    return document


@_Encodes(ConfigRequest, 'config_request')
def _encode_config_request(
    message: ConfigRequest, _names: _NameTable
) -> wire.ConfigRequest:
    return wire.ConfigRequest(above_version=message.above_version)


@_Decodes('config_request')
def _decode_config_request(
    part: wire.ConfigRequest, _names: list[str]
) -> ConfigRequest:
    return ConfigRequest(ConfigVersion(part.above_version))


@_Encodes(ConfigAnnouncement, 'config_held')
def _encode_config_announcement(
    message: ConfigAnnouncement, _names: _NameTable
) -> wire.ConfigHeld:
    return wire.ConfigHeld(version=message.version)


@_Decodes('config_held')
def _decode_config_announcement(
    part: wire.ConfigHeld, _names: list[str]
) -> ConfigAnnouncement:
    return ConfigAnnouncement(ConfigVersion(part.version))


@_Encodes(CrashReport, 'crash_report')
def _encode_crash_report(
    message: CrashReport, names: _NameTable
) -> wire.CrashReport:
    return wire.CrashReport(
        fingerprint=message.fingerprint,
        target_name=names.index(message.target),
        completed=message.completed,
    )


@_Decodes('crash_report')
def _decode_crash_report(
    part: wire.CrashReport, names: list[str]
) -> CrashReport:
    return CrashReport(
        fingerprint=Fingerprint(part.fingerprint),
        target=TargetId(names[part.target_name]),
        completed=part.completed,
    )


@_Encodes(TargetLeaving, 'target_leaving')
def _encode_target_leaving(
    message: TargetLeaving, names: _NameTable
) -> wire.TargetLeaving:
    return wire.TargetLeaving(
        target_name=names.index(message.target), instance=message.instance
    )


@_Decodes('target_leaving')
def _decode_target_leaving(
    part: wire.TargetLeaving, names: list[str]
) -> TargetLeaving:
    return TargetLeaving(TargetId(names[part.target_name]), part.instance)


@_Encodes(StatusRequest, 'status_request')
def _encode_status_request(
    _message: StatusRequest, _names: _NameTable
) -> wire.StatusRequest:
    return wire.StatusRequest()


@_Decodes('status_request')
def _decode_status_request(
    _part: wire.StatusRequest, _names: list[str]
) -> StatusRequest:
    return StatusRequest()


@_Encodes(StatusReport, 'status_report')
def _encode_status_report(
    message: StatusReport, names: _NameTable
) -> wire.StatusReport:
    rows = message.requests
    return wire.StatusReport(
        target_names=names.indexes(slots.target for slots in message.slots),
        in_use_counts=[slots.in_use_count for slots in message.slots],
        service_names=names.indexes(row.service for row in rows),
        organisation_names=names.indexes(row.organisation for row in rows),
        queued_counts=[row.queued_count for row in rows],
        running_counts=[row.running_count for row in rows],
    )


@_Decodes('status_report')
def _decode_status_report(
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
