"""The route of an item is found by its own host header, otherwise by its job's host."""

from types import SimpleNamespace
from typing import Any

import pytest

from merlinstand.batch_calls.jobs import BatchItem
from merlinstand.batch_jobs.item_request import ItemRequests
from merlinstand.batch_jobs.item_run import ItemRun
from merlinstand.cluster.header_names import HeaderNames


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        pytest.param({}, "job.example", id="no host header"),
        pytest.param({"host": "item.example"}, "item.example", id="host header"),
        pytest.param({"host": ""}, "", id="empty host header"),
    ],
)
def test_the_route_is_found_by_the_host_of_the_item_or_job(
    headers: dict[str, str], expected: str
) -> None:
    lookups: list[tuple[str, str]] = []
    routes = SimpleNamespace(find=lambda host, path: lookups.append((host, path)))
    jobs: Any = SimpleNamespace(
        jobs={"j": SimpleNamespace(job=SimpleNamespace(host="job.example"))}
    )
    follower: Any = SimpleNamespace(routes=routes)
    item = BatchItem(item_id="i", path="/llm/?q=1", headers=headers, body=b"")
    requests = ItemRequests(jobs, follower, HeaderNames())
    requests.route_of(ItemRun("j", item))
    assert lookups == [(expected, "/llm/")]
