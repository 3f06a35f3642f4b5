"""Trainers that share uneven engines, in virtual time: the real runner and loader, drawn engines.

    python -m tests.batch_jobs.trainer_days [SEED ...]

prints, for each seed, the share of each trainer's wanted groups that were whole in time, and the
steps that it never reached.
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
    CloseJob,
    JobStates,
    KeepTexts,
    ListResult,
)
from merlinstand.batch_jobs.weight_calls import CALL_PREFIX as WEIGHTS_PREFIX
from merlinstand.batch_jobs.weight_loader import OrderLeases, WeightLoader
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

STEP_SECONDS = 4.0
DUE_SECONDS = 7.5
FIRST_STEP_SECONDS = 5.0
GIVE_UP_SECONDS = 12.0
READ_SECONDS = 0.5
TRAIN_SECONDS = 0.5
LOAD_SECONDS = 0.9
TICK_SECONDS = 0.05
LINK_SECONDS = 0.003
EVENT_SECONDS = 0.048
NOISE_SECONDS, NOISE_SHARE, NOISE_FACTOR = 0.6, 0.15, 2.5
GROUP_SIZE = 16
LENGTH_SPREAD, TAIL_SHARE, TAIL_FACTOR, LONGEST_FACTOR, HINT_SPREAD = 0.84, 0.08, 5.0, 7.2, 0.5
TOKENS_AN_EVENT = 76
SPEEDS = (0.55, 1.2, 1.2, 1.2)
FAULT_SHARE = 0.17
SLOW_FACTOR, SLOW_SECONDS, DARK_SECONDS, LEADERLESS_SECONDS = 3.5, 6.5, 4.5, 1.0


class TrainerShape(msgspec.Struct, frozen=True):
    """What one trainer asks for at each step."""

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
    speed: float
    versions: dict[str, int]
    loading: tuple[str, int] | None = None
    sequence: int = 0
    dark_until: float = 0.0
    slow_until: float = 0.0
    runs: dict[CallId, tuple[str, int, str]] = msgspec.field(default_factory=dict)
    """Item, next event and model by call."""


class _Step(msgspec.Struct):
    number: int
    asked_at: float
    groups: dict[str, set[str]]
    """Items without a result by group."""
    carried: frozenset[str]
    wanted: int
    whole_at: dict[str, float] = msgspec.field(default_factory=dict)


class _Trainer(msgspec.Struct):
    shape: TrainerShape
    next_step: int = 0
    version: int = 1
    open: dict[str, _Step] = msgspec.field(default_factory=dict)
    carried: list[tuple[str, list[BatchItem]]] = msgspec.field(default_factory=list)
    in_time: int = 0
    done: int = 0


class DayResult(msgspec.Struct):
    """What became of a day."""

    seed: int
    shares: dict[str, float]
    """Wanted groups that were whole in time, of all that the day had time for, by model."""
    steps_missed: dict[str, int]
    ended: dict[str, int]
    """Runs that were cut, by reason."""
    runs: int
    orders: int


class TrainerDay:
    """One leadership of a keeper over some steps of several trainers."""

    def __init__(
        self,
        seed: int,
        shapes: tuple[TrainerShape, ...] = SHAPES,
        engines: int = 23,
        slots: int = 8,
        speeds: tuple[float, ...] = SPEEDS,
        steps: int = 8,
        has_faults: bool = False,
    ) -> None:
        self._has_faults = has_faults
        self._random = random.Random(seed)
        self._seed = seed
        self._steps = steps
        self._now = 0.0
        self._queue: list[tuple[float, int, Callable[[], list[Effect]]]] = []
        self._count = 0
        self._ended: Counter[str] = Counter()
        self._runs = 0
        self._orders = 0
        self._lengths: dict[str, int] = {}
        self._items: dict[str, BatchItem] = {}
        self.trainers = {shape.model: _Trainer(shape) for shape in shapes}
        models = tuple(self.trainers)
        self.engines = {
            f"i-{self._random.randrange(10**9):09d}": speeds[n % len(speeds)]
            for n in range(engines)
        }
        self._engines = {
            name: _Engine(name, speed, dict.fromkeys(models, 1))
            for name, speed in self.engines.items()
        }
        self._noise = {name: random.Random(f"{seed}/{name}") for name in self._engines}
        self._pace: dict[tuple[str, int], float] = {}
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
            result_deadline_seconds=DUE_SECONDS,
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
        self._lead()

    def _lead(self) -> list[Effect]:
        """A leadership begins: all that a leader holds for itself is new."""
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
            Forwarder(names, follower.snapshot_of),
            names,
            self._list,
            self._keep_texts,
        )
        context = msgspec.structs.replace(
            context, follows=lambda backend, model: self.loader.is_assigned(backend, model)
        )
        self.runner = ItemRunner(context)
        self.runner.begin(self._now)
        self._is_led = True
        return []

    def _lose_leader(self) -> list[Effect]:
        """The leader is gone; another one begins a moment later."""
        for engine in self._engines.values():
            engine.runs.clear()
        self.runner.end(self._now)
        self._is_led = False
        self._in(LEADERLESS_SECONDS, self._lead)
        return []

    def _draw_faults(self) -> None:
        """Some engines turn slow, some go dark for a while, the leader changes; one of each."""
        draw = random.Random(f"faults/{self._seed}")
        count = max(1, round(FAULT_SHARE * len(self._engines)))
        last = STEP_SECONDS * self._steps
        slow, dark = (draw.sample(sorted(self._engines), count) for _ in range(2))
        at = FIRST_STEP_SECONDS + draw.uniform(4.0, last)
        self._at(at, lambda: self._turn_slow(slow))
        at = FIRST_STEP_SECONDS + draw.uniform(4.0, last)
        self._at(at, lambda: self._turn_dark(dark))
        at = FIRST_STEP_SECONDS + draw.uniform(4.0, last)
        self._at(at, self._lose_leader)

    def _turn_slow(self, names: list[str]) -> list[Effect]:
        for name in names:
            self._engines[name].slow_until = self._now + SLOW_SECONDS
        return []

    def _turn_dark(self, names: list[str]) -> list[Effect]:
        effects: list[Effect] = []
        for name in names:
            engine = self._engines[name]
            engine.dark_until = self._now + DARK_SECONDS
            for call_id in list(engine.runs):
                del engine.runs[call_id]
                failed = CallFailed(call_id, CallPhase.BODY, "reset")
                effects.extend(self.runner.on_call(failed, self._now))
        return [*effects, *self._work()]

    def _make_loader(self, names: HeaderNames) -> WeightLoader:
        return WeightLoader(
            self.follower,
            self.states,
            PlatformEngineInterface(),
            names,
            self.jobs.recent_tokens,
            OrderLeases("k", lambda _backend, _now: 0.0, self._note_order),
            self.jobs.recent_jobs,
        )

    def play(self) -> DayResult:
        """Play the day to its end."""
        for number, model in enumerate(self.trainers):
            self._at(FIRST_STEP_SECONDS + 0.3 * number, lambda model=model: self._ask(model))
        self._at(0.0, self._tick)
        if self._has_faults:
            self._draw_faults()
        end = FIRST_STEP_SECONDS + STEP_SECONDS * self._steps + DUE_SECONDS
        while self._queue and self._queue[0][0] <= end:
            self._now, _number, action = heapq.heappop(self._queue)
            self._act(action())
        due = {m: self._wanted(t.shape) * self._steps for m, t in self.trainers.items()}
        return DayResult(
            seed=self._seed,
            shares={m: t.in_time / due[m] for m, t in self.trainers.items()},
            steps_missed={m: max(0, self._steps - t.next_step) for m, t in self.trainers.items()},
            ended=dict(self._ended),
            runs=self._runs,
            orders=self._orders,
        )

    def _at(self, time: float, action: Callable[[], list[Effect]]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (time, self._count, action))

    def _in(self, seconds: float, action: Callable[[], list[Effect]]) -> None:
        self._at(self._now + seconds, action)

    def _tick(self) -> list[Effect]:
        self._in(TICK_SECONDS, self._tick)
        if not self._is_led:
            return []
        return [*self.loader.tick(self._now), *self.runner.tick(self._now)]

    def _work(self) -> list[Effect]:
        return self.runner.start_if_due(self._now) if self._is_led else []

    def _act(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case LogEvent(name="item.run_ended", fields=fields):
                    self._ended[str(fields["reason"])] += 1
                case StartCall() if effect.call_id.startswith(WEIGHTS_PREFIX):
                    self._in(LINK_SECONDS, lambda call=effect: self._weight_call(call))
                case StartCall():
                    self._in(LINK_SECONDS, lambda call=effect: self._begin_run(call))
                case CancelCall(call_id):
                    for engine in self._engines.values():
                        self._ended["cancelled"] += engine.runs.pop(call_id, None) is not None
                case _:
                    pass

    # Trainers

    def _wanted(self, shape: TrainerShape) -> int:
        return max(1, round(0.9 * shape.groups))

    def _ask(self, model: str) -> list[Effect]:
        """Ask for the next step once its version is named; versions 0 and 1 are there."""
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
            groups.append((name, [self._draw(shape, name, n) for n in range(GROUP_SIZE)]))
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
        asked = _Step(step, self._now, held, carried, self._wanted(shape))
        trainer.open[job.job_id] = asked
        self.jobs.apply(AcceptJob(job), self._now)
        if self._is_led:
            self.runner.add_job(self.jobs.jobs[job.job_id], self._now)
        self._in(STEP_SECONDS, lambda: self._ask(model))
        self._in(READ_SECONDS, lambda: self._read(model, job.job_id))
        return self._work()

    def _draw(self, shape: TrainerShape, group: str, number: int) -> BatchItem:
        draw = self._random
        mean = math.log(shape.mean_events) - LENGTH_SPREAD**2 / 2
        events = math.exp(draw.gauss(mean, LENGTH_SPREAD))
        events *= TAIL_FACTOR if draw.random() < TAIL_SHARE else 1.0
        events = max(1.0, min(events, LONGEST_FACTOR * shape.mean_events))
        hint = events * TOKENS_AN_EVENT * math.exp(draw.gauss(0.0, HINT_SPREAD))
        item_id = f"{group}-{number}"
        self._lengths[item_id] = round(events)
        return BatchItem(
            item_id=item_id,
            path="/l/1",
            headers={"host": "h", "x-request-id": item_id},
            body=b"",
            group=group,
            tokens=1000 + round(hint),
            expected_tokens=max(1, round(hint)),
        )

    def _read(self, model: str, job_id: str) -> list[Effect]:
        """The trainer reads; it ends a step with enough whole groups, or whose time is over."""
        trainer = self.trainers[model]
        step = trainer.open[job_id]
        is_whole = len(step.whole_at) >= step.wanted and step.carried <= set(step.whole_at)
        is_over = self._now - step.asked_at >= GIVE_UP_SECONDS
        if not (is_whole or is_over):
            self._in(READ_SECONDS, lambda: self._read(model, job_id))
            return []
        del trainer.open[job_id]
        in_time = [t for t in step.whole_at.values() if t - step.asked_at <= DUE_SECONDS]
        trainer.in_time += min(step.wanted, len(in_time))
        job = self.jobs.jobs[job_id].job
        left = [name for name in step.groups if name not in step.whole_at]
        trainer.carried = [(n, [i for i in job.items if i.group == n]) for n in left]
        effects = self.runner.end_job(job_id, self._now)
        self.jobs.apply(CloseJob(job_id), self._now)
        self._in(TRAIN_SECONDS, lambda: self._name(model, step.number + 2))
        return [*effects, *self._work()]

    def _name(self, model: str, version: int) -> list[Effect]:
        trainer = self.trainers[model]
        trainer.version = max(trainer.version, version)
        self.follower.weights[model] = trainer.version
        asked_at = [step.asked_at for step in trainer.open.values()]
        if trainer.next_step <= trainer.version and self._now - max(asked_at, default=-99) >= 4.0:
            return self._ask(model)
        return []

    def _list(self, command: ListResult, _now: float) -> list[Effect]:
        self._in(LINK_SECONDS, lambda: self._listed(command))
        return []

    def _listed(self, command: ListResult) -> list[Effect]:
        self.jobs.apply(command, self._now)
        item_id = command.result.item_id
        self.runner.listed(command.job_id, item_id)
        step = self.trainers[command.job_id.split("-")[0]].open.get(command.job_id)
        if step is not None:
            group = item_id.rpartition("-")[0]
            step.groups[group].discard(item_id)
            if not step.groups[group]:
                step.whole_at.setdefault(group, self._now)
        return self._work()

    def _keep_texts(self, parts: tuple[TextPart, ...], _now: float) -> list[Effect]:
        self._in(LINK_SECONDS, lambda: self._kept(parts))
        return []

    def _kept(self, parts: tuple[TextPart, ...]) -> list[Effect]:
        self.jobs.apply(KeepTexts(parts), self._now)
        return []

    # Engines

    def _note_order(self, backend_id: BackendId, _now: float) -> list[Effect]:
        self._in(LINK_SECONDS, lambda: self.loader.on_order_committed(backend_id, True, self._now))
        return []

    def _weight_call(self, call: StartCall) -> list[Effect]:
        engine = self._engines[call.call_id.split(":", 3)[3]]
        if engine.dark_until > self._now:
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
                self._in(LOAD_SECONDS, lambda: self._loaded(engine))
        else:
            models = [{"Name": m, "Version": v} for m, v in engine.versions.items()]
            held = {"Seq": engine.sequence, "InFlight": engine.loading is not None}
            body = json.dumps({**held, "Models": models}).encode()
        answer = CallResponded(call.call_id, status, {}, body)
        return self.loader.on_call(answer, True, self._now)

    def _loaded(self, engine: _Engine) -> list[Effect]:
        assert engine.loading is not None
        model, version = engine.loading
        engine.versions[model] = version
        engine.loading = None
        return []

    def _begin_run(self, call: StartCall) -> list[Effect]:
        engine = self._engines[call.address.removesuffix(":1")]
        item_id = call.headers["x-request-id"]
        model = item_id.split("-")[0]
        first = int(call.headers.get("last-event-id", "0")) + 1
        self._runs += 1
        if engine.dark_until > self._now:
            failed = CallFailed(call.call_id, CallPhase.CONNECT, "refused")
            return [*self.runner.on_call(failed, self._now), *self._work()]
        if engine.loading and engine.loading[0] == model:
            refused = CallHeaders(call.call_id, 503, {HeaderNames().not_run: "1"})
            return [*self.runner.on_call(refused, self._now), *self._work()]
        engine.runs[call.call_id] = (item_id, first, model)
        self._in(self._event_seconds(engine), lambda: self._event(engine, call.call_id))
        head = CallHeaders(call.call_id, 200, {self._version_header: str(engine.versions[model])})
        return self.runner.on_call(head, self._now)

    def _event_seconds(self, engine: _Engine) -> float:
        """Time of one event: a machine that is shared is slow now and then."""
        key = (engine.backend_id, int(self._now / NOISE_SECONDS))
        if key not in self._pace:
            is_slow = self._noise[engine.backend_id].random() < NOISE_SHARE
            self._pace[key] = NOISE_FACTOR if is_slow else 1.0
        slow = SLOW_FACTOR if engine.slow_until > self._now else 1.0
        return EVENT_SECONDS * engine.speed * self._pace[key] * slow

    def _event(self, engine: _Engine, call_id: CallId) -> list[Effect]:
        run = engine.runs.get(call_id)
        if run is None:
            return []
        item_id, number, model = run
        if engine.loading and engine.loading[0] == model:
            self._in(EVENT_SECONDS, lambda: self._event(engine, call_id))
            return []
        data = f"{self._version_header}: {engine.versions[model]}\nid: {number}\ndata: x\n\n"
        effects = self.runner.on_call(CallChunk(call_id, data.encode()), self._now)
        if number >= self._lengths[item_id]:
            engine.runs.pop(call_id, None)
            ended = self.runner.on_call(CallEnded(call_id), self._now)
            return [*effects, *ended, *self._work()]
        if call_id in engine.runs:
            engine.runs[call_id] = (item_id, number + 1, model)
            self._in(self._event_seconds(engine), lambda: self._event(engine, call_id))
        return effects


def play_day(seed: int) -> DayResult:
    """Play the usual day of a seed; one with a negative seed has faults."""
    return TrainerDay(abs(seed), has_faults=seed < 0).play()


def main(seeds: list[int]) -> None:
    """Play days and print what became of them."""
    with ProcessPoolExecutor(3) as pool:
        results = list(pool.map(play_day, seeds))
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
