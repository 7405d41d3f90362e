"""Wraps the proxy's balancer for recording, and turns recording on and off while the node runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from gradegap.balancing.actions import Action
from gradegap.balancing.balancer import Balancer
from gradegap.balancing.events import Event
from gradegap.balancing.settings import Settings
from gradegap.capture.recorder import Recorder
from gradegap.capture.redaction import IdHasher
from gradegap.capture.settings import CaptureSettings
from gradegap.metrics import Metrics

log = structlog.get_logger()


class RecordedBalancer:
    """Wraps a balancer and records its events and actions while a recorder is set.

    It has the interface of `Balancer` that the proxy uses.
    """

    def __init__(
        self, balancer: Balancer, recorder: Recorder | None = None, hasher: IdHasher | None = None
    ) -> None:
        self.balancer, self.recorder, self.hasher = balancer, recorder, hasher

    def handle(self, now: float, event: Event) -> list[Action]:
        """Passes the event to the balancer, records it, and returns the actions."""
        if self.hasher is not None:
            event = self.hasher.event(event)
        actions = self.balancer.handle(now, event)
        if self.recorder is not None:
            self.recorder.step(now, event, actions)
        return actions

    def adopt(self, settings: Settings) -> None:
        """Passes new settings to the balancer and records them."""
        self.balancer.adopt(settings)
        if self.recorder is not None:
            self.recorder.adopted(settings)


class RecordedProxy(Protocol):
    """The attributes of a proxy that the switch uses."""

    balancer: Any  # replaced by a `RecordedBalancer`
    loop: asyncio.AbstractEventLoop
    now: Callable[[], float]  # returns the clock in s

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        ...


class RecordingSwitch:
    """Turns recording on and off; replaces the proxy's balancer by a `RecordedBalancer`."""

    def __init__(
        self,
        settings: CaptureSettings,
        proxy: RecordedProxy,
        seed: int,
        metrics: Metrics,
        name: str,
        hasher: IdHasher | None,
    ) -> None:
        self.settings, self.proxy, self.seed, self.metrics, self.name = settings, proxy, seed, metrics, name
        self.recorded = proxy.balancer = RecordedBalancer(proxy.balancer, None, hasher)
        metrics.gauge("capture_on", lambda: int(self.on))

    @property
    def on(self) -> bool:
        """Whether a recording is in progress."""
        return self.recorded.recorder is not None and not self.recorded.recorder.closed

    def set(self, on: bool) -> None:
        """Starts or ends the recording; an unusable folder is logged and recording stays off."""
        recorder = self.recorded.recorder
        if on and not self.on:
            self._begin()
        elif not on and recorder is not None:
            recorder.close()
            self.recorded.recorder = None
            log.info("recording ended")

    def _begin(self) -> None:
        recorder = Recorder(
            self.settings,
            self.recorded.balancer,
            self.proxy.settings,
            self.seed,
            self.metrics,
            self.proxy.loop,
            self.proxy.now,
            self.name,
        )
        try:
            recorder.begin()
        except OSError as error:
            self.metrics.count("capture_failed")
            log.error("recording failed", folder=self.settings.folder, error=str(error))
            return
        self.recorded.recorder = recorder
        log.info("recording started", folder=self.settings.folder)
