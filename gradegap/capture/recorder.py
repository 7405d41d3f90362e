"""Records events and actions of a running node without blocking the event loop on the disk.

Steps are collected in batches on the event loop; one thread encodes, compresses and writes them. If that
thread falls behind, whole batches are dropped and marked as a gap. A state is written after a gap, so that a
replay can continue there.
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

BATCH_STEPS = 512  # number of steps at which a batch is submitted to the thread
MAX_PENDING_BATCHES = 16  # limit of batches waiting for the thread; further batches are dropped
FLUSH_INTERVAL_S = 1.0  # the longest time for which a step waits in an incomplete batch
FORK_NOT_PERMITTED = (errno.ENOSYS, errno.EPERM)  # permanent errors: after one of them, no fork will succeed


class Recorder:
    """One recording, from `begin` to `close`; each recorder starts a new file.

    Only the writing thread uses the writer. All other attributes belong to the event loop, except `closed`
    and `state_due_at`, which both threads set.
    """

    def __init__(
        self,
        settings: CaptureSettings,
        balancer: Balancer,
        balancer_settings: Settings,
        seed: int,
        metrics: Metrics,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], float],
        name: str,
    ) -> None:
        self.settings, self.balancer, self.balancer_settings = settings, balancer, balancer_settings
        self.metrics, self.loop, self.now = metrics, loop, now
        self.start_fields = {
            "node": name,
            "seed": seed,
            "version": VERSION,
            "policy": decision_module.digest_of(decision_module.in_force()),
        }
        self.next_number = 0  # the number of the next step
        self.batch: list[StepRow] = []
        self.pending = 0  # batches, gaps and states that the thread has not written yet
        self.dropped = 0  # steps dropped since the last gap was marked
        self.state_due_at = 0.0  # monotonic clock, s
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
        """Starts the recording; raises `OSError` if the folder can't be created."""
        Path(self.settings.folder).mkdir(parents=True, exist_ok=True)
        self._tick()

    def step(self, now: float, event: Event, actions: list[Action]) -> None:
        """Records one event and the actions that the balancer returned for it."""
        if self.closed:
            return
        self.batch.append((self.next_number, now, event, actions))
        self.next_number += 1
        if len(self.batch) >= BATCH_STEPS:
            self._flush()

    def adopted(self, settings: Settings) -> None:
        """Records new settings that the balancer adopted."""
        self.balancer_settings = settings
        if not self.closed:
            self.batch.append((self.next_number, self.now(), None, settings))
            self.next_number += 1

    def close(self) -> None:
        """Ends the recording; the thread still writes the pending batches."""
        if not self.closed:
            self._flush()
            self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.thread.submit(self.writer.end_file)
        self.thread.shutdown(wait=False)

    def _flush(self) -> None:
        """Submits the batch to the thread, or drops it if too many batches are pending."""
        batch, self.batch = self.batch, []
        if not batch:
            return
        if self.pending >= MAX_PENDING_BATCHES:
            # On a slow disk the recording loses steps and marks the gap; the node is not slowed down.
            self.dropped += len(batch)
            self.metrics.count("capture_dropped", len(batch))
            self.state_due_at = 0.0
            return
        self._mark_gap(batch[0][0])
        self._submit(self.writer.write_steps, batch)

    def _mark_gap(self, next_number: int) -> None:
        """Submits a gap to the thread if steps were dropped; `next_number` is the first step after them."""
        if self.dropped:
            self._submit(self.writer.write_gap, next_number - self.dropped, self.dropped)
            self.dropped = 0

    def _tick(self) -> None:
        """Runs between two events of the balancer: submits the batch, and a state if one is due."""
        if self.closed:
            return
        self.timer = self.loop.call_later(FLUSH_INTERVAL_S, self._tick)
        self._flush()
        now = time.monotonic()
        if now < self.state_due_at or self.pending >= MAX_PENDING_BATCHES or self.batch:
            return
        self._mark_gap(self.next_number)
        self.state_due_at = now + self.settings.state_s
        settings = records.plain_settings(self.balancer_settings)
        start = self.start_fields | {"settings": settings, "made": time.time()}
        if self.may_fork and snapshot.size(self.balancer) > snapshot.MAX_OBJECTS_IN_PLACE:
            self._take_state_by_fork(start)
        elif not self._take_state(start):
            return
        self.metrics.counts["capture_state_us_most"] = max(
            self.metrics.counts["capture_state_us_most"], round((time.monotonic() - now) * 1e6)
        )

    def _take_state(self, start: dict[str, Any]) -> bool:
        """Dumps the state in this process; if it can't be stored, ends the recording and returns False."""
        try:
            stored_state = state.dump(self.balancer)
        except BadStateError as error:
            log.error("recording failed", error=str(error))
            self.close()
            return False
        self._submit(self.writer.write_state, start, stored_state, self.next_number, self.now())
        return True

    def _take_state_by_fork(self, start: dict[str, Any]) -> None:
        """Forks a process that dumps the state."""
        try:
            child = snapshot.begin(self.balancer)
        except OSError as error:
            if error.errno in FORK_NOT_PERMITTED:
                # A system call filter, as on the fleet's platform, refuses every fork. To avoid a failing
                # fork at every tick, states are dumped in this process from now on, as for a small balancer.
                self.may_fork = False
                self.metrics.count("capture_forks_refused")
                log.warning("fork refused, states taken in place", error=str(error))
            # A dump of a large balancer in this process would block the event loop, so no state is written
            # until a fork succeeds.
            self._lose_state(error)
        else:
            self._submit(self._write_forked, start, child, self.next_number, self.now())

    def _lose_state(self, error: Exception) -> None:
        self.metrics.count("capture_states_lost")
        log.warning("state lost", error=str(error))
        self.state_due_at = 0.0  # retry at the next tick

    def _submit(self, work: Callable[..., None], *arguments: Any) -> None:
        self.pending += 1

        def done(_: object) -> None:
            # Called from the thread, or at once if the thread was shut down; the event loop may already be
            # closed.
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(self._done)

        self.thread.submit(self._run, work, arguments).add_done_callback(done)

    def _done(self) -> None:
        self.pending -= 1

    # The methods below run on the thread.

    def _run(self, work: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        is_finished = self.closed and not self.writer.is_open
        if is_finished and work != self._write_forked:  # a forked child must always be reaped
            return
        try:
            work(*arguments)
        except (OSError, ValueError) as error:
            # A full or broken disk ends only the recording; the node continues to run.
            self.closed = True
            self.metrics.count("capture_failed")
            log.error("recording failed", error=str(error))
            self.writer.end_file()

    def _write_forked(self, start: dict[str, Any], child: snapshot.Child, number: int, at: float) -> None:
        try:
            stored_state = snapshot.finish(child)
        except (OSError, ValueError) as error:
            self._lose_state(error)
            return
        if not self.closed or self.writer.is_open:
            self.writer.write_state(start, stored_state, number, at)
