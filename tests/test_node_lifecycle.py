"""The states of a node's process, and parts that wait for the predecessor, without sockets."""

from __future__ import annotations

import asyncio

import pytest

from gradegap.errors import ConfigurationError
from gradegap.metrics import Metrics
from gradegap.node.deferred_start import DeferredStart
from gradegap.node.lifecycle import Lifecycle, LifecycleState


def test_a_process_is_ready_once_and_never_after_it_began_to_leave() -> None:
    lifecycle = Lifecycle()
    assert not lifecycle.is_ready
    lifecycle.become_ready()
    assert lifecycle.is_ready
    lifecycle.begin_leaving()
    lifecycle.become_ready()
    assert lifecycle.state is LifecycleState.LEAVING
    lifecycle.end()
    lifecycle.begin_leaving()
    assert lifecycle.state is LifecycleState.ENDED
    assert lifecycle.is_leaving


def test_a_process_may_leave_before_it_was_ready() -> None:
    lifecycle = Lifecycle()
    lifecycle.begin_leaving()
    lifecycle.become_ready()
    assert not lifecycle.is_ready


def deferred(metrics: Metrics, has_predecessor: list[bool]) -> DeferredStart:
    loop = asyncio.get_running_loop()
    return DeferredStart(loop, metrics, is_leaving=lambda: False, has_predecessor=has_predecessor.pop)


def test_a_part_that_can_not_start_is_an_error_where_there_is_no_predecessor() -> None:
    async def fails() -> None:
        raise ConfigurationError("port taken")

    async def main() -> None:
        await deferred(Metrics(), []).start(fails, following=False)

    with pytest.raises(ConfigurationError, match="port taken"):
        asyncio.run(main())


@pytest.mark.parametrize(("free_after", "counted"), [(2, 0), (9, 1)])
def test_a_part_starts_once_its_port_is_free_and_is_given_up_after_the_predecessor(
    free_after: int, counted: int
) -> None:
    """It is tried once more after the predecessor has ended, and no more."""
    attempts = 0
    metrics = Metrics()

    async def start() -> None:
        nonlocal attempts
        attempts += 1
        if attempts <= free_after:
            raise ConfigurationError("port taken")

    async def main() -> None:
        has_predecessor = [False, True, True]  # from its end
        await deferred(metrics, has_predecessor).start(start, following=True)
        for _ in range(60):
            await asyncio.sleep(0.01)

    asyncio.run(main())
    assert attempts == min(free_after + 1, 4)
    assert metrics.snapshot().get("ports_not_free", 0) == counted
