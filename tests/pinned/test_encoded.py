"""What is sent, stored and read from files has the bytes and names that it had."""

import msgspec
import pytest

from tests.pinned.encoded import (
    STORED_AND_SENT,
    configuration_example,
    decoded_again,
    message_again,
    message_examples,
    pinned,
    settings_examples,
    stored_examples,
)


def test_messages_have_their_pinned_bytes() -> None:
    assert message_examples() == pinned()["messages"]


def test_what_is_stored_and_sent_has_its_pinned_bytes() -> None:
    assert stored_examples() == pinned()["stored and sent"]


@pytest.mark.parametrize("label", STORED_AND_SENT)
def test_pinned_bytes_are_read_and_written_alike(label: str) -> None:
    for example in pinned()["stored and sent"][label]:
        data = bytes.fromhex(example)
        assert decoded_again(label, data) == data


def test_pinned_messages_are_read_and_written_alike() -> None:
    for example in pinned()["messages"].values():
        data = bytes.fromhex(example)
        assert message_again(data) == data


def test_settings_files_keep_names_types_and_defaults() -> None:
    encoded = msgspec.json.encode(settings_examples(), order="sorted")
    assert encoded == msgspec.json.encode(pinned()["settings"], order="sorted")


def test_an_operators_configuration_is_stored_as_it_was() -> None:
    assert configuration_example() == pinned()["configuration"]
