"""`gradegap store serve`: a member of the store as a process of its own."""

from __future__ import annotations

import asyncio
import signal

import structlog

from gradegap.errors import OperatorFileError
from gradegap.metrics import Metrics
from gradegap.node.operator_file import OperatorSettings
from gradegap.node.subscriptions import subscription_server_factory
from gradegap.setting_checks import read_secret
from gradegap.store.errors import FolderError
from gradegap.store.member import StoreMember
from gradegap.store.settings import StoreSettings
from gradegap.store.storage import data_folder

log = structlog.get_logger()

HAND_OVER_WAIT_S = 0.6  # that a leader which ends waits for its successor


def serve(operator: OperatorSettings) -> None:
    """Run one member until SIGTERM.

    Raises:
        OperatorFileError: where the operator's file has no store, or its address can't be had.
        FolderError: where the folder can't be started with, or can't be written any more.
    """
    import uvloop

    settings = operator.store
    if settings is None:
        raise OperatorFileError("the operator's file has no [store] table")
    secret = read_secret(settings.secret, "store.secret")
    uvloop.run(_serve(settings, secret, Metrics()))


async def _serve(settings: StoreSettings, secret: bytes, metrics: Metrics) -> None:
    loop = asyncio.get_running_loop()
    done: asyncio.Future[FolderError | None] = loop.create_future()

    def end(error: FolderError | None = None) -> None:
        if not done.done():
            done.set_result(error)

    member = StoreMember(
        settings,
        secret,
        data_folder(settings),
        loop,
        metrics,
        end,
        make_subscription_server=subscription_server_factory(settings),
    )

    def stop() -> None:
        loop.call_later(HAND_OVER_WAIT_S if member.transfer_leadership() else 0.0, end)

    def print_counters() -> None:
        log.info("counters", **metrics.snapshot())

    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGUSR1, print_counters)
    await _start(member, settings.listen)
    failed = await done
    member.close()
    print_counters()
    if failed is not None:
        raise failed


async def _start(member: StoreMember, address: str) -> None:
    try:
        await member.start()
    except OSError as error:
        member.close()
        raise OperatorFileError(f"store.listen: can't listen on {address}: {error.strerror}") from None
