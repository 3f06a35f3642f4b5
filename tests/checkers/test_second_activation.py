"""An engine that goes back may serve a version twice."""

import msgspec

from merlinstand_lab.checkers.versions import check_versions
from merlinstand_lab.records.record_set import RecordSet

from .clean_run import ENGINE


def test_a_sample_of_the_first_time_is_true_after_the_second(records: RecordSet) -> None:
    (first,) = [one for one in records.activations if one.version == 1]
    again = msgspec.structs.replace(first, activated_at=first.activated_at + 40.0)
    records.add(f"versions-{ENGINE}", again)
    assert check_versions(records).violations == []
