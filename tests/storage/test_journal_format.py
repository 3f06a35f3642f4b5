"""Journal format: torn tails are truncated, other damage is rejected."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from merlinstand.storage import journal_format, journal_format_v1
from merlinstand.storage.errors import CorruptJournalError, UnsupportedVersionError
from merlinstand.storage.journal_reader import decode_any_journal

SALT = 0x1234_5678_9ABC_DEF0

batches_strategy = st.lists(
    st.lists(st.binary(max_size=40), min_size=1, max_size=4), min_size=1, max_size=6
)


def encode(batches: list[list[bytes]], salt: int = SALT) -> tuple[bytes, list[int]]:
    """Encode a file; return it and the end offset of each frame."""
    data = journal_format.encode_header(salt)
    ends = []
    for sequence, records in enumerate(batches):
        data += journal_format.encode_frame(records, sequence, salt)
        ends.append(len(data))
    return data, ends


def flatten(batches: list[list[bytes]]) -> tuple[bytes, ...]:
    return tuple(record for batch in batches for record in batch)


@given(batches_strategy)
def test_complete_file_is_decoded(batches: list[list[bytes]]) -> None:
    data, _ = encode(batches)
    journal = journal_format.decode_journal(data).unwrap()
    assert journal.records == flatten(batches)
    assert journal.torn_bytes == 0
    assert journal.next_sequence == len(batches)


@given(batches_strategy, st.data())
def test_incomplete_last_frame_is_truncated(batches: list[list[bytes]], data: st.DataObject):
    encoded, ends = encode(batches)
    begin = ends[-2] if len(ends) > 1 else journal_format.HEADER_BYTES
    cut = data.draw(st.integers(begin, len(encoded) - 1))
    journal = journal_format.decode_journal(encoded[:cut]).unwrap()
    assert journal.records == flatten(batches[:-1])
    assert journal.valid_bytes == begin
    assert journal.torn_bytes == cut - begin


@given(batches_strategy, st.data())
def test_damaged_last_frame_is_truncated(batches: list[list[bytes]], data: st.DataObject):
    encoded, ends = encode(batches)
    begin = ends[-2] if len(ends) > 1 else journal_format.HEADER_BYTES
    damaged = _flip(encoded, data.draw(st.integers(begin, len(encoded) - 1)))
    assert journal_format.decode_journal(damaged).unwrap().records == flatten(batches[:-1])


@given(batches_strategy.filter(lambda batches: len(batches) > 1), st.data())
def test_damage_before_the_last_frame_is_rejected(
    batches: list[list[bytes]], data: st.DataObject
) -> None:
    encoded, ends = encode(batches)
    position = data.draw(st.integers(journal_format.HEADER_BYTES, ends[-2] - 1))
    result = journal_format.decode_journal(_flip(encoded, position))
    assert isinstance(result.unwrap_err(), CorruptJournalError)


def test_zeroed_page_in_the_middle_is_rejected() -> None:
    batches = [[bytes([number]) * 3000] for number in range(6)]
    encoded, _ = encode(batches)
    damaged = encoded[:4096] + bytes(4096) + encoded[8192:]
    assert isinstance(journal_format.decode_journal(damaged).unwrap_err(), CorruptJournalError)


def test_missing_frame_is_rejected() -> None:
    frames = [journal_format.encode_frame([b"x"], sequence, SALT) for sequence in range(3)]
    data = journal_format.encode_header(SALT) + frames[0] + frames[2]
    assert isinstance(journal_format.decode_journal(data).unwrap_err(), CorruptJournalError)


def test_frame_of_another_file_is_ignored() -> None:
    """Old bytes on the disk after a torn tail are not mistaken for synced frames."""
    encoded, ends = encode([[b"first"], [b"second"]])
    stale = journal_format.encode_frame([b"stale"], 7, SALT + 1)
    journal = journal_format.decode_journal(encoded[: ends[0] + 9] + stale).unwrap()
    assert journal.records == (b"first",)


def test_damaged_header_is_rejected() -> None:
    encoded, _ = encode([[b"first"]])
    assert journal_format.decode_journal(_flip(encoded, 10)).is_err()
    assert decode_any_journal(encoded[:5]).is_err()


def test_unknown_version_is_rejected() -> None:
    encoded, _ = encode([[b"first"]])
    newer = encoded[:6] + b"\x09\x00" + encoded[8:]
    error = decode_any_journal(newer).unwrap_err()
    assert isinstance(error, UnsupportedVersionError)
    assert error.version == 9


def encode_v1(records: list[bytes]) -> bytes:
    body = b"".join(journal_format_v1.encode_record(record) for record in records)
    return journal_format_v1.encode_header() + body


def test_version_1_is_decoded() -> None:
    journal = decode_any_journal(encode_v1([b"a", b"bb", b""])).unwrap()
    assert journal.records == (b"a", b"bb", b"")


def test_version_1_torn_tail_is_truncated_and_damaged_middle_rejected() -> None:
    data = encode_v1([b"first", b"second", b"third"])
    assert decode_any_journal(data[:-2]).unwrap().records == (b"first", b"second")
    middle = journal_format_v1.HEADER_BYTES + 13 + 9
    assert isinstance(decode_any_journal(_flip(data, middle)).unwrap_err(), CorruptJournalError)


@pytest.mark.parametrize("seed", range(20))
def test_random_bytes_are_never_accepted(seed: int) -> None:
    assert decode_any_journal(random.Random(seed).randbytes(200)).is_err()


def _flip(data: bytes, position: int) -> bytes:
    return data[:position] + bytes([data[position] ^ 0x40]) + data[position + 1 :]
