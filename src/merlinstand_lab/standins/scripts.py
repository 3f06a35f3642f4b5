"""The baseline: a scheduler that does what teams' own scripts do.

Synchronous steps: when the trainer asks for a batch, the script first swaps every engine to the
trainer's version, then sends the whole batch round robin, waits for the last sample and
answers. A failed request is begun again from its prompt on the next engine. Nothing is
generated ahead, nothing is resumed, no load report is read.

A team that moves in has it running beside merlinstand, for the same job: its own names for
samples keep the two sides' samples apart. It serves the trainers' contract of
`docs/INTERFACES.md`, so that the same trainer stand-in and the same records measure it.
"""

from collections.abc import Sequence

import msgspec
import xxhash

from merlinstand.common.ids import CallId, RequestId
from merlinstand.kernel.effects import Effect, Respond, SetTimer, StartCall, StopProcess
from merlinstand.kernel.events import (
    CallFailed,
    CallResponded,
    Event,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_messages import CompletionAnswer, CompletionBody
from merlinstand_lab.standins.scripts_swap import ScriptsSwap
from merlinstand_lab.standins.settings import ScriptsSettings
from merlinstand_lab.standins.trainer_messages import (
    PullBody,
    PulledBatch,
    PulledSample,
    PullRefusal,
)

SEED_MASK = 0x7FFF_FFFF
"""Seeds have 31 bits, as the coordinator's."""
POLL_SECONDS = 0.1
"""Seconds that a trainer is told to wait; chosen, not measured."""
RETRY_SECONDS = 0.5
"""Seconds; chosen, not measured."""
PATIENCE_SECONDS = 2.0
"""A trainer that has not asked for so long is fed by somebody else, who orders the engines."""
_RETRY_PREFIX = "scripts.retry."
_GENERATION_PREFIX = "generation."


class _Slot(msgspec.Struct):
    """One sample of the batch being generated."""

    slot: int
    engine: int
    sample: PulledSample | None = None


class _Step(msgspec.Struct):
    """One synchronous step of one consumer."""

    batch: int
    version: int
    slots: dict[int, _Slot]

    @property
    def is_complete(self) -> bool:
        """Whether every sample has come."""
        return all(slot.sample is not None for slot in self.slots.values())


class Scripts:
    """Reducer of the script; one job, any number of consumers, one step at a time each."""

    def __init__(self, settings: ScriptsSettings) -> None:
        """Keep the settings."""
        self._settings = settings
        self._swap = ScriptsSwap(settings.model, settings.engines, settings.weight_store)
        self._steps: dict[str, _Step] = {}
        self._next_slot = 0
        self._next_engine = 0
        self._calls: dict[CallId, _Slot] = {}
        self._call_count = 0
        self._asked_at = 0.0

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Wait for the trainer."""
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        match event:
            case RequestReceived():
                return self._request(event, now)
            case CallResponded() | CallFailed() if self._swap.handles(event.call_id):
                return [*self._swap.answered(event), *self._begin_ready_steps()]
            case CallResponded() | CallFailed():
                return self._generated(event)
            case TimerFired(name=name) if name.startswith(_RETRY_PREFIX):
                return self._retry(int(name.removeprefix(_RETRY_PREFIX)))
            case TimerFired():
                if now - self._asked_at > PATIENCE_SECONDS:
                    self._swap.abandon()
                return self._swap.timer_fired(event.name)
            case StopRequested():
                return (StopProcess(),)
            case _:
                return ()

    # --- the trainer's endpoint ---------------------------------------------------------

    def _request(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        """Answer a trainer's pull."""
        common = endpoint.respond_common(event, ready=True)
        if common is not None:
            return (common,)
        if endpoint.route(event) != ("POST", f"/v1/jobs/{self._settings.job}/batches"):
            return (endpoint.respond_not_found(event),)
        decoded = endpoint.decode_body(event.body, PullBody)
        if decoded.is_err():
            return (endpoint.respond_error(event.request_id, decoded.unwrap_err()),)
        self._asked_at = now
        return self._pulled(event.request_id, decoded.unwrap())

    def _pulled(self, request_id: RequestId, pull: PullBody) -> Sequence[Effect]:
        """Answer with the batch if it is whole, else begin it or let the trainer ask again."""
        effects: list[Effect] = []
        batch = pull.last_received_batch + 1
        step = self._steps.get(pull.consumer)
        if step is None or step.batch != batch or step.version < pull.trainer_version:
            # Samples begun for an older version of the trainer (it was fed by merlinstand
            # meanwhile) are worth nothing to it.
            step = self._new_step(batch, pull.trainer_version)
            self._steps[pull.consumer] = step
        effects += self._swap.swap_to(step.version)
        effects += self._begin_ready_steps()
        if not step.is_complete:
            refusal = PullRefusal(code="not_ready", retry_after_seconds=POLL_SECONDS)
            return [*effects, endpoint.respond_json(request_id, refusal, 202)]
        return [*effects, self._answer(request_id, pull, step)]

    def _answer(self, request_id: RequestId, pull: PullBody, step: _Step) -> Respond:
        samples = [slot.sample for slot in step.slots.values() if slot.sample is not None]
        answer = PulledBatch(
            job=self._settings.job,
            consumer=pull.consumer,
            batch=step.batch,
            nonce=pull.nonce,
            newest_version=step.version,
            samples=samples,
        )
        return endpoint.respond_json(request_id, answer)

    # --- one step -------------------------------------------------------------------

    def _new_step(self, batch: int, version: int) -> _Step:
        """Take the next slots for a batch."""
        slots = {}
        for _ in range(self._settings.batch_size):
            slots[self._next_slot] = _Slot(slot=self._next_slot, engine=-1)
            self._next_slot += 1
        return _Step(batch=batch, version=version, slots=slots)

    def _begin_ready_steps(self) -> Sequence[Effect]:
        """Send the samples of steps whose version all engines serve."""
        effects: list[Effect] = []
        for step in self._steps.values():
            if self._swap.serves(step.version):
                for slot in step.slots.values():
                    if slot.engine < 0:
                        effects.append(self._send(slot))
        return effects

    def _send(self, slot: _Slot) -> StartCall:
        """Send a slot to the next engine in turn."""
        settings = self._settings
        slot.engine = self._next_engine % len(settings.engines)
        self._next_engine += 1
        self._call_count += 1
        call_id = CallId(f"{_GENERATION_PREFIX}{self._call_count}")
        self._calls[call_id] = slot
        request_id = f"{self._sample_id(slot.slot)}~{self._call_count}"
        body = CompletionBody(
            request_id=request_id,
            model=settings.model,
            prompt=self._prompt(slot.slot),
            max_tokens=settings.maximum_tokens,
            # The coordinator's formula, so that a slot has the same length in every variant.
            seed=xxhash.xxh64_intdigest(f"{self._slot_name(slot.slot)}#0".encode()) & SEED_MASK,
        )
        return StartCall(
            call_id=call_id,
            address=settings.engines[slot.engine],
            method="POST",
            path="/v1/completions",
            headers={**endpoint.JSON_HEADERS, endpoint.REQUEST_ID_HEADER: request_id},
            body=msgspec.json.encode(body),
            timeout_seconds=settings.timeout_seconds,
        )

    def _generated(self, event: CallResponded | CallFailed) -> Sequence[Effect]:
        """Keep a finished sample, or begin it again from its prompt."""
        slot = self._calls.pop(event.call_id, None)
        if slot is None:
            return ()
        if isinstance(event, CallResponded) and event.status == 200:
            answer = msgspec.json.decode(event.body, type=CompletionAnswer)
            if answer.finish_reason in ("stop", "length"):
                slot.sample = self._sample(slot.slot, answer)
                return ()
        return (SetTimer(f"{_RETRY_PREFIX}{slot.slot}", RETRY_SECONDS),)

    def _retry(self, slot_number: int) -> Sequence[Effect]:
        for step in self._steps.values():
            slot = step.slots.get(slot_number)
            if slot is not None and slot.sample is None:
                # An engine that came back serves no version until it is told to.
                return [*self._swap.repair(slot.engine), self._send(slot)]
        return ()

    def _prompt(self, slot: int) -> str:
        return self._settings.prompts[slot % len(self._settings.prompts)]

    def _slot_name(self, slot: int) -> str:
        return f"{self._settings.job}/{slot}/0"

    def _sample_id(self, slot: int) -> str:
        return f"{self._settings.sample_prefix}{self._slot_name(slot)}"

    def _sample(self, slot: int, answer: CompletionAnswer) -> PulledSample:
        return PulledSample(
            sample_id=self._sample_id(slot),
            # Beside merlinstand the ledger numbers the job's slots, and these are not its own.
            slot=-1 if self._settings.sample_prefix else slot,
            job=self._settings.job,
            prompt_id=f"{self._settings.sample_prefix}{slot}",
            attempt=0,
            prompt=self._prompt(slot),
            text=answer.text,
            token_count=answer.token_count,
            weight_versions=answer.spans,
        )
