"""What tells a request that crashes servers from those that only ran beside it."""

import pytest

from merlinstand.common.ids import ContentDigest
from merlinstand.quarantine.blame import SuspectStatus, classify_requests

SUSPECT, REPEAT_SUSPECT = SuspectStatus.SUSPECT, SuspectStatus.REPEAT_SUSPECT
UNPROVEN, QUARANTINED = SuspectStatus.UNPROVEN, SuspectStatus.QUARANTINED


@pytest.mark.parametrize(
    ("crashes", "expected"),
    [
        pytest.param("", {}, id="nothing crashed"),
        pytest.param("g", {"g": SUSPECT}, id="one server"),
        pytest.param("g g", {"g": REPEAT_SUSPECT}, id="two servers"),
        pytest.param("g g g", {"g": QUARANTINED}, id="three servers, alone"),
        pytest.param("g g g g g", {"g": QUARANTINED}, id="more of them"),
        pytest.param("gi gj gk", {"g": QUARANTINED}, id="others were beside it, each once"),
        pytest.param("gi gi g", {"g": QUARANTINED}, id="another was beside it twice"),
        pytest.param("gi gi gi", {"g": UNPROVEN, "i": UNPROVEN}, id="another was always there"),
        pytest.param("gi gi gi g", {"g": QUARANTINED}, id="once without the other"),
        pytest.param(
            "gi gi gi g i", {"g": UNPROVEN, "i": UNPROVEN}, id="each of them once without the other"
        ),
        pytest.param("g g g gi i", {"g": QUARANTINED, "i": SUSPECT}, id="only the rest counts"),
        pytest.param("g g g h h h", {"g": QUARANTINED, "h": QUARANTINED}, id="two guilty ones"),
        pytest.param(
            "gi g g hi h h ki k k",
            {"g": QUARANTINED, "h": QUARANTINED, "k": QUARANTINED},
            id="beside three guilty ones",
        ),
        pytest.param(
            "gi g g hi h h i", {"g": QUARANTINED, "h": QUARANTINED, "i": SUSPECT}, id="beside two"
        ),
        pytest.param(
            "gij g g i ij", {"g": QUARANTINED, "i": UNPROVEN, "j": SUSPECT}, id="two that are left"
        ),
        pytest.param(
            "gi gi g g hi hi h h i",
            {"g": QUARANTINED, "h": QUARANTINED, "i": UNPROVEN},
            id="at more than those beside it",
        ),
        pytest.param(
            "b bfi bfi fih h h",
            {"b": QUARANTINED, "h": QUARANTINED},
            id="beside two that were alone elsewhere",
        ),
        pytest.param(
            "ba bfi bfi fih h h",
            {"b": QUARANTINED, "f": UNPROVEN, "h": QUARANTINED, "i": UNPROVEN},
            id="beside two, one of which was never alone",
        ),
        pytest.param(
            "g g g gi i i i", {"g": QUARANTINED, "i": QUARANTINED}, id="each three times alone"
        ),
        pytest.param("gi gi gi gi gi g", {"g": QUARANTINED}, id="always beside the same one"),
        pytest.param("gi gi gi h", {"g": UNPROVEN, "i": UNPROVEN, "h": SUSPECT}, id="apart"),
        pytest.param(". . g", {"g": SUSPECT}, id="all were cleared of two crashes"),
    ],
)
def test_who_is_to_blame(crashes: str, expected: dict[str, SuspectStatus]) -> None:
    """Each word is a server that crashed, each letter a request in flight there."""
    contents = [[ContentDigest(c) for c in word if c != "."] for word in crashes.split()]
    assert classify_requests(contents) == expected


def test_the_order_of_crashes_and_requests_makes_no_difference() -> None:
    crashes = [["g", "i"], ["i", "g"], ["g"], ["h", "i"], ["h"], ["h", "k"]]
    forward = classify_requests([[ContentDigest(c) for c in crash] for crash in crashes])
    backward = classify_requests(
        [[ContentDigest(c) for c in reversed(crash)] for crash in reversed(crashes)]
    )
    assert forward == backward


def test_the_order_of_the_verdicts_follows_from_the_requests_alone() -> None:
    """It went by the hash seed, and with it the bytes that control daemons sent and stored."""
    verdicts = classify_requests([[ContentDigest(c) for c in "hcadgbfe"]] * 2)
    assert list(verdicts) == list("abcdefgh")
