"""Estimates the service on a recorded day with another decision module or other settings. No I/O.

A replay feeds the recorded events to the module; here, clients and endpoints are simulated and react to the
decisions of the module (`gradegap.capture.simulation`).
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
    """Returns settings with the assignments `name=value` applied; names are the settings' stored names.

    Raises `BadWhatIfError` for an unknown setting or an invalid value.
    """
    raw = records.plain_settings(settings)
    for assignment in assignments:
        name, equals, value = assignment.partition("=")
        if not equals or name not in raw or isinstance(raw[name], dict | list | tuple):
            plain = sorted(k for k, v in raw.items() if not isinstance(v, dict | list | tuple))
            raise BadWhatIfError(
                f"unknown setting {name!r}; expected name=value with one of {', '.join(plain)}"
            )
        try:
            raw[name] = msgspec.convert(value, type(raw[name]), strict=False)
        except msgspec.ValidationError as error:
            raise BadWhatIfError(f"{assignment!r}: {str(error)[:120]}") from None
    try:
        return records.settings(raw)
    except BadRecordError as error:
        raise BadWhatIfError(str(error)) from None


def whatif(source: Iterable[Item], module: ModuleType, assignments: Iterable[str] = ()) -> WhatIfResult:
    """Simulates a recorded day with `module` and the recorded settings changed by `assignments`.

    The simulation starts with a new balancer, so the recording should start when its node did. Raises
    `BadWhatIfError` if the recording has no state or no endpoint list.
    """
    items = list(source)
    observations = observe(items)
    if not observations.start or not observations.endpoint_lists:
        raise BadWhatIfError("recording has no state or no endpoint list to start from")
    settings = records.settings(observations.start["settings"])
    recorded = _recorded_figures(items, settings, observations.ended_at)
    assigned = list(assignments)
    simulation = Simulation(observations, module, settings, lambda given: changed(given, assigned))
    return simulation.run(recorded)


def _recorded_figures(items: Iterable[Item], settings: Settings, until: float) -> ServiceFigures:
    """Evaluates the recorded decisions up to clock `until`, s."""
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
