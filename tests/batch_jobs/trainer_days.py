"""Simulates trainers that share heterogeneous engines, with the real runner and weight loader.

    python -m tests.batch_jobs.trainer_days [SEED ...]

prints, for each seed, the share of each trainer's wanted groups that completed in time, and the
number of steps that it did not reach.
"""

import heapq
import json
import math
import random
import sys
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.kept_text import TextPart
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    CheckpointTexts,
    CloseJob,
    JobStates,
    ListResult,
)
from merlinstand.batch_jobs.weight_calls import CALL_PREFIX as WEIGHTS_PREFIX
from merlinstand.batch_jobs.weight_loader import OrderIntents, WeightLoader
from merlinstand.cluster.backends import Backend, LoadedModel
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable, Service
from merlinstand.common.ids import BackendId, CallId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import CancelCall, Effect, LogEvent, StartCall
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
)
from merlinstand_platform.engines import PlatformEngineInterface
from tests.batch_jobs.contexts import make_context
from tests.routes import make_route

STEP_INTERVAL_SECONDS = 4.0
DEADLINE_SECONDS = 7.5
FIRST_STEP_AT_SECONDS = 5.0
STEP_TIMEOUT_SECONDS = 12.0
READ_INTERVAL_SECONDS = 0.5
TRAIN_SECONDS = 0.5
LOAD_SECONDS = 0.9
TICK_SECONDS = 0.05
NETWORK_DELAY_SECONDS = 0.003
EVENT_SECONDS = 0.048
NOISE_INTERVAL_SECONDS, NOISE_SHARE, NOISE_FACTOR = 0.6, 0.15, 2.5
GROUP_SIZE = 16
LENGTH_SPREAD, TAIL_SHARE, TAIL_FACTOR, LONGEST_FACTOR, HINT_SPREAD = 0.84, 0.08, 5.0, 7.2, 0.5
TOKENS_PER_EVENT = 76
EVENT_TIME_FACTORS = (0.55, 1.2, 1.2, 1.2)
FAULT_SHARE = 0.17
SLOWDOWN_FACTOR, SLOWDOWN_SECONDS, OUTAGE_SECONDS, LEADERLESS_SECONDS = 3.5, 6.5, 4.5, 1.0


class TrainerShape(msgspec.Struct, frozen=True):
    """The work that one trainer requests at each step."""

    model: str
    groups: int
    mean_events: float


SHAPES = (
    TrainerShape("m0", 5, 9.66),
    TrainerShape("m1", 4, 20.4),
    TrainerShape("m2", 5, 20.4),
    TrainerShape("m3", 4, 15.9),
)


class _Engine(msgspec.Struct):
    backend_id: str
    event_time_factor: float
    versions: dict[str, int]
    loading: tuple[str, int] | None = None
    sequence: int = 0
    unreachable_until: float = 0.0
    slow_until: float = 0.0
    runs: dict[CallId, tuple[str, int, str]] = msgspec.field(default_factory=dict)
    """Item, next event and model by call."""


class _Step(msgspec.Struct):
    number: int
    requested_at: float
    groups: dict[str, set[str]]
    """Items without a result by group."""
    carried: frozenset[str]
    wanted: int
    completed_at: dict[str, float] = msgspec.field(default_factory=dict)


class _Trainer(msgspec.Struct):
    shape: TrainerShape
    next_step: int = 0
    version: int = 1
    open: dict[str, _Step] = msgspec.field(default_factory=dict)
    carried: list[tuple[str, list[BatchItem]]] = msgspec.field(default_factory=list)
    in_time: int = 0
    done: int = 0


class DayResult(msgspec.Struct):
    """The outcome of a simulated day."""

    seed: int
    shares: dict[str, float]
    """Wanted groups that completed in time, as a share of those of all planned steps, by model."""
    steps_missed: dict[str, int]
    ended: dict[str, int]
    """Interrupted runs by reason."""
    runs: int
    orders: int


