"""qlog of some connections, in a folder with a bound (draft-ietf-quic-qlog-main-schema).

A trace lies in memory until its connection ends, so few are taken at once, each up to a length. The oldest
files go when there are more than the folder may hold. Traces hold ids and addresses, no keys and no lines.
"""

from __future__ import annotations

import contextlib
import json
from pathlib import Path
from typing import Any

import structlog
from aioquic.quic.logger import QuicLogger, QuicLoggerTrace

from gradegap.metrics import Metrics

log = structlog.get_logger()

MAX_CONCURRENT_TRACES = 32  # connections
MAX_EVENTS = 20_000  # of one trace
SUFFIX = ".sqlog.json"


class BoundedTrace(QuicLoggerTrace):
    """One connection's, up to a length."""

    def __init__(self, odcid: bytes, metrics: Metrics) -> None:
        super().__init__(is_client=False, odcid=odcid)
        self.metrics = metrics

    def log_event(self, *, category: str, event: str, data: dict[str, Any]) -> None:
        """Keep an event, as long as the trace has room."""
        if len(self._events) >= MAX_EVENTS:
            self.metrics.count("quic_trace_events_cut")
            return
        super().log_event(category=category, event=event, data=data)


class TraceFolder(QuicLogger):
    """A logger that aioquic's connections can be given, one for each."""

    def __init__(self, folder: str, most_mb: int, metrics: Metrics) -> None:
        """`OSError` where the folder can't be written."""
        super().__init__()
        self.folder, self.max_bytes, self.metrics = Path(folder), most_mb * 1024 * 1024, metrics
        self.folder.mkdir(parents=True, exist_ok=True)
        self.count = 0

    @property
    def has_room(self) -> bool:
        """Whether another connection may be traced."""
        return len(self._traces) < MAX_CONCURRENT_TRACES

    def start_trace(self, is_client: bool, odcid: bytes) -> QuicLoggerTrace:
        """A trace for a new connection."""
        trace = BoundedTrace(odcid, self.metrics)
        self._traces.append(trace)
        self.metrics.count("quic_traces")
        return trace

    def end_trace(self, trace: QuicLoggerTrace) -> None:
        """Write a trace to the folder."""
        self._traces.remove(trace)
        self.count += 1
        told = trace.to_dict()
        # One number of this process in front: names sort by age, and no client chooses them alone.
        path = self.folder / f"{self.count:08d}-{told['common_fields']['ODCID']}{SUFFIX}"
        made = {"qlog_format": "JSON", "qlog_version": "0.3", "traces": [told]}
        try:
            path.write_text(json.dumps(made))
        except OSError as error:
            self.metrics.count("quic_traces_failed")
            log.warning("trace not written", error=str(error))
            return
        self._trim()

    def _trim(self) -> None:
        kept = 0
        found = []
        for path in self.folder.glob(f"*{SUFFIX}"):
            with contextlib.suppress(OSError):
                seen = path.stat()
                found.append((seen.st_mtime_ns, seen.st_size, path))
        for _, size, path in sorted(found, reverse=True):
            kept += size
            if kept > self.max_bytes:
                with contextlib.suppress(OSError):
                    path.unlink()
                    self.metrics.count("quic_traces_removed")
