"""Records events and actions as they happen, and never waits for the disk.

Steps are gathered on the event loop, and encoded, compressed and written by one thread. What that thread
can't keep up with is dropped in whole batches and marked as a gap. A state follows, so that a replay goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import structlog

from gradegap import VERSION
from gradegap.balancing.actions import Action
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event
from gradegap.balancing.settings import Settings
from gradegap.capture import decision_module, records, snapshot, state
from gradegap.capture.errors import BadStateError
from gradegap.capture.settings import CaptureSettings
from gradegap.capture.writer import RecordingWriter, StepRow
from gradegap.metrics import Metrics

log = structlog.get_logger()

BATCH_STEPS = 512  # steps that are handed over at once
MAX_PENDING_BATCHES = 16  # on their way to the disk; beyond, what comes is dropped and marked
FLUSH_INTERVAL_S = 1.0  # that a step waits at most
FORK_NOT_PERMITTED = (errno.ENOSYS, errno.EPERM)  # the system makes no processes, now or later


class Recorder:
    """One recording, from `begin` to `close`; a new one begins a new file.

    The thread has the writer; all else is the event loop's, but for `closed` and the time at which a state
    is due, which both set.
    """

    def __init__(
        self,
        settings: CaptureSettings,
        balancer: Balancer,
        decides_by: Settings,
        seed: int,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], float],
        name: str,
    ) -> None:
        self.settings, self.balancer, self.decides_by = settings, balancer, decides_by
        self.metrics, self.loop, self.now = metrics, loop, now
        self.about = {
            "node": name,
            "seed": seed,
            "version": VERSION,
            "policy": decision_module.digest_of(decision_module.in_force()),
        }
        self.next_number = 0  # of the next step
        self.batch: list[StepRow] = []
        self.pending = 0  # batches and states that the thread has not written
        self.dropped = 0  # steps since the last mark
        self.state_due_at = 0.0  # on the steady clock, s
        self.may_fork = True
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None
        self.thread = ThreadPoolExecutor(1, "capture")
        self.writer = RecordingWriter(settings, metrics)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is pending and no file is open."""
        return not self.pending and not self.writer.is_open

    def begin(self) -> None:
        """Begin to record; `OSError` where the folder can't be written."""
        Path(self.settings.folder).mkdir(parents=True, exist_ok=True)
        self._tick()

    def step(self, now: float, event: Event, actions: list[Action]) -> None:
        """Record one event, and the actions that answered it."""
        if self.closed:
            return
        self.batch.append((self.next_number, now, event, actions))
        self.next_number += 1
        if len(self.batch) >= BATCH_STEPS:
            self._flush()

    def adopted(self, settings: Settings) -> None:
        """Record new settings that the balancer was given."""
        self.decides_by = settings
        if not self.closed:
            self.batch.append((self.next_number, self.now(), None, settings))
            self.next_number += 1

    def close(self) -> None:
        """End the recording; what was recorded is still written, by the thread."""
        if not self.closed:
            self._flush()
            self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.thread.submit(self.writer.end_file)
        self.thread.shutdown(wait=False)

    def _flush(self) -> None:
        """Hand the batch over to the thread, or drop it where the thread is too far behind."""
        batch, self.batch = self.batch, []
        if not batch:
            return
        if self.pending >= MAX_PENDING_BATCHES:
            # Guards the node against a slow disk: it is the recording that loses, and says so.
            self.dropped += len(batch)
            self.metrics.count("capture_dropped", len(batch))
            self.state_due_at = 0.0
            return
        self._mark_gap(batch[0][0])
        self._submit(self.writer.write_steps, batch)

    def _mark_gap(self, next_number: int) -> None:
        """Mark the steps that were dropped before the one of that number."""
        if self.dropped:
            self._submit(self.writer.write_gap, next_number - self.dropped, self.dropped)
            self.dropped = 0

    def _tick(self) -> None:
        """Between two events: hand over what there is, and a state where one is due."""
        if self.closed:
            return
        self.timer = self.loop.call_later(FLUSH_INTERVAL_S, self._tick)
        self._flush()
        now = time.monotonic()
        if now < self.state_due_at or self.pending >= MAX_PENDING_BATCHES or self.batch:
            return
        self._mark_gap(self.next_number)
        self.state_due_at = now + self.settings.state_s
        settings = records.plain_settings(self.decides_by)
        start = self.about | {"settings": settings, "made": time.time()}
        if self.may_fork and snapshot.size(self.balancer) > snapshot.MAX_OBJECTS_IN_PLACE:
            self._take_state_by_fork(start)
        elif not self._take_state(start):
            return
        self.metrics.counts["capture_state_us_most"] = max(
            self.metrics.counts["capture_state_us_most"], round((time.monotonic() - now) * 1e6)
        )

    def _take_state(self, start: dict[str, Any]) -> bool:
        """Walk the balancer's objects here; False where they can't be stored, which ends the recording."""
        try:
            stored = state.dump(self.balancer)
        except BadStateError as error:
            log.error("recording failed", error=str(error))
            self.close()
            return False
        self._submit(self.writer.write_state, start, stored, self.next_number, self.now())
        return True

    def _take_state_by_fork(self, start: dict[str, Any]) -> None:
        """Have them walked by a forked process."""
        try:
            child = snapshot.begin(self.balancer)
        except OSError as error:
            if error.errno in FORK_NOT_PERMITTED:
                # Guards against a fork at every tick where a filter refuses them all (the fleet's platform):
                # from here on the state is walked in place, as for a small module.
                self.may_fork = False
                self.metrics.count("capture_forks_refused")
                log.warning("fork refused, states taken in place", error=str(error))
            # Guards the node, which a walk in place would hold up: no state until there is a process.
            self._lose_state(error)
        else:
            self._submit(self._write_forked, start, child, self.next_number, self.now())

    def _lose_state(self, error: Exception) -> None:
        self.metrics.count("capture_states_lost")
        log.warning("state lost", error=str(error))
        self.state_due_at = 0.0  # at the next tick again

    def _submit(self, work: Callable[..., None], *arguments: Any) -> None:
        self.pending += 1

        def done(_: object) -> None:
            # From the thread, or at once where it was shut down; the loop may have ended before it.
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(self._done)

        self.thread.submit(self._run, work, arguments).add_done_callback(done)

    def _done(self) -> None:
        self.pending -= 1

    # On the thread

    def _run(self, work: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        over = self.closed and not self.writer.is_open
        if over and work != self._write_forked:  # whose child must not be left behind
            return
        try:
            work(*arguments)
        except (OSError, ValueError) as error:
            # Guards the node against a full or broken disk: the recording ends, and nothing else.
            self.closed = True
            self.metrics.count("capture_failed")
            log.error("recording failed", error=str(error))
            self.writer.end_file()

    def _write_forked(self, start: dict[str, Any], child: snapshot.Child, number: int, at: float) -> None:
        try:
            stored = snapshot.finish(child)
        except (OSError, ValueError) as error:
            self._lose_state(error)
            return
        if not self.closed or self.writer.is_open:
            self.writer.write_state(start, stored, number, at)
