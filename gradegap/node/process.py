"""A node's life as a process: what `gradegap serve` runs, and the signals that it obeys.

SIGTERM ends it gracefully, SIGHUP has it read its configuration again, SIGUSR1 prints its counters, SIGUSR2
turns its recording on or off.
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
    """Hold signals back until `run` takes them, or until the process has ended by itself.

    Guards against a SIGHUP or SIGTERM that ends the process because its handler is not there yet, or is there
    no more.
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
        # Only now: the loop's worker threads have begun with both held, and so never take them.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        await node.done
    finally:
        block_signals()
        node.print_counters()


def run(configuration: Configuration, operator: OperatorSettings | None = None) -> None:
    """Serve as one node until a signal ends it.

    Raises:
        ConfigurationError: where the node can't start with this configuration.
    """
    import uvloop

    uvloop.run(_serve_until_done(configuration, operator))


def configure_logging() -> None:
    """Log to standard error, one line in logfmt for each event."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def _exit_for(error: ConfigurationError) -> SystemExit:
    """One plain line, and an exit that is not zero."""
    sys.stderr.write(f"gradegap: {' '.join(str(error).split())}\n")
    return SystemExit(EXIT_CONFIGURATION_ERROR)


def load_all(configuration: str | None, operator: str | None) -> tuple[Configuration, OperatorSettings]:
    """Read both files by their paths, or else by `NODE_CONFIG` and `GRADEGAP_OPERATOR`.

    Raises:
        SystemExit: with one line on standard error, where one of them can't be used.
    """
    try:
        return load(configuration), load_operator(operator or os.environ.get("GRADEGAP_OPERATOR"))
    except ConfigurationError as error:
        raise _exit_for(error) from None


def serve(configuration: str | None = None, operator: str | None = None) -> None:
    """Run one node until SIGTERM; SIGHUP has it read its configuration again.

    Raises:
        SystemExit: with one line on standard error, where it can't start.
    """
    block_signals()
    configure_logging()
    loaded, settings = load_all(configuration, operator)
    try:
        run(loaded, settings)
    except ConfigurationError as error:
        raise _exit_for(error) from None
