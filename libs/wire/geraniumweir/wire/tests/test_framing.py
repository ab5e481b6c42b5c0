"""Tests of frames and of the catalogue of message types."""

import pytest
from geraniumweir.wire import catalogue, errors, framing
from geraniumweir.wire.gen.peering import ttypes
from hypothesis import given, settings
from hypothesis import strategies as st


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=64))
def test_garbage_is_a_struct_or_a_frame_error(body: bytes) -> None:
    """No bytes make the decoder raise another error."""
    try:
        decoded = framing.decode(ttypes.Envelope, body)
    except errors.FrameError:
        return
    assert isinstance(decoded, ttypes.Envelope)


def test_field_of_a_wrong_type_is_refused() -> None:
    """A field of a wrong type fails at the sender."""
    with pytest.raises(errors.FrameError):
        framing.encode(ttypes.Hello(host_id='one', protocol='1'))


def test_body_over_the_limit_is_refused() -> None:
    """A frame that the receiver would reject is not sent."""
    with pytest.raises(errors.FrameError):
        framing.pack(bytes(framing.MAX_FRAME_BYTES + 1))


def test_generated_types_have_numbers() -> None:
    """Each generated struct is found again by its number."""
    types = catalogue.generated()
    number = types.number(ttypes.Hello)
    assert number == catalogue.number_of('peering.Hello')
    assert types.type_of(number) is ttypes.Hello


def test_unknown_number_is_refused() -> None:
    """A message type of a newer build is an error."""
    with pytest.raises(errors.FrameError):
        catalogue.generated().type_of(1)


def test_names_with_the_same_number_are_rejected() -> None:
    """Two names with the same CRC-32 are an error."""
    colliding = {'plumless': ttypes.Hello, 'buckeroo': ttypes.Envelope}
    with pytest.raises(ValueError, match='taken'):
        catalogue.Catalogue(colliding)