class TrainerDay:
    """A simulated keeper, with engines and several trainers, over a number of training steps."""

    def __init__(
        self,
        seed: int,
        shapes: tuple[TrainerShape, ...] = SHAPES,
        engines: int = 23,
        slots: int = 8,
        event_time_factors: tuple[float, ...] = EVENT_TIME_FACTORS,
        steps: int = 8,
        has_faults: bool = False,
    ) -> None:
        self._has_faults = has_faults
        self._random = random.Random(seed)
        self._seed = seed
        self._steps = steps
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], list[Effect]]]] = []
        self._event_count = 0
        self._run_ends: Counter[str] = Counter()
        self._runs = 0
        self._orders = 0
        self._lengths: dict[str, int] = {}
        self._items: dict[str, BatchItem] = {}
        self.trainers = {shape.model: _Trainer(shape) for shape in shapes}
        models = tuple(self.trainers)
        self.engines = {
            f"i-{self._random.randrange(10**9):09d}": event_time_factors[
                n % len(event_time_factors)
            ]
            for n in range(engines)
        }
        self._engines = {
            name: _Engine(name, event_time_factor, dict.fromkeys(models, 1))
            for name, event_time_factor in self.engines.items()
        }
        self._noise = {name: random.Random(f"{seed}/{name}") for name in self._engines}
        self._noise_factors: dict[tuple[str, int], float] = {}
        self._build(models, slots)

    def _build(self, models: tuple[str, ...], slots: int) -> None:
        report = DaemonReport(node_id="k", name="k", role="keeper")
        follower = self.follower = DirectoryFollower((), lambda _now: report)
        route = make_route(
            RouteKind.BATCH,
            "llm",
            "/l/",
            timeout_seconds=10.0,
            maximum_attempts=3,
            result_deadline_seconds=DEADLINE_SECONDS,
        )
        service = Service(name="llm", slots=slots, models=models)
        follower.routes = RouteTable(
            RoutesDocument(version=1, routes=(route,), services=(service,))
        )
        follower.weights = dict.fromkeys(models, 1)
        follower.set_backends(
            Backend(
                backend_id=BackendId(name),
                service="llm",
                address=f"{name}:1",
                slots=slots,
                models=tuple(LoadedModel(model, 1) for model in models),
            )
            for name in self._engines
        )
        follower.backends_revision = 1
        self.jobs = JobStates()
        self._version_header = HeaderNames().weight_versions
        self._start_leader()

    def _start_leader(self) -> list[Effect]:
        """Start a leadership term, with new instances of all state that only a leader has."""
        follower = self.follower
        names = HeaderNames()
        self.states = EngineStates(follower)
        self.states.refresh()
        self.loader = self._make_loader(names)
        self.loader.begin(fence=1)
        context = make_context(
            self.jobs,
            follower,
            self.states,
            Forwarder(names, follower.backends_of),
            names,
            self._list_result,
            self._keep_texts,
        )
        context = msgspec.structs.replace(
            context, is_assigned=lambda backend, model: self.loader.is_assigned(backend, model)
        )
        self.runner = ItemRunner(context)
        self.runner.load_open_jobs(self._now)
        self._has_leader = True
        return []

    def _stop_leader(self) -> list[Effect]:
        """Stop the leader; another one starts after `LEADERLESS_SECONDS`."""
        for engine in self._engines.values():
            engine.runs.clear()
        self.runner.stop_all(self._now)
        self._has_leader = False
        self._after(LEADERLESS_SECONDS, self._start_leader)
        return []

    def _schedule_faults(self) -> None:
        """Schedule one slowdown and one outage of some engines, and one leader change."""
        draw = random.Random(f"faults/{self._seed}")
        count = max(1, round(FAULT_SHARE * len(self._engines)))
        last = STEP_INTERVAL_SECONDS * self._steps
        slow, unreachable = (draw.sample(sorted(self._engines), count) for _ in range(2))
        at = FIRST_STEP_AT_SECONDS + draw.uniform(4.0, last)
        self._schedule(at, lambda: self._slow_down(slow))
        at = FIRST_STEP_AT_SECONDS + draw.uniform(4.0, last)
        self._schedule(at, lambda: self._make_unreachable(unreachable))
        at = FIRST_STEP_AT_SECONDS + draw.uniform(4.0, last)
        self._schedule(at, self._stop_leader)

    def _slow_down(self, names: list[str]) -> list[Effect]:
        for name in names:
            self._engines[name].slow_until = self._now + SLOWDOWN_SECONDS
        return []

    def _make_unreachable(self, names: list[str]) -> list[Effect]:
        effects: list[Effect] = []
        for name in names:
            engine = self._engines[name]
            engine.unreachable_until = self._now + OUTAGE_SECONDS
            for call_id in list(engine.runs):
                del engine.runs[call_id]
                failed = CallFailed(call_id, CallPhase.BODY, "reset")
                effects.extend(self.runner.on_call(failed, self._now))
        return [*effects, *self._start_runs()]

    def _make_loader(self, names: HeaderNames) -> WeightLoader:
        return WeightLoader(
            self.follower,
            self.states,
            PlatformEngineInterface(),
            names,
            self.jobs.mean_tokens_per_job,
            OrderIntents("k", lambda _backend, _now: 0.0, self._propose_intent),
            self.jobs.recent_jobs,
        )

    def run(self) -> DayResult:
        """Run the simulation to its end."""
        for number, model in enumerate(self.trainers):
            self._schedule(
                FIRST_STEP_AT_SECONDS + 0.3 * number, lambda model=model: self._request_step(model)
            )
        self._schedule(0.0, self._tick)
        if self._has_faults:
            self._schedule_faults()
        end = FIRST_STEP_AT_SECONDS + STEP_INTERVAL_SECONDS * self._steps + DEADLINE_SECONDS
        while self._events and self._events[0][0] <= end:
            self._now, _number, action = heapq.heappop(self._events)
            self._apply_effects(action())
        due = {m: self._wanted(t.shape) * self._steps for m, t in self.trainers.items()}
        return DayResult(
            seed=self._seed,
            shares={m: t.in_time / due[m] for m, t in self.trainers.items()},
            steps_missed={m: max(0, self._steps - t.next_step) for m, t in self.trainers.items()},
            ended=dict(self._run_ends),
            runs=self._runs,
            orders=self._orders,
        )

    def _schedule(self, time: float, action: Callable[[], list[Effect]]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, action))

    def _after(self, seconds: float, action: Callable[[], list[Effect]]) -> None:
        self._schedule(self._now + seconds, action)

    def _tick(self) -> list[Effect]:
        self._after(TICK_SECONDS, self._tick)
        if not self._has_leader:
            return []
        return [*self.loader.tick(self._now), *self.runner.tick(self._now)]

    def _start_runs(self) -> list[Effect]:
        return self.runner.start_if_due(self._now) if self._has_leader else []

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case LogEvent(name="item.run_ended", fields=fields):
                    self._run_ends[str(fields["reason"])] += 1
                case StartCall() if effect.call_id.startswith(WEIGHTS_PREFIX):
                    self._after(
                        NETWORK_DELAY_SECONDS, lambda call=effect: self._on_weight_call(call)
                    )
                case StartCall():
                    self._after(NETWORK_DELAY_SECONDS, lambda call=effect: self._on_run_call(call))
                case CancelCall(call_id):
                    for engine in self._engines.values():
                        self._run_ends["cancelled"] += engine.runs.pop(call_id, None) is not None
                case _:
                    pass

    # Trainers

    def _wanted(self, shape: TrainerShape) -> int:
        return max(1, round(0.9 * shape.groups))

    def _request_step(self, model: str) -> list[Effect]:
        """Request the next step if its version is published; versions 0 and 1 always are."""
        trainer = self.trainers[model]
        step = trainer.next_step
        if step >= self._steps or step > trainer.version:
            return []
        trainer.next_step += 1
        shape = trainer.shape
        groups = trainer.carried[: self._wanted(shape) // 2]
        trainer.carried = trainer.carried[len(groups) :]
        carried = frozenset(name for name, _items in groups)
        for number in range(shape.groups - len(groups)):
            name = f"{model}-{step}-{number}"
            groups.append((name, [self._draw_item(shape, name, n) for n in range(GROUP_SIZE)]))
        job = BatchJob(
            job_id=f"{model}-{step}",
            host="h",
            path="/l/",
            items=tuple(item for _name, items in groups for item in items),
            step=step,
            model=model,
            minimum_version=max(1, step - 1),
            wanted_groups=self._wanted(shape),
        )
        held = {name: {item.item_id for item in items} for name, items in groups}
        step_request = _Step(step, self._now, held, carried, self._wanted(shape))
        trainer.open[job.job_id] = step_request
        self.jobs.apply(AcceptJob(job), self._now)
        if self._has_leader:
            self.runner.add_job(self.jobs.jobs[job.job_id], self._now)
        self._after(STEP_INTERVAL_SECONDS, lambda: self._request_step(model))
        self._after(READ_INTERVAL_SECONDS, lambda: self._read_results(model, job.job_id))
        return self._start_runs()

    def _draw_item(self, shape: TrainerShape, group: str, number: int) -> BatchItem:
        draw = self._random
        mean = math.log(shape.mean_events) - LENGTH_SPREAD**2 / 2
        events = math.exp(draw.gauss(mean, LENGTH_SPREAD))
        events *= TAIL_FACTOR if draw.random() < TAIL_SHARE else 1.0
        events = max(1.0, min(events, LONGEST_FACTOR * shape.mean_events))
        hint = events * TOKENS_PER_EVENT * math.exp(draw.gauss(0.0, HINT_SPREAD))
        item_id = f"{group}-{number}"
        self._lengths[item_id] = round(events)
        return BatchItem(
            item_id=item_id,
            path="/l/1",
            headers={"host": "h", "x-request-id": item_id},
            body=b"",
            group=group,
            maximum_tokens=1000 + round(hint),
            expected_tokens=max(1, round(hint)),
        )

    def _read_results(self, model: str, job_id: str) -> list[Effect]:
        """Read results; end the step if enough groups are complete or it timed out."""
        trainer = self.trainers[model]
        step = trainer.open[job_id]
        is_complete = len(step.completed_at) >= step.wanted and step.carried <= set(
            step.completed_at
        )
        is_over = self._now - step.requested_at >= STEP_TIMEOUT_SECONDS
        if not (is_complete or is_over):
            self._after(READ_INTERVAL_SECONDS, lambda: self._read_results(model, job_id))
            return []
        del trainer.open[job_id]
        in_time = [
            t for t in step.completed_at.values() if t - step.requested_at <= DEADLINE_SECONDS
        ]
        trainer.in_time += min(step.wanted, len(in_time))
        job = self.jobs.jobs[job_id].job
        left = [name for name in step.groups if name not in step.completed_at]
        trainer.carried = [(n, [i for i in job.items if i.group == n]) for n in left]
        effects = self.runner.end_job(job_id, self._now)
        self.jobs.apply(CloseJob(job_id), self._now)
        self._after(TRAIN_SECONDS, lambda: self._publish_version(model, step.number + 2))
        return [*effects, *self._start_runs()]

    def _publish_version(self, model: str, version: int) -> list[Effect]:
        trainer = self.trainers[model]
        trainer.version = max(trainer.version, version)
        self.follower.weights[model] = trainer.version
        requested_at = [step.requested_at for step in trainer.open.values()]
        if (
            trainer.next_step <= trainer.version
            and self._now - max(requested_at, default=-99) >= 4.0
        ):
            return self._request_step(model)
        return []

    def _list_result(self, command: ListResult, _now: float) -> list[Effect]:
        self._after(NETWORK_DELAY_SECONDS, lambda: self._on_listed(command))
        return []

    def _on_listed(self, command: ListResult) -> list[Effect]:
        self.jobs.apply(command, self._now)
        item_id = command.result.item_id
        self.runner.remove_listed(command.job_id, item_id)
        step = self.trainers[command.job_id.split("-")[0]].open.get(command.job_id)
        if step is not None:
            group = item_id.rpartition("-")[0]
            step.groups[group].discard(item_id)
            if not step.groups[group]:
                step.completed_at.setdefault(group, self._now)
        return self._start_runs()

    def _keep_texts(self, parts: tuple[TextPart, ...], _now: float) -> list[Effect]:
        self._after(NETWORK_DELAY_SECONDS, lambda: self._on_texts_stored(parts))
        return []

    def _on_texts_stored(self, parts: tuple[TextPart, ...]) -> list[Effect]:
        self.jobs.apply(CheckpointTexts(parts), self._now)
        return []

    # Engines

    def _propose_intent(self, backend_id: BackendId, _now: float) -> list[Effect]:
        self._after(
            NETWORK_DELAY_SECONDS,
            lambda: self.loader.on_intent_committed(backend_id, True, self._now),
        )
        return []

    def _on_weight_call(self, call: StartCall) -> list[Effect]:
        engine = self._engines[call.call_id.split(":", 3)[3]]
        if engine.unreachable_until > self._now:
            failed = CallFailed(call.call_id, CallPhase.CONNECT, "refused")
            return self.loader.on_call(failed, True, self._now)
        status, body = 200, b""
        if call.body:
            order = json.loads(call.body)
            status = 409 if engine.loading else 202
            if status == 202:
                self._orders += 1
                engine.loading = (order["Model"], order["Version"])
                engine.sequence += 1
                self._after(LOAD_SECONDS, lambda: self._finish_load(engine))
        else:
            models = [{"Name": m, "Version": v} for m, v in engine.versions.items()]
            held = {"Seq": engine.sequence, "InFlight": engine.loading is not None}
            body = json.dumps({**held, "Models": models}).encode()
        response = CallResponded(call.call_id, status, {}, body)
        return self.loader.on_call(response, True, self._now)

    def _finish_load(self, engine: _Engine) -> list[Effect]:
        assert engine.loading is not None
        model, version = engine.loading
        engine.versions[model] = version
        engine.loading = None
        return []

    def _on_run_call(self, call: StartCall) -> list[Effect]:
        engine = self._engines[call.address.removesuffix(":1")]
        item_id = call.headers["x-request-id"]
        model = item_id.split("-")[0]
        first = int(call.headers.get("last-event-id", "0")) + 1
        self._runs += 1
        if engine.unreachable_until > self._now:
            failed = CallFailed(call.call_id, CallPhase.CONNECT, "refused")
            return [*self.runner.on_call(failed, self._now), *self._start_runs()]
        if engine.loading and engine.loading[0] == model:
            refused = CallHeaders(call.call_id, 503, {HeaderNames().not_run: "1"})
            return [*self.runner.on_call(refused, self._now), *self._start_runs()]
        engine.runs[call.call_id] = (item_id, first, model)
        self._after(self._event_seconds(engine), lambda: self._on_event(engine, call.call_id))
        head = CallHeaders(call.call_id, 200, {self._version_header: str(engine.versions[model])})
        return self.runner.on_call(head, self._now)

    def _event_seconds(self, engine: _Engine) -> float:
        """Return the time of one event; shared machines are randomly slower for short intervals."""
        key = (engine.backend_id, int(self._now / NOISE_INTERVAL_SECONDS))
        if key not in self._noise_factors:
            is_slow = self._noise[engine.backend_id].random() < NOISE_SHARE
            self._noise_factors[key] = NOISE_FACTOR if is_slow else 1.0
        slow = SLOWDOWN_FACTOR if engine.slow_until > self._now else 1.0
        return EVENT_SECONDS * engine.event_time_factor * self._noise_factors[key] * slow

    def _on_event(self, engine: _Engine, call_id: CallId) -> list[Effect]:
        run = engine.runs.get(call_id)
        if run is None:
            return []
        item_id, number, model = run
        if engine.loading and engine.loading[0] == model:
            self._after(EVENT_SECONDS, lambda: self._on_event(engine, call_id))
            return []
        data = f"{self._version_header}: {engine.versions[model]}\nid: {number}\ndata: x\n\n"
        effects = self.runner.on_call(CallChunk(call_id, data.encode()), self._now)
        if number >= self._lengths[item_id]:
            engine.runs.pop(call_id, None)
            ended = self.runner.on_call(CallEnded(call_id), self._now)
            return [*effects, *ended, *self._start_runs()]
        if call_id in engine.runs:
            engine.runs[call_id] = (item_id, number + 1, model)
            self._after(self._event_seconds(engine), lambda: self._on_event(engine, call_id))
        return effects


def run_day(seed: int) -> DayResult:
    """Run the default simulation with a seed; a negative seed adds faults."""
    return TrainerDay(abs(seed), has_faults=seed < 0).run()


def main(seeds: list[int]) -> None:
    """Run one simulation per seed and print the outcomes."""
    with ProcessPoolExecutor(3) as pool:
        results = list(pool.map(run_day, seeds))
    for day in results:
        shares = " ".join(f"{share:.3f}" for share in day.shares.values())
        missed = " ".join(str(count) for count in day.steps_missed.values())
        print(f"{day.seed:4d}  {shares}  missed {missed}  {day.runs} {day.orders} {day.ended}")
    worst = [min(day.shares.values()) for day in results]
    mean = [sum(day.shares.values()) / len(day.shares) for day in results]
    count = len(results)
    missed_steps = sum(sum(day.steps_missed.values()) for day in results)
    print(f"worst {sum(worst) / count:.3f}, mean {sum(mean) / count:.3f}, missed {missed_steps}")


if __name__ == "__main__":
    main([int(text) for text in sys.argv[1:]] or list(range(1, 11)))
