"""Records what the module is told and what it does, as it happens, and never waits for the disk.

`Tap` stands between the core and its module. Steps are gathered on the loop, and encoded, compressed and
written by one thread, in a ring of files. What that thread can't keep up with is dropped in whole batches and
marked as a gap; a state follows, at which a replay goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import hashlib
import os
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import IO, Any

import structlog

from gradegap import VERSION
from gradegap.balancing.events import ConnectionInherited, RequestArrived
from gradegap.balancing.settings import Settings
from gradegap.capture import decision_module, frames, records, snapshot, state
from gradegap.capture.errors import BadStateError
from gradegap.capture.frames import FrameKind
from gradegap.capture.index import Builder
from gradegap.capture.settings import CaptureSettings
from gradegap.metrics import Metrics

log = structlog.get_logger()

BATCH = 512  # steps that are handed over at once
MOST_BATCHES = 16  # on their way to the disk; beyond, what comes is dropped and marked
TICK = 1.0  # s that a step waits at most
SUFFIX = ".ggc"


class Hide:
    """Ids that name players, as a keyed hash.

    The module decides by the hash too, so a replay needs no ids; nodes that are to place groups alike need
    one key.
    """

    def __init__(self, key: bytes) -> None:
        self.key = key

    def word(self, text: str) -> str:
        """The hash of an id; nothing for none."""
        if not text:
            return ""
        return hashlib.blake2b(text.encode(), key=self.key[:64], digest_size=8).hexdigest()

    def event(self, event: Any) -> Any:
        """The event with its ids hidden."""
        if type(event) is RequestArrived:
            hidden = self.word(event.key), self.word(event.group)
            return event._replace(key=hidden[0], group=hidden[1])
        if type(event) is ConnectionInherited:
            return event._replace(request=self.event(event.request))
        return event


class Tap:
    """A module that is listened to; the core knows no difference."""

    def __init__(self, balancer: Any, heard: Recorder | None = None, hide: Hide | None = None) -> None:
        self.balancer, self.heard, self.hide = balancer, heard, hide

    def handle(self, now: float, event: Any) -> list[Any]:
        """What the module does by this event, recorded."""
        if self.hide is not None:
            event = self.hide.event(event)
        actions: list[Any] = self.balancer.handle(now, event)
        if self.heard is not None:
            self.heard.step(now, event, actions)
        return actions

    def adopt(self, settings: Settings) -> None:
        """The module takes new settings, recorded."""
        self.balancer.adopt(settings)
        if self.heard is not None:
            self.heard.adopted(settings)


class Recorder:
    """One recording, from `begin` to `close`; a new one begins a new file."""

    def __init__(
        self,
        settings: CaptureSettings,
        balancer: Any,
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
        self.folder = Path(settings.folder)
        self.seq = 0  # of the next step
        self.batch: list[tuple[int, float, Any, Any]] = []
        self.under_way = 0  # batches and states that the thread has not written
        self.dropped = 0  # steps since the last mark
        self.state_at = 0.0  # steady time at which a state is due
        self.forks = True  # False once the system has said that it makes no processes (ENOSYS, EPERM)
        self.closed = False
        self.thread = ThreadPoolExecutor(1, "capture")
        self.timer: asyncio.TimerHandle | None = None
        # The thread's own
        self.file: IO[bytes] | None = None
        self.size = 0
        self.parts = 0
        self.index = Builder()  # of the file that is written
        self.decided_by: dict[str, Any] | None = None  # the settings of its last START

    def begin(self) -> None:
        """`OSError` where the folder can't be written."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._tick()

    def step(self, now: float, event: Any, actions: list[Any]) -> None:
        """One event, and what the module did by it."""
        if self.closed:
            return
        self.batch.append((self.seq, now, event, actions))
        self.seq += 1
        if len(self.batch) >= BATCH:
            self._hand_over()

    def adopted(self, settings: Settings) -> None:
        """New settings that the module was given."""
        self.decides_by = settings
        if not self.closed:
            self.batch.append((self.seq, self.now(), None, settings))
            self.seq += 1

    def _hand_over(self) -> None:
        batch, self.batch = self.batch, []
        if not batch:
            return
        if self.under_way >= MOST_BATCHES:
            # Guards the node against a slow disk: it is the capture that loses, and says so.
            self.dropped += len(batch)
            self.metrics.count("capture_dropped", len(batch))
            self.state_at = 0.0
            return
        if self.dropped:
            self._submit(self._write_gap, batch[0][0] - self.dropped, self.dropped)
            self.dropped = 0
        self._submit(self._write_steps, batch)

    def _submit(self, work: Callable[..., None], *args: Any) -> None:
        self.under_way += 1

        def done(_: object) -> None:
            # From the thread, or at once where it was told to end.
            with contextlib.suppress(RuntimeError):  # the loop has ended before it
                self.loop.call_soon_threadsafe(self._done)

        self.thread.submit(self._guarded, work, args).add_done_callback(done)

    def _done(self) -> None:
        self.under_way -= 1

    def _tick(self) -> None:
        """Between two events: hand over what there is, and a state where one is due."""
        if self.closed:
            return
        self.timer = self.loop.call_later(TICK, self._tick)
        self._hand_over()
        now = time.monotonic()
        if now < self.state_at or self.under_way >= MOST_BATCHES or self.batch:
            return
        if self.dropped:
            self._submit(self._write_gap, self.seq - self.dropped, self.dropped)
            self.dropped = 0
        self.state_at = now + self.settings.state_s
        decides_by = records.plain_settings(self.decides_by)
        start = self.about | {"settings": decides_by, "made": time.time()}
        if self.forks and snapshot.size(self.balancer) > snapshot.SMALL:
            try:
                child = snapshot.begin(self.balancer)
            except OSError as error:
                if error.errno in (errno.ENOSYS, errno.EPERM):
                    # Guards against a fork asked for at every tick where a filter refuses them all (the
                    # fleet's platform): from here on the state is walked in place, as for a small module.
                    self.forks = False
                    self.metrics.count("capture_forks_refused")
                    log.warning("processes are refused; states are walked in place", error=str(error))
                # Guards the node, which a walk in place would hold up: no state until there is a process.
                self._lost(error)
            else:
                self._submit(self._write_forked, start, child, self.seq, self.now())
        else:
            try:
                held = state.dump(self.balancer)
            except BadStateError as error:
                log.error("the module's state can't be recorded", error=str(error))
                self.close()
                return
            self._submit(self._write_state, start, held, self.seq, self.now())
        self.metrics.counts["capture_state_us_most"] = max(
            self.metrics.counts["capture_state_us_most"], round((time.monotonic() - now) * 1e6)
        )

    def _lost(self, error: Exception) -> None:
        self.metrics.count("capture_states_lost")
        log.warning("no state was recorded", error=str(error))
        self.state_at = 0.0  # at the next tick again

    # In the thread

    def _guarded(self, work: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.closed and self.file is None and work != self._write_forked:  # whose child must not be left
            return
        try:
            work(*args)
        except (OSError, ValueError) as error:
            # Guards the node against a full or broken disk: the recording ends, and nothing else.
            self.closed = True
            self.metrics.count("capture_failed")
            log.error("the recording has ended", error=str(error))
            self._end_file()

    def _end_file(self) -> None:
        """A file that ends in order has its index behind its frames."""
        if self.file is not None:
            with contextlib.suppress(OSError):
                self._put(self.index.sealed(self.size))
        file, self.file = self.file, None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

    def _put(self, data: bytes) -> None:
        if self.file is not None:
            self.file.write(data)
            self.size += len(data)
            self.metrics.count("capture_bytes", len(data))

    def _frame(
        self, kind: FrameKind, body: Any, count: int = 0, first: int = 0, at: float = 0.0, until: float = 0.0
    ) -> int:
        """A frame at the end of the file, and where it is; -1 where there is no file."""
        offset = self.size if self.file is not None else -1
        self._put(frames.pack(kind, body, count, first, at, until))
        return offset

    def _write_steps(self, batch: list[tuple[int, float, Any, Any]]) -> None:
        rows: list[Any] = []
        about: set[Any] = set()
        adopts = False
        for seq, at, event, what in batch:
            if event is None:
                adopts = True
                rows.append(["a", seq, at, records.plain_settings(what)])
            else:
                rows.append(["s", seq, at, records.plain(event), [records.plain(a) for a in what]])
                for each in (event, *what):
                    about |= records.names(each)
        first, since, until = batch[0][0], batch[0][1], batch[-1][1]
        offset = self._frame(FrameKind.STEPS, rows, len(rows), first, since, until)
        if offset >= 0:
            self.index.add(offset, FrameKind.STEPS, first, len(rows), since, until, adopts, about)

    def _write_gap(self, first: int, count: int) -> None:
        offset = self._frame(FrameKind.GAP, {"dropped": count}, count, first)
        if offset >= 0:
            self.index.add(offset, FrameKind.GAP, first, count)

    def _write_forked(self, start: dict[str, Any], child: tuple[int, int], seq: int, at: float) -> None:
        try:
            held = snapshot.finish(*child)
        except (OSError, ValueError) as error:
            self._lost(error)
            return
        if self.closed and self.file is None:
            return
        self._write_state(start, held, seq, at)

    def _write_state(self, start: dict[str, Any], held: dict[str, Any], seq: int, at: float) -> None:
        if self.file is None or self.size >= self.settings.part_mb * 1024 * 1024:
            self._end_file()
            self.parts += 1
            path = self.folder / f"{round(start['made'] * 1000):014d}-{os.getpid()}-{self.parts}{SUFFIX}"
            self.file = path.open("xb", buffering=0)
            self.size, self.index = 0, Builder()
            self._put(frames.MAGIC)
            self._trim(path)
            self.decided_by = None
        if start["settings"] != self.decided_by:
            # Guards against a reload in a batch that was dropped: a state bears the settings it is under.
            offset = self._frame(FrameKind.START, start, 0, seq, at, at)
            self.index.add(offset, FrameKind.START, seq, 0, at, at)
            self.decided_by = start["settings"]
        offset = self._frame(FrameKind.STATE, held, 0, seq, at, at)
        self.index.add(offset, FrameKind.STATE, seq, 0, at, at)

    def _trim(self, newest: Path) -> None:
        """The ring's limits, in size and age; the file that is written stays."""
        limit, kept = self.settings.total_mb * 1024 * 1024, 0
        for path in sorted(self.folder.glob(f"*{SUFFIX}"), reverse=True):
            with contextlib.suppress(OSError):
                seen = path.stat()
                kept += seen.st_size
                old = time.time() - seen.st_mtime > self.settings.age_s
                if path != newest and (old or kept > limit):
                    path.unlink()
                    self.metrics.count("capture_files_removed")

    # The end

    def close(self) -> None:
        """What was handed in is written; waits for the disk at most as long as it takes to write that."""
        if not self.closed:
            self._hand_over()
            self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.thread.submit(self._end_file)
        self.thread.shutdown(wait=False)


class Switch:
    """Recording on and off, while the node runs."""

    def __init__(
        self, settings: CaptureSettings, proxy: Any, seed: int, metrics: Metrics, name: str, hide: Hide | None
    ) -> None:
        self.settings, self.proxy, self.seed, self.metrics, self.name = settings, proxy, seed, metrics, name
        self.tap = proxy.balancer = Tap(proxy.balancer, None, hide)
        metrics.gauge("capture_on", lambda: int(self.on))

    @property
    def on(self) -> bool:
        """Whether a recording is under way."""
        return self.tap.heard is not None and not self.tap.heard.closed

    def set(self, on: bool) -> None:
        """The recording ends, or one begins; a folder that can't be written is logged, and nothing else."""
        heard = self.tap.heard
        if on and not self.on:
            proxy = self.proxy
            made = Recorder(
                self.settings,
                self.tap.balancer,
                proxy.settings,
                self.seed,
                self.metrics,
                proxy.loop,
                proxy.now,
                self.name,
            )
            try:
                made.begin()
            except OSError as error:
                self.metrics.count("capture_failed")
                log.error("not recorded", folder=self.settings.folder, error=str(error))
                return
            self.tap.heard = made
            log.info("recording", folder=self.settings.folder)
        elif not on and heard is not None:
            heard.close()
            self.tap.heard = None
            log.info("recording has ended")
