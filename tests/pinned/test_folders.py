"""Data folders that an earlier program wrote are opened, and the work in them goes on as it did."""

import pytest

from tests.pinned.folders import CASES, pinned, resumed_digests


@pytest.mark.parametrize("name", CASES)
def test_a_folder_of_an_earlier_program_is_resumed(name: str) -> None:
    assert resumed_digests(name) == pinned()[name]
