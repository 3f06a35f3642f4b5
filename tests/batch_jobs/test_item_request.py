"""Which route an item takes: by the host that it names, else by its job's."""

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
        pytest.param({}, "job.example", id="none named"),
        pytest.param({"host": "item.example"}, "item.example", id="its own"),
        pytest.param({"host": ""}, "", id="an empty one is its own"),
    ],
)
def test_the_host_by_which_the_route_is_found(headers: dict[str, str], expected: str) -> None:
    asked: list[tuple[str, str]] = []
    routes = SimpleNamespace(find=lambda host, path: asked.append((host, path)))
    jobs: Any = SimpleNamespace(
        jobs={"j": SimpleNamespace(job=SimpleNamespace(host="job.example"))}
    )
    follower: Any = SimpleNamespace(routes=routes)
    item = BatchItem(item_id="i", path="/llm/?q=1", headers=headers, body=b"")
    requests = ItemRequests(jobs, follower, HeaderNames())
    requests.route_of(ItemRun("j", item))
    assert asked == [(expected, "/llm/")]
