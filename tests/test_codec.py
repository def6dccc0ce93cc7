"""Conversion between frames and their protobuf encoding."""

import math
import typing
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dotterelhatch.core.messages import (
    Charge,
    ConfigAnnouncement,
    Frame,
    LedgerTotals,
    Message,
    UnitTotal,
)
from dotterelhatch.ids import (
    ConfigVersion,
    GrantId,
    Incarnation,
    OrganisationId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.wire import codec
from dotterelhatch.wire import exchange_pb2 as wire
from tests.strategies import frames


def _frame(*messages: Message, sequence: int = 1) -> Frame:
    return Frame(
        sender=RouterId('a'),
        incarnation=Incarnation(1),
        receiver_incarnation=Incarnation(0),
        sequence=sequence,
        config_version=ConfigVersion(0),
        records=(),
        messages=messages,
    )


@given(frames)
def test_round_trip(frame: Frame) -> None:
    """Guards against a field that is lost or decoded into another field.

    Each encoder and decoder lists the fields of its message by hand, so one can
    be forgotten or swapped.
    """
    assert codec.decode_frame(codec.encode_frame(frame)) == frame


def test_every_message_has_a_codec() -> None:
    """Guards against a message type without an encoder or a decoder.

    They are registered by decorators; a missing one would show only when the
    first message of the type is sent.
    """
    kinds = set(typing.get_args(Message))
    fields = wire.Message.DESCRIPTOR.oneofs_by_name['kind'].fields
    assert set(codec._encoders) == kinds
    assert set(codec._decoders) == {field.name for field in fields}


@given(st.floats(min_value=0, max_value=1e12))
def test_units_are_rounded_to_quarters(units: float) -> None:
    """Guards against rounding that is coarser than quarters of a unit.

    Coarser values would falsify the usage by which organisations are compared.
    """
    charge = Charge(GrantId(1), TargetId('t'), units)
    decoded = codec.decode_frame(codec.encode_frame(_frame(charge)))
    (message,) = decoded.messages
    assert isinstance(message, Charge)
    assert abs(message.units - units) <= 0.125


@given(st.binary(max_size=200))
def test_arbitrary_bytes(encoded: bytes) -> None:
    """Guards against an error other than CodecError for arbitrary bytes.

    Code that decodes frames of peers handles only CodecError.
    """
    try:
        codec.decode_frame(encoded)
    except codec.CodecError:
        return


@given(frames, st.data())
def test_corrupted_frames(frame: Frame, data: st.DataObject) -> None:
    """Guards against an error other than CodecError for corrupted frames.

    One to three bytes of a valid frame are replaced, so that most of it is
    still decoded.
    """
    encoded = bytearray(codec.encode_frame(frame))
    for _ in range(data.draw(st.integers(1, 3))):
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] = data.draw(st.integers(0, 255))
    try:
        codec.decode_frame(bytes(encoded))
    except codec.CodecError:
        return


@pytest.mark.parametrize(
    'part',
    [
        wire.Message(),
        wire.Message(demand=wire.Demand(service_name=7)),
        wire.Message(grant=wire.Grant(request_class=9)),
        wire.Message(config_offer=wire.ConfigOffer(document=b'broken')),
        wire.Message(
            config_offer=wire.ConfigOffer(document=zlib.compress(b'ab')[:-1])
        ),
        wire.Message(
            ledger_totals=wire.LedgerTotals(
                totals=wire.UnitTotals(organisation_names=[0])
            )
        ),
    ],
)
def test_invalid_message_is_rejected(part: wire.Message) -> None:
    """Guards against an invalid message that is skipped or decoded in part.

    The messages have an unknown type, an index outside of the name list, an
    unknown enumeration value, a malformed or truncated document, or lists of
    different lengths.
    """
    encoded = wire.Frame(names=['a'], messages=[part])
    with pytest.raises(codec.CodecError):
        codec.decode_frame(encoded.SerializeToString())


@pytest.mark.parametrize(
    'frame',
    [
        _frame(sequence=-1),
        _frame(sequence=2**64),
        _frame(Charge(GrantId(1), TargetId('t'), math.inf)),
        _frame(Charge(GrantId(1), TargetId('t'), math.nan)),
        _frame(Charge(GrantId(1), TargetId('\ud800'), 1)),
        _frame(typing.cast(ConfigAnnouncement, 'no message')),
    ],
)
def test_values_that_cannot_be_encoded(frame: Frame) -> None:
    """Guards against sending a changed value instead of raising CodecError.

    The values are out of range, not finite, not valid Unicode or not a message.
    """
    with pytest.raises(codec.CodecError):
        codec.encode_frame(frame)


def test_names_are_stored_once() -> None:
    """Guards against frames that store a name once per message.

    Messages name the same services and organisations again and again.
    """
    totals = tuple(
        UnitTotal(OrganisationId(f'organisation-{index}'), 1.0)
        for index in range(3)
    )
    message = LedgerTotals(ServiceId('usta-model'), 1, 1, 0, totals)
    encoded = codec.encode_frame(_frame(message, message))
    assert encoded.count(b'usta-model') == 1
    assert encoded.count(b'organisation-0') == 1
