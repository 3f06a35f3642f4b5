"""All work of a coordinator: engine pools, jobs that it leads, weight rollouts and the journal.

Creates a `JobRunner` for each leased job and a `PoolRollout` for each leased pool, and stops them
when the lease ends. Before an event is handled, `check_leases` drops leases that have expired at
the event's time, so that a process that was suspended does nothing for a resource whose lease it
lost.
"""

from collections.abc import Iterator
from random import Random

from merlinstand.common.ids import RequestId
from merlinstand.configuration.objects import PoolKind
from merlinstand.control.queries import LedgerAnswer
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.dispatch import dispatch
from merlinstand.coordinator.engines import Engine, EnginePool
from merlinstand.coordinator.jobs import JobRunner
from merlinstand.coordinator.journal import SampleJournal
from merlinstand.coordinator.leadership import Leadership, engines_resource, job_resource
from merlinstand.coordinator.machines import MachineListPoller
from merlinstand.coordinator.purposes import BatchCommit, LedgerRead
from merlinstand.coordinator.rollout import PoolRollout
from merlinstand.session.notices import CommandFinished, QueryFinished

LEADERSHIP_INTERVAL_SECONDS = 0.5
"""Interval at which the set of requested leases is updated; a changed configuration updates it
immediately."""

REPLAN_SECONDS = 0.5
"""Interval of planning while nothing but the time has changed. Planning at every tick would use
too much CPU time: a virtual minute of the simulated calm fleet took 1.3 to 1.7 s instead of 0.71 s.
"""

LEASE_CHECK_SECONDS = 1.0
"""Longest interval between two checks of all held leases; a lease that expires sooner is checked
at its expiry."""


