"""Requests that crash backends are distinguished from requests that only ran beside them."""

import pytest

from merlinstand.common.ids import ContentDigest
from merlinstand.quarantine.blame import SuspectStatus, classify_requests

SUSPECT, REPEAT_SUSPECT = SuspectStatus.SUSPECT, SuspectStatus.REPEAT_SUSPECT
UNPROVEN, QUARANTINED = SuspectStatus.UNPROVEN, SuspectStatus.QUARANTINED


@pytest.mark.parametrize(
    ("crashes", "expected"),
    [
        pytest.param("", {}, id="nothing crashed"),
        pytest.param("g", {"g": SUSPECT}, id="one backend"),
        pytest.param("g g", {"g": REPEAT_SUSPECT}, id="two backends"),
        pytest.param("g g g", {"g": QUARANTINED}, id="three backends, alone"),
        pytest.param("g g g g g", {"g": QUARANTINED}, id="more than three"),
        pytest.param("gi gj gk", {"g": QUARANTINED}, id="others in flight, each at one crash"),
        pytest.param("gi gi g", {"g": QUARANTINED}, id="another in flight at two crashes"),
        pytest.param(
            "gi gi gi", {"g": UNPROVEN, "i": UNPROVEN}, id="another in flight at every crash"
        ),
        pytest.param("gi gi gi g", {"g": QUARANTINED}, id="one crash without the other"),
        pytest.param(
            "gi gi gi g i", {"g": UNPROVEN, "i": UNPROVEN}, id="each at one crash without the other"
        ),
        pytest.param(
            "g g g gi i", {"g": QUARANTINED, "i": SUSPECT}, id="only unexplained crashes count"
        ),
        pytest.param("g g g h h h", {"g": QUARANTINED, "h": QUARANTINED}, id="two culprits"),
        pytest.param(
            "gi g g hi h h ki k k",
            {"g": QUARANTINED, "h": QUARANTINED, "k": QUARANTINED},
            id="beside three culprits",
        ),
        pytest.param(
            "gi g g hi h h i",
            {"g": QUARANTINED, "h": QUARANTINED, "i": SUSPECT},
            id="beside two culprits",
        ),
        pytest.param(
            "gij g g i ij",
            {"g": QUARANTINED, "i": UNPROVEN, "j": SUSPECT},
            id="two unexplained requests",
        ),
        pytest.param(
            "gi gi g g hi hi h h i",
            {"g": QUARANTINED, "h": QUARANTINED, "i": UNPROVEN},
            id="more crashes than the culprits beside it",
        ),
        pytest.param(
            "b bfi bfi fih h h",
            {"b": QUARANTINED, "h": QUARANTINED},
            id="beside two culprits that were alone elsewhere",
        ),
        pytest.param(
            "ba bfi bfi fih h h",
            {"b": QUARANTINED, "f": UNPROVEN, "h": QUARANTINED, "i": UNPROVEN},
            id="beside two culprits, one never alone",
        ),
        pytest.param(
            "g g g gi i i i", {"g": QUARANTINED, "i": QUARANTINED}, id="each alone at three crashes"
        ),
        pytest.param("gi gi gi gi gi g", {"g": QUARANTINED}, id="always beside the same culprit"),
        pytest.param(
            "gi gi gi h",
            {"g": UNPROVEN, "i": UNPROVEN, "h": SUSPECT},
            id="crash of an unrelated request",
        ),
        pytest.param(". . g", {"g": SUSPECT}, id="crashes with all requests cleared"),
    ],
)
def test_status_by_crashes(crashes: str, expected: dict[str, SuspectStatus]) -> None:
    """Each word is a crashed backend, each letter a request in flight there."""
    contents = [[ContentDigest(c) for c in word if c != "."] for word in crashes.split()]
    assert classify_requests(contents) == expected


def test_statuses_are_independent_of_input_order() -> None:
    crashes = [["g", "i"], ["i", "g"], ["g"], ["h", "i"], ["h"], ["h", "k"]]
    forward = classify_requests([[ContentDigest(c) for c in crash] for crash in crashes])
    backward = classify_requests(
        [[ContentDigest(c) for c in reversed(crash)] for crash in reversed(crashes)]
    )
    assert forward == backward


def test_statuses_are_ordered_by_digest() -> None:
    """Guards against an order by hash seed, which changed the bytes that control daemons sent and
    stored.
    """
    verdicts = classify_requests([[ContentDigest(c) for c in "hcadgbfe"]] * 2)
    assert list(verdicts) == list("abcdefgh")
