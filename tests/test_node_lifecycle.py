"""Lifecycle states of a node's process, and the deferred start of parts, without sockets."""

from __future__ import annotations

import asyncio

import pytest

from gradegap.errors import ConfigurationError
from gradegap.metrics import Metrics
from gradegap.node.deferred_start import DeferredStart
from gradegap.node.lifecycle import Lifecycle, LifecycleState


def test_lifecycle_after_shutdown_began_never_becomes_ready() -> None:
    lifecycle = Lifecycle()
    assert not lifecycle.is_ready
    lifecycle.become_ready()
    assert lifecycle.is_ready
    lifecycle.begin_shutdown()
    lifecycle.become_ready()
    assert lifecycle.state is LifecycleState.SHUTTING_DOWN
    lifecycle.end()
    lifecycle.begin_shutdown()
    assert lifecycle.state is LifecycleState.ENDED
    assert lifecycle.is_shutting_down


def test_lifecycle_may_shut_down_before_it_is_ready() -> None:
    lifecycle = Lifecycle()
    lifecycle.begin_shutdown()
    lifecycle.become_ready()
    assert not lifecycle.is_ready


def create_deferred_start(metrics: Metrics, has_predecessor: list[bool]) -> DeferredStart:
    loop = asyncio.get_running_loop()
    return DeferredStart(loop, metrics, is_shutting_down=lambda: False, has_predecessor=has_predecessor.pop)


def test_deferred_start_failure_without_predecessor_raises() -> None:
    async def start() -> None:
        raise ConfigurationError("port taken")

    async def main() -> None:
        await create_deferred_start(Metrics(), []).start(start, following=False)

    with pytest.raises(ConfigurationError, match="port taken"):
        asyncio.run(main())


@pytest.mark.parametrize(("failed_attempts", "expected_count"), [(2, 0), (9, 1)])
def test_deferred_start_retries_until_first_failure_after_predecessor_ended(
    failed_attempts: int, expected_count: int
) -> None:
    """One attempt is made after the predecessor has ended, and no more."""
    attempts = 0
    metrics = Metrics()

    async def start() -> None:
        nonlocal attempts
        attempts += 1
        if attempts <= failed_attempts:
            raise ConfigurationError("port taken")

    async def main() -> None:
        has_predecessor = [False, True, True]  # the last item is used first
        await create_deferred_start(metrics, has_predecessor).start(start, following=True)
        for _ in range(60):
            await asyncio.sleep(0.01)

    asyncio.run(main())
    assert attempts == min(failed_attempts + 1, 4)
    assert metrics.snapshot().get("ports_not_free", 0) == expected_count
