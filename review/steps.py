"""A trainer's steps, and the rule LOST for them (RULES.md, "Batch jobs").

A step of a trainer is one batch job. The trainer reads its results until enough groups are whole or
its deadline has come, then ends it. `check_step` judges by what the servers recorded and by what
the trainer read.
"""

import base64
import json
import time

from fleet import CannotRunError, Fleet, call

HOST = "ficu95.example"
MODEL = "daka510000"
STEP_LIMIT_SECONDS = 12.0
"""The trainer's deadline (sheet: deadline ms 12,000)."""
IDLE_BOUND_SECONDS = 5.0
VERSION_BOUND_SECONDS = 6.0
READ_SECONDS = 0.4
CONFIG = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r-rollout",
            "Host": HOST,
            "PathPrefix": "/pule252/",
            "Type": "rollout",
            "TimeoutMs": 10000,
            "TargetLatencyMs": 400,
            "ResultDeadlineMs": 7500,
            "Priority": 1,
            "Service": "blurb-llm",
            "MaxAttempts": 3,
            "MaxQueueS": 60,
        },
        {
            "Name": "r-sync",
            "Host": HOST,
            "PathPrefix": "/pufi791/",
            "Type": "idempotent",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 199,
            "Priority": 2,
            "Service": "shop-api",
            "MaxAttempts": 4,
        },
    ],
    "Services": [
        {
            "Name": "blurb-llm",
            "HealthPath": "/healthz",
            "MaxConns": 150,
            "Protocol": "h1",
            "Tls": False,
            "Engine": {"Slots": 8, "Models": [{"Name": MODEL}]},
        },
        {
            "Name": "shop-api",
            "HealthPath": "/healthz",
            "MaxConns": 110,
            "Protocol": "h1",
            "Tls": False,
        },
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 33554432,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


def make_item(group: str, number: int, events: int) -> dict:
    """Return one item of a batch job; its server makes this many events."""
    item_id = f"{group}x{number}"
    return {
        "Id": item_id,
        "Path": f"/pule252/{group}/{number}",
        "Headers": {
            "X-Model": MODEL,
            "X-Token-Count": f"270,{events * 10}",
            "X-Prompt-Prefix": f"{group}:255,{item_id}:16",
        },
        "Body": base64.b64encode(f"prompt of {item_id}".encode()).decode(),
        "Tokens": 270 + events * 10,
        "Group": group,
        "ScoringUrl": {
            "Id": f"reward-{item_id}",
            "Host": HOST,
            "Path": f"/pufi791/{item_id}",
            "Body": base64.b64encode(f"score {item_id}".encode()).decode(),
        },
    }


class Step:
    """One step of the trainer: a batch job, read until enough groups are whole or time is up."""

    def __init__(
        self, fleet: Fleet, number: int, groups: dict[str, list[dict]], carried: set[str]
    ) -> None:
        self.fleet = fleet
        self.number = number
        self.job = f"7c41e09b52d6a3f{number}"
        self.groups = groups
        self.carried = carried
        self.desired = -(-len(groups) * 9 // 10)
        self.results: list[dict] = []
        self.submitted_at = 0.0
        self.ended_at = 0.0
        self.is_timed_out = False

    def run(self) -> None:
        """Submit the job, read its results and end it."""
        body = {
            "Step": self.number,
            "Model": MODEL,
            "MinVersion": max(1, self.number),
            "Desired": self.desired,
            "Requests": [item for items in self.groups.values() for item in items],
        }
        self.submitted_at = time.monotonic()
        self._call_until("POST", "/pule252/7c41e0", json.dumps(body).encode(), (202,), self.job)
        self.fleet.write(f"client step {self.number} accepted job={self.job}")
        while not self._has_enough():
            if time.monotonic() - self.submitted_at > STEP_LIMIT_SECONDS:
                self.is_timed_out = True
                break
            time.sleep(READ_SECONDS)
            self._read()
        self.ended_at = time.monotonic()
        self._call_until("DELETE", f"/lots/{self.job}", b"", (200,), f"end-{self.number}")
        verdict = "timed out" if self.is_timed_out else "complete"
        seconds = self.ended_at - self.submitted_at
        missing = sorted(self.missing())
        self.fleet.write(
            f"step {self.number} {verdict} after {seconds:.1f} s: "
            f"{len(self.results)} of {len(self.items())} items listed, missing {missing}"
        )

    def items(self) -> set[str]:
        """Return the ids of the step's items."""
        return {item["Id"] for items in self.groups.values() for item in items}

    def missing(self) -> set[str]:
        """Return the items without a listed result."""
        return self.items() - {result["Id"] for result in self.results}

    def whole_groups(self) -> set[str]:
        """Return the groups of which every item is listed."""
        missing = self.missing()
        return {g for g, items in self.groups.items() if not missing & {i["Id"] for i in items}}

    def _has_enough(self) -> bool:
        whole = self.whole_groups()
        return len(whole) >= self.desired and self.carried <= whole

    def _read(self) -> None:
        path = f"/lots/{self.job}?After={len(self.results)}"
        answer = self._call("GET", path, b"", f"read-{time.monotonic_ns()}")
        if answer is None or answer[0] != 200:
            return
        for result in json.loads(answer[2])["Results"]:
            self.results.append(result)
            self.fleet.write(
                f"client step {self.number} reads position={len(self.results) - 1} "
                f"id={result['Id']} state={result['State']}"
            )

    def _call_until(self, method: str, path: str, body: bytes, good: tuple, call_id: str) -> None:
        for _ in range(40):
            answer = self._call(method, path, body, call_id)
            if answer is not None and answer[0] in good:
                return
            time.sleep(0.3)
        raise CannotRunError(f"{method} {path} gets no {good}")

    def _call(self, method: str, path: str, body: bytes, call_id: str) -> tuple | None:
        gateways = self.fleet.gateways
        front = gateways[time.monotonic_ns() % len(gateways)].front
        headers = {"Host": HOST, "X-Request-Id": call_id, "Content-Type": "application/json"}
        return call(front, method, path, headers, body, 2.5)


def run_spans(records: list[dict]) -> list[tuple[str, float, float, str]]:
    """Return each run of an item at an engine: its id, its begin, its end and the server.

    A run ends when the server ran it whole or saw its caller leave; one that a crash ended counts
    until the server's next start.
    """
    starts = [r for r in records if r["event"] == "start"]
    address_of = {r["server"]: r["address"] for r in starts}
    spans = []
    for index, run in enumerate(records):
        if run["event"] != "run" or "first" not in run:
            continue
        ends = [
            r["at"]
            for r in records[index + 1 :]
            if r["event"] in ("ran", "dropped")
            and (r["server"], r["id"]) == (run["server"], run["id"])
        ]
        address = address_of[run["server"]]
        ends += [r["at"] for r in starts if r["address"] == address and r["at"] > run["at"]]
        spans.append((run["id"], run["at"], min(ends, default=float("inf")), run["server"]))
    return spans


def longest_idle(records: list[dict], item_id: str, begin: float, end: float) -> float:
    """Return the longest time between `begin` and `end` in which an item is at no server."""
    longest, cursor = 0.0, begin
    for run_id, run_begin, run_end, _server in sorted(run_spans(records), key=lambda span: span[1]):
        if run_id == item_id and run_end > cursor and run_begin < end:
            longest = max(longest, run_begin - cursor)
            cursor = run_end
    return max(longest, end - cursor)


def most_at_once(records: list[dict], begin: float, end: float) -> int:
    """Return the largest number of items that the engines ran at once between two times."""
    spans = [(a, b) for _id, a, b, _server in run_spans(records) if b > begin and a < end]
    moments = [begin, *(a for a, _b in spans if a > begin)]
    return max(sum(a <= moment < b for a, b in spans) for moment in moments)


def check_step(
    fleet: Fleet, step: Step, slots: int, calm_from: float, named_at: list[float]
) -> bool:
    """Return whether the rule is broken by a step, and write why.

    Args:
        fleet: The deployment, for what the servers recorded.
        step: The step, after its end.
        slots: Slots of all engines.
        calm_from: When steady state began.
        named_at: When versions were named.
    """
    if not step.is_timed_out:
        return False
    records = fleet.server_records()
    begin, end = max(step.submitted_at, calm_from), step.ended_at
    quiet_from = end - IDLE_BOUND_SECONDS - VERSION_BOUND_SECONDS
    if any(quiet_from <= at <= end for at in named_at):
        fleet.write(f"step {step.number}: a version was named in the last 11 s, not judged")
        return False
    own = step.items()
    begun = {r["id"] for r in records if r["event"] == "run" and step.submitted_at < r["at"] < end}
    most = most_at_once(records, end - IDLE_BOUND_SECONDS, end)
    broken = False
    for item_id in sorted(step.missing()):
        longest = longest_idle(records, item_id, begin, end)
        others = len((begun & own) - {item_id})
        fleet.write(
            f"step {step.number}: item {item_id} was at no server for {longest:.1f} s of steady "
            f"state; {others} other items of the step had begun; in the last 5 s the engines ran "
            f"{most} of {slots} at once"
        )
        broken |= longest >= IDLE_BOUND_SECONDS and others > 0 and most < slots / 2
    return broken
