"""A node's life as a process: what `gradegap serve` runs, and the signals that it obeys."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

import structlog

from gradegap.errors import ConfigurationError
from gradegap.node.configuration import Setup, load
from gradegap.node.node import Node
from gradegap.node.operator_file import OperatorSettings, load_operator

log = structlog.get_logger()

__all__ = ["Node", "configure_log", "load_both", "run", "serve", "stop_line"]

SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)


def hold_signals() -> None:
    """Guards against a SIGHUP or SIGTERM that ends the process because its handler is not there yet, or is
    there no more: it waits until `run` takes it, or until the process has ended by itself."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def run(setup: Setup, operator: OperatorSettings | None = None) -> None:
    """Serve until a signal ends it."""
    import uvloop

    async def main() -> None:
        loop = asyncio.get_running_loop()
        node = Node(setup, loop, operator)
        loop.add_signal_handler(signal.SIGUSR1, node.print_counters)
        loop.add_signal_handler(signal.SIGTERM, node.stop)
        loop.add_signal_handler(signal.SIGHUP, node.reload)
        loop.add_signal_handler(signal.SIGUSR2, node.toggle_capture)
        try:
            await node.start()
            # Only now: the loop's worker threads have begun with both held, and so never take them.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            await node.done
        finally:
            hold_signals()
            node.print_counters()

    uvloop.run(main())


def configure_log() -> None:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def stop_line(error: Exception) -> SystemExit:
    """One plain line, and an exit that is not zero."""
    sys.stderr.write(f"gradegap: {' '.join(str(error).split())}\n")
    return SystemExit(2)


def load_both(config: str | None, operator: str | None) -> tuple[Setup, OperatorSettings]:
    try:
        return load(config), load_operator(operator or os.environ.get("GRADEGAP_OPERATOR"))
    except ConfigurationError as error:
        raise stop_line(error) from None


def serve(config: str | None = None, operator: str | None = None) -> None:
    """Run one node until SIGTERM; SIGHUP has it read its configuration again."""
    hold_signals()
    configure_log()
    setup, settings = load_both(config, operator)
    try:
        run(setup, settings)
    except ConfigurationError as error:
        raise stop_line(error) from None
