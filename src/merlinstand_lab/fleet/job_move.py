"""A job that moves from the old scripts to merlinstand and back, as `docs/ADOPTION.md` says."""

import functools
from collections.abc import Callable

import gevent
import msgspec

from merlinstand.configuration.objects import Job, JobMode
from merlinstand_lab.checkers.limits import CheckLimits
from merlinstand_lab.fleet.configuration_file import put_command
from merlinstand_lab.fleet.http import request_json
from merlinstand_lab.fleet.incidents import Incident
from merlinstand_lab.fleet.operator import OperatorClient, find_object
from merlinstand_lab.fleet.plan import FleetPlan
from merlinstand_lab.standins.trainer_feed import FeedBody, FeedName

_MOVES = (
    (4, JobMode.ACTIVE),
    (16, JobMode.MIRROR),
    (20, JobMode.ACTIVE),
)
"""After how many steps of its trainer the job moves; it begins as a mirror."""

_MOVE_TRIES = 5
"""Tries of one change of the job; chosen, not measured."""


class MoveFailedError(Exception):
    """The operator could not move the job, or the trainer did not follow."""


class JobMove:
    """The operator's and the team's work of moving one job."""

    def __init__(
        self, plan: FleetPlan, operator: OperatorClient, say: Callable[[str], None]
    ) -> None:
        """Remember what to act on."""
        self._trainer = plan.lab.trainer[0]
        self._operator = operator
        self._say = say

    def schedule(self) -> list[Incident]:
        """Return the beginning and the moves as incidents."""
        begin = Incident(0, "the old scripts feed the trainer", self._begin)
        return [begin] + [
            Incident(steps, f"the job moves to {mode.value}", functools.partial(self._move, mode))
            for steps, mode in _MOVES
        ]

    def _begin(self) -> None:
        """Let the scripts feed the trainer, as they always did."""
        self._feed(FeedName.SCRIPTS)

    def _move(self, mode: JobMode) -> None:
        """Move the job; only one side feeds the trainer at any time."""
        if mode is JobMode.ACTIVE:
            # The scripts stop feeding first; until the move the trainer is refused.
            self._feed(FeedName.COORDINATORS)
            self._set_mode(mode)
        else:
            self._set_mode(mode)
            # The scripts begin when the move is in force everywhere.
            gevent.sleep(CheckLimits().in_force_seconds)
            self._feed(FeedName.SCRIPTS)
        self._say(f"the job is {mode.value}, fed by {self._feeder(mode)}")

    @staticmethod
    def _feeder(mode: JobMode) -> str:
        """Who feeds the trainer in a mode, in words."""
        return "merlinstand" if mode is JobMode.ACTIVE else "the old scripts"

    def _set_mode(self, mode: JobMode) -> None:
        """Send what `merlinstand job move` sends: the job as it is, with another mode."""
        for _ in range(_MOVE_TRIES):
            item = find_object(self._operator, f"job/{self._trainer.job}")
            if item is None:
                continue
            job = msgspec.structs.replace(msgspec.convert(item.value, Job), mode=mode)
            command = put_command(item.key, job, expected_revision=item.revision)
            answer = self._operator.send(command)
            if answer is not None and answer.outcome.outcome == "done":
                return
        raise MoveFailedError(f"control did not move {self._trainer.job} to {mode.value}")

    def _feed(self, feed: FeedName) -> None:
        """Tell the trainer where its batches come from."""
        answer = request_json(self._trainer.address, "POST", "/lab/feed", FeedBody(feed))
        if answer is None or answer.status != 200:
            raise MoveFailedError(f"{self._trainer.node_id} did not follow to {feed.value}")


def as_mirror(command: dict[str, object]) -> dict[str, object]:
    """Return a job's `put_object` command with the job as a mirror; others are left alone."""
    if not str(command["key"]).startswith("job/"):
        return command
    job = msgspec.convert(command["object"], Job)
    mirror = msgspec.structs.replace(job, mode=JobMode.MIRROR)
    return {**command, "object": msgspec.to_builtins(mirror)}
