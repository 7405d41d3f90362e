"""`gradegap store serve`: a store member that runs in a separate process."""

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

LEADERSHIP_TRANSFER_WAIT_S = 0.6  # time that a stopping leader waits for the election of another leader


def serve(operator: OperatorSettings) -> None:
    """Run one member until SIGTERM.

    Raises:
        OperatorFileError: if the operator's file has no [store] table, or its address cannot be bound.
        FolderError: if the data folder is unusable at the start, or a write to it fails later.
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
        loop.call_later(LEADERSHIP_TRANSFER_WAIT_S if member.transfer_leadership() else 0.0, end)

    def print_counters() -> None:
        log.info("counters", **metrics.snapshot())

    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGUSR1, print_counters)
    await _start(member, settings.listen)
    folder_error = await done
    member.close()
    print_counters()
    if folder_error is not None:
        raise folder_error


async def _start(member: StoreMember, address: str) -> None:
    try:
        await member.start()
    except OSError as error:
        member.close()
        raise OperatorFileError(f"store.listen: can't listen on {address}: {error.strerror}") from None
