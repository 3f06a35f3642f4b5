"""Compressed texts, commands and jobs decode to the original; malformed data is an error."""

import random

import msgspec
import pytest

from merlinstand.batch_calls.calls import SubmitJob, decode_call, encode
from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ItemResult, ResultState
from merlinstand.batch_jobs.kept_text import TextPart
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    CheckpointTexts,
    JobCommand,
    ListResult,
    decode_command,
    encode_command,
)
from merlinstand.common.packed_message import COMPRESSED_PREFIX
from merlinstand.common.packed_text import PIECE_BYTES, compress, decompress

LONG_TEXT = "an event's data\n" * 200
JOB = BatchJob(
    job_id="j",
    host="h",
    path="/l/",
    items=tuple(
        BatchItem(item_id=f"i{n}", path="/l/1", headers={"host": "h"}, body=b"b") for n in range(20)
    ),
)


@pytest.mark.parametrize(
    "text",
    ["", "a", "ä\n" * 40, LONG_TEXT],
    ids=["empty", "short", "multi-byte characters", "long"],
)
def test_compressed_result_text_is_restored(text: str) -> None:
    result = ItemResult.succeeded("i", text, (1,), "s")
    assert result.full_text().unwrap() == text
    assert result.length == len(text)
    assert len(result.text) + len(result.packed_text) <= len(text.encode())


@pytest.mark.parametrize(
    "compressed",
    [
        b"no zlib",
        compress(LONG_TEXT.encode())[:-3],
        compress(LONG_TEXT.encode()) + b"more",
        compress(b"\xff" * 300),
    ],
    ids=["not zlib", "truncated", "trailing bytes", "not UTF-8"],
)
def test_malformed_compressed_text_is_an_error(compressed: bytes) -> None:
    result = ItemResult(item_id="i", state=ResultState.SUCCEEDED, packed_text=compressed)
    assert result.full_text().is_err()


@pytest.mark.parametrize(
    "command",
    [
        AcceptJob(JOB),
        CheckpointTexts((TextPart("j", "i1", 1, (LONG_TEXT,), (1,)),)),
        ListResult("j", ItemResult.succeeded("i1", LONG_TEXT, (1,), "s")),
    ],
    ids=["accepted job", "stored texts", "result"],
)
def test_long_commands_are_compressed_in_the_log(command: JobCommand) -> None:
    data = encode_command(command)
    assert decode_command(data) == command
    plain = msgspec.msgpack.encode(command)
    assert decode_command(plain) == command
    assert len(data) < len(LONG_TEXT) / 2


def test_submitted_job_is_sent_compressed() -> None:
    data = encode(SubmitJob(JOB))
    assert data.startswith(COMPRESSED_PREFIX)
    assert decode_call(data) == SubmitJob(JOB)


@pytest.mark.parametrize(
    "data",
    [COMPRESSED_PREFIX, COMPRESSED_PREFIX + b"x", COMPRESSED_PREFIX + compress(b"\xc1" * 300)],
)
def test_malformed_compressed_message_raises_a_decode_error(data: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_command(data)
    with pytest.raises(msgspec.DecodeError):
        decode_call(data)


@pytest.mark.parametrize(
    ("data", "is_compressed"),
    [
        pytest.param(b"text " * PIECE_BYTES, True, id="text of several pieces"),
        pytest.param(random.Random(1).randbytes(2 * PIECE_BYTES), False, id="random bytes"),
        pytest.param(
            random.Random(1).randbytes(PIECE_BYTES) + b"a" * PIECE_BYTES, False, id="random first"
        ),
    ],
)
def test_large_data_is_compressed_only_if_that_halves_it(data: bytes, is_compressed: bool) -> None:
    compressed = compress(data, b"prefix")
    assert bool(compressed) == is_compressed
    if is_compressed:
        assert compressed.startswith(b"prefix")
        assert decompress(compressed.removeprefix(b"prefix")).unwrap() == data
        assert len(compressed) < len(data) / 2