class WorkManager:
    """Creates and ends work according to the configuration and the leases."""

    def __init__(self, context: Context, random: Random) -> None:
        self.leadership = Leadership(context.settings.node_id)
        self.journal = SampleJournal(context.settings.maximum_journal_records)
        self.machines = MachineListPoller()
        self._context = context
        self._random = random
        self._pools: dict[str, EnginePool] = {}
        self._runners: dict[str, JobRunner] = {}
        self._rollouts: dict[str, PoolRollout] = {}
        self._accepting = True
        self._leases_valid_until = 0.0
        """Time until which no held lease expires, even if none is renewed."""
        self._leadership_due_at = 0.0
        self._dispatched_at: dict[str, float] = {}

    @property
    def has_work(self) -> bool:
        """Whether this coordinator leads any job or engine pool."""
        return bool(self._runners or self._rollouts)

    def runner(self, job: str) -> JobRunner | None:
        """Return a job's runner if this coordinator leads it."""
        return self._runners.get(job)

    def pool(self, name: str) -> EnginePool | None:
        """Return an engine pool; None if it is not configured."""
        return self._pools.get(name)

    def engines(self) -> Iterator[Engine]:
        """Return all engines of all pools."""
        for pool in self._pools.values():
            yield from pool.engines.values()

    def rollout(self, pool: str) -> PoolRollout | None:
        """Return a pool's rollout if this coordinator runs it."""
        return self._rollouts.get(pool)

    def led_jobs(self) -> Iterator[tuple[JobRunner, EnginePool]]:
        """Return the led jobs with their pools."""
        for runner in self._runners.values():
            pool = self._pools.get(runner.job.pool)
            if pool is not None:
                yield runner, pool

    # --- configuration and leases ---------------------------------------------------

    def configuration_changed(self) -> None:
        """Apply the current configuration."""
        view = self._context.view
        for name, pool in view.pools.items():
            if pool.kind is not PoolKind.ENGINE:
                continue
            engine_pool = self._pools.setdefault(name, EnginePool(pool, self._random))
            engine_pool.configure(pool, view.drains)
        for name in [known for known in self._pools if known not in view.pools]:
            del self._pools[name]
        for model, weights in view.weights.items():
            for published in weights.versions:
                self._observe_version(model, published.version)
        for name, runner in self._runners.items():
            job = view.jobs.get(name)
            if job is not None:
                runner.configure(job)
        self.leadership.update(self._context)
        # Stop work for a released resource now, not at the next check.
        self._leases_valid_until = 0.0
        self.check_leases()
        for engine_pool in self._pools.values():
            engine_pool.changed = True

    def _observe_version(self, model: str, version: int) -> None:
        if self._context.version_clock(model).observe(version, self._context.now):
            self._context.log("weights.published", model=model, version=version)

    def refresh_if_behind(self, model: str, version: int) -> None:
        """Pull the configuration if it does not contain the weight version that a trainer names."""
        if version > self._context.version_clock(model).newest:
            self._context.add(*self._context.session.refresh(self._context.now))

    def lease_gained(self, resource: str, epoch: int) -> None:
        """Start the work for a resource whose lease was acquired."""
        kind, _, name = resource.partition("/")
        context = self._context
        self.leadership.holders.pop(resource, None)
        self._leases_valid_until = 0.0
        context.log("lease.gained", resource=resource, epoch=epoch)
        if kind == "engines" and name in self._pools:
            self._rollouts[name] = PoolRollout(self._pools[name], epoch)
            return
        job = context.view.jobs.get(name)
        if kind != "job" or job is None:
            return
        if name in self._runners:
            self._runners.pop(name).stop("leased anew")
        pool = self._pools.get(job.pool)
        if pool is None:
            context.log("job.without_pool", "warning", job=name, pool=job.pool)
            return
        runner = JobRunner(context, job, epoch, pool, self.journal, self._random)
        runner.accepting = self._accepting
        self._runners[name] = runner
        runner.tick()

    def lease_lost(self, resource: str, reason: str) -> None:
        """Stop the work for a resource immediately, because its lease was lost."""
        kind, _, name = resource.partition("/")
        self._context.log("lease.lost", "warning", resource=resource, reason=reason)
        if kind == "engines":
            self._rollouts.pop(name, None)
        elif kind == "job" and name in self._runners:
            self._runners.pop(name).stop(reason)
            self.journal.forget_job(name)

    def check_leases(self) -> None:
        """Stop work whose lease has expired, even if the session has not reported that yet."""
        context = self._context
        if context.now < self._leases_valid_until:
            return
        expiries = [context.now + LEASE_CHECK_SECONDS]
        held = [job_resource(name) for name in self._runners]
        held.extend(engines_resource(name) for name in self._rollouts)
        for resource in held:
            lease = context.session.lease(resource, context.now)
            if lease is None:
                self.lease_lost(resource, "expired")
            else:
                expiries.append(lease.expires_at)
        self._leases_valid_until = min(expiries)

    # --- results from the control group and the disk ----------------------------------

    def command_finished(self, notice: CommandFinished) -> None:
        """Handle the outcome of a command."""
        purpose = self._context.take_request(notice.command_id)
        if not isinstance(purpose, BatchCommit):
            return
        runner = self._runners.get(purpose.job)
        if runner is not None and runner.epoch == purpose.epoch:
            runner.handle_commit_outcome(notice.command_id, purpose.consumer, notice.outcome)

    def query_finished(self, notice: QueryFinished) -> None:
        """Handle the response to a query, or its failure."""
        purpose = self._context.take_request(notice.query_id)
        if not isinstance(purpose, LedgerRead):
            return
        runner = self._runners.get(purpose.job)
        if runner is not None and runner.epoch == purpose.epoch:
            answer = notice.answer if isinstance(notice.answer, LedgerAnswer) else None
            runner.handle_ledger(answer)

    def records_synced(self, token: int) -> None:
        """Handle journal records that became durable."""
        touched: dict[str, JobRunner] = {}
        for sample in self.journal.synced(token):
            runner = self._runners.get(sample.job)
            if runner is not None:
                runner.handle_durable(sample)
                touched[sample.job] = runner
        for runner in touched.values():
            runner.serve()

    def request_aborted(self, request_id: RequestId) -> None:
        """Handle a trainer's disconnect."""
        for runner in self._runners.values():
            runner.batch_manager.abort_request(request_id)

    # --- time -----------------------------------------------------------------------

    def tick(self) -> None:
        """Poll engines and machines, run jobs and rollouts, and compact the journal."""
        context = self._context
        if context.view.revision > 0 and context.now >= self._leadership_due_at:
            self._leadership_due_at = context.now + LEADERSHIP_INTERVAL_SECONDS
            self.leadership.update(context)
        for name, pool in self._pools.items():
            self._tick_pool(name, pool)
        if self._runners or self._rollouts:
            self.machines.poll(context)
        if self.journal.needs_compaction():
            context.add(self.journal.compact(context.session.durable_records()))

    def _tick_pool(self, name: str, pool: EnginePool) -> None:
        context = self._context
        runners = [runner for runner in self._runners.values() if runner.job.pool == name]
        rollout = self._rollouts.get(name)
        if not runners and rollout is None:
            return
        pool.poll(context)
        weights = context.view.weights.get(pool.pool.model)
        if rollout is not None:
            rollout.tick(context, weights)
        for runner in runners:
            runner.tick()
        # Most ticks need no new plan, because a plan changes only slowly with time.
        due = context.now - self._dispatched_at.get(name, 0.0) >= REPLAN_SECONDS
        changed = pool.changed or any(runner.changed for runner in runners)
        if runners and (due or changed):
            self._dispatched_at[name] = context.now
            pool.changed = False
            for runner in runners:
                runner.changed = False
            dispatch(context, pool, runners, context.view.jobs.values(), weights)

    # --- planned stop ---------------------------------------------------------------

    def stop_accepting(self) -> None:
        """Start no new samples."""
        self._accepting = False
        for runner in self._runners.values():
            runner.accepting = False

    def is_idle(self) -> bool:
        """Return whether no job has work in progress."""
        return all(runner.is_idle() for runner in self._runners.values())

    def stop_all(self, reason: str) -> None:
        """Stop all work; must be called before the leases are released."""
        for name in list(self._runners):
            self._runners.pop(name).stop(reason)
        self._rollouts.clear()
