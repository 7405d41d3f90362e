"""Writes qlog traces of some connections to a directory of bounded size (draft-ietf-quic-qlog-main-schema).

A trace is kept in memory until its connection ends, so the number of concurrent traces and the events of
each are limited. The oldest files are removed when the directory exceeds its limit. Traces contain
connection ids and addresses, but no keys and no lines of the sessions.
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

MAX_CONCURRENT_TRACES = 32  # limit of connections that are traced at the same time
MAX_TRACE_EVENTS = 20_000  # limit of events in one trace
SUFFIX = ".sqlog.json"


class BoundedTrace(QuicLoggerTrace):
    """The trace of one connection, with a limited number of events."""

    def __init__(self, odcid: bytes, metrics: Metrics) -> None:
        super().__init__(is_client=False, odcid=odcid)
        self.metrics = metrics

    def log_event(self, *, category: str, event: str, data: dict[str, Any]) -> None:
        """Record an event, or only count it if the trace is full."""
        if len(self._events) >= MAX_TRACE_EVENTS:
            self.metrics.count("quic_trace_events_cut")
            return
        super().log_event(category=category, event=event, data=data)


class TraceFolder(QuicLogger):
    """An aioquic logger that writes one file for each connection."""

    def __init__(self, folder: str, max_mib: int, metrics: Metrics) -> None:
        """Create the directory if it is missing; `max_mib` limits the MiB of all its traces.

        Raises:
            OSError: if the directory can't be created.
        """
        super().__init__()
        self.folder, self.max_bytes, self.metrics = Path(folder), max_mib * 1024 * 1024, metrics
        self.folder.mkdir(parents=True, exist_ok=True)
        self.trace_count = 0

    @property
    def has_room(self) -> bool:
        """Whether another connection may be traced."""
        return len(self._traces) < MAX_CONCURRENT_TRACES

    def start_trace(self, is_client: bool, odcid: bytes) -> QuicLoggerTrace:
        """Start the trace of a new connection."""
        trace = BoundedTrace(odcid, self.metrics)
        self._traces.append(trace)
        self.metrics.count("quic_traces")
        return trace

    def end_trace(self, trace: QuicLoggerTrace) -> None:
        """Write a trace to the directory and remove the oldest files beyond the size limit."""
        self._traces.remove(trace)
        self.trace_count += 1
        trace_data = trace.to_dict()
        # The number of the trace in this process comes first: file names sort by age, and a client can't
        # choose a whole file name by its connection id.
        path = self.folder / f"{self.trace_count:08d}-{trace_data['common_fields']['ODCID']}{SUFFIX}"
        document = {"qlog_format": "JSON", "qlog_version": "0.3", "traces": [trace_data]}
        try:
            path.write_text(json.dumps(document))
        except OSError as error:
            self.metrics.count("quic_traces_failed")
            log.warning("qlog trace write failed", path=str(path), error=str(error))
            return
        self._remove_oldest()

    def _remove_oldest(self) -> None:
        total_bytes = 0
        files = []
        for path in self.folder.glob(f"*{SUFFIX}"):
            with contextlib.suppress(OSError):
                status = path.stat()
                files.append((status.st_mtime_ns, status.st_size, path))
        for _, size, path in sorted(files, reverse=True):
            total_bytes += size
            if total_bytes > self.max_bytes:
                with contextlib.suppress(OSError):
                    path.unlink()
                    self.metrics.count("quic_traces_removed")
