"""The named timers of one simulated process."""

from merlinstand.kernel import effects as fx
from merlinstand.kernel.events import TimerFired
from merlinstand_lab.simulator.clock import VirtualClock
from merlinstand_lab.simulator.machine import Machine


class Timer:
    """A named timer; replacing it by a later one costs no new queue entry."""

    __slots__ = ("due", "pending_at")

    def __init__(self) -> None:
        self.due = -1.0
        self.pending_at = -1.0


class ProcessTimers:
    """Timers of the present life; delays are those of the machine's own clock."""

    def __init__(self, process: Machine, clock: VirtualClock) -> None:
        """Begin without timers."""
        self._process = process
        self._clock = clock
        self._timers: dict[str, Timer] = {}

    def forget(self) -> None:
        """Drop every timer: the process ended."""
        self._timers = {}

    def set(self, effect: fx.SetTimer) -> None:
        """Arrange for a timer to fire, in place of one of the same name."""
        timer = self._timers.get(effect.name)
        if timer is None:
            timer = self._timers[effect.name] = Timer()
        delay_seconds = self._process.local_clock.true_delay(effect.delay_seconds)
        timer.due = self._clock.now + delay_seconds
        # A pending queue entry that comes earlier looks again at `due` when it fires.
        if not 0.0 <= timer.pending_at <= timer.due:
            self._schedule(effect.name, timer)

    def cancel(self, effect: fx.CancelTimer) -> None:
        """Let a timer not fire."""
        timer = self._timers.get(effect.name)
        if timer is not None:
            timer.due = -1.0

    def postpone(self, seconds: float) -> None:
        """Let all timers fire so much later."""
        for timer in self._timers.values():
            if timer.due >= 0.0:
                timer.due += seconds

    def _schedule(self, name: str, timer: Timer) -> None:
        timer.pending_at = timer.due
        self._clock.call_at(timer.due, self._due, name, timer, timer.due, self._process.life)

    def _due(self, name: str, timer: Timer, scheduled_for: float, life: int) -> None:
        if life != self._process.life or timer.pending_at != scheduled_for:
            return
        timer.pending_at = -1.0
        if timer.due < 0.0:
            return
        if timer.due > self._clock.now:
            self._schedule(name, timer)
            return
        if self._process.frozen:
            self._process.when_scheduled(lambda: self._fire_late(name, timer))
            return
        timer.due = -1.0
        self._process.deliver(TimerFired(name))

    def _fire_late(self, name: str, timer: Timer) -> None:
        # While the process thawed, an earlier event may have cancelled or moved the timer.
        if timer.due < 0.0 or timer.due > self._clock.now:
            if timer.due > self._clock.now and timer.pending_at < 0.0:
                self._schedule(name, timer)
            return
        timer.due = -1.0
        self._process.deliver(TimerFired(name))
