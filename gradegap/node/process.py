"""Runs a node as a process, for `gradegap serve`, and handles its signals.

SIGTERM shuts the node down gracefully, SIGHUP reloads its configuration, SIGUSR1 logs its counters, and
SIGUSR2 turns its recording on or off.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

import structlog

from gradegap.errors import ConfigurationError
from gradegap.node.configuration import Configuration, load
from gradegap.node.node import Node
from gradegap.node.operator_file import OperatorSettings, load_operator

EXIT_CONFIGURATION_ERROR = 2
SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)


def block_signals() -> None:
    """Block the signals in `SIGNALS`, except while `run` handles them.

    Guards against a SIGHUP or SIGTERM that kills the process because it arrives before the handlers are
    installed, or between their removal and the end of the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


async def _serve_until_done(configuration: Configuration, operator: OperatorSettings | None) -> None:
    loop = asyncio.get_running_loop()
    node = Node(configuration, loop, operator)
    loop.add_signal_handler(signal.SIGUSR1, node.print_counters)
    loop.add_signal_handler(signal.SIGTERM, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    loop.add_signal_handler(signal.SIGUSR2, node.toggle_recording)
    try:
        await node.start()
        # Unblocked only here: the loop's worker threads have started with the signals blocked, and so a
        # signal is never delivered to them.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        await node.done
    finally:
        block_signals()
        node.print_counters()


def run(configuration: Configuration, operator: OperatorSettings | None = None) -> None:
    """Run one node until a signal ends it.

    Raises:
        ConfigurationError: if the node can't start with this configuration.
    """
    import uvloop

    uvloop.run(_serve_until_done(configuration, operator))


def configure_logging() -> None:
    """Write log events to standard error, one line in logfmt per event."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def _report_and_exit(error: ConfigurationError) -> SystemExit:
    """Write the error as one line to standard error, and return the exception for the exit status."""
    sys.stderr.write(f"gradegap: {' '.join(str(error).split())}\n")
    return SystemExit(EXIT_CONFIGURATION_ERROR)


def load_all(configuration: str | None, operator: str | None) -> tuple[Configuration, OperatorSettings]:
    """Load both files from the given paths, or else from the paths in `NODE_CONFIG` and `GRADEGAP_OPERATOR`.

    Raises:
        SystemExit: if a file is invalid; one line on standard error gives the reason.
    """
    try:
        return load(configuration), load_operator(operator or os.environ.get("GRADEGAP_OPERATOR"))
    except ConfigurationError as error:
        raise _report_and_exit(error) from None


def serve(configuration: str | None = None, operator: str | None = None) -> None:
    """Run one node until SIGTERM; SIGHUP reloads its configuration.

    Raises:
        SystemExit: if the node can't start; one line on standard error gives the reason.
    """
    block_signals()
    configure_logging()
    loaded, settings = load_all(configuration, operator)
    try:
        run(loaded, settings)
    except ConfigurationError as error:
        raise _report_and_exit(error) from None
