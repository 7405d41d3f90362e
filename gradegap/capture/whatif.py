"""The same day under another module or other settings. No I/O.

Unlike a replay, in which each event is the recorded one, the world here answers what this module does
(`gradegap.capture.simulation`).
"""

from __future__ import annotations

from collections.abc import Iterable
from types import ModuleType

import msgspec

from gradegap.balancing.settings import Settings
from gradegap.capture import records
from gradegap.capture.errors import BadRecordError, BadWhatIfError
from gradegap.capture.evaluation import Evaluation, ServiceFigures
from gradegap.capture.observations import observe
from gradegap.capture.recording import Item, SettingsChange, Step
from gradegap.capture.simulation import Simulation, WhatIfResult


def changed(settings: Settings, assignments: Iterable[str]) -> Settings:
    """Settings with each `name=value` in the place of the recorded one, by the settings' stored names.

    Raises `BadWhatIfError` for a setting that there is not, or a value that it can't have.
    """
    raw = records.plain_settings(settings)
    for assignment in assignments:
        name, equals, value = assignment.partition("=")
        if not equals or name not in raw or isinstance(raw[name], dict | list | tuple):
            plain = sorted(k for k, v in raw.items() if not isinstance(v, dict | list | tuple))
            raise BadWhatIfError(f"{name!r} is no setting; there are {', '.join(plain)}")
        try:
            raw[name] = msgspec.convert(value, type(raw[name]), strict=False)
        except msgspec.ValidationError as error:
            raise BadWhatIfError(f"{assignment!r}: {str(error)[:120]}") from None
    try:
        return records.settings(raw)
    except BadRecordError as error:
        raise BadWhatIfError(str(error)) from None


def whatif(source: Iterable[Item], module: ModuleType, assignments: Iterable[str] = ()) -> WhatIfResult:
    """A recorded day played with `module`, under its settings with `assignments` made in them.

    It begins with a new balancer, so a recording should begin where its node did. Raises `BadWhatIfError`
    where there is nothing to play.
    """
    items = list(source)
    observations = observe(items)
    if not observations.start or not observations.endpoint_lists:
        raise BadWhatIfError("it has no state or no list of servers to begin with")
    settings = records.settings(observations.start["settings"])
    recorded = _recorded_figures(items, settings, observations.ended_at)
    assigned = list(assignments)
    simulation = Simulation(observations, module, settings, lambda given: changed(given, assigned))
    return simulation.run(recorded)


def _recorded_figures(items: Iterable[Item], settings: Settings, until: float) -> ServiceFigures:
    """How clients were served as recorded, up to that clock."""
    evaluation = Evaluation(settings)
    for item in items:
        match item:
            case SettingsChange():
                evaluation.settings = item.settings
            case Step():
                evaluation.observe(item.at, item.event, item.actions)
                if item.at >= until:
                    break
            case _:
                pass
    return evaluation.finish()
