"""Loading of candidate decision modules: files, copies of the package, and invalid paths."""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

import msgspec
import pytest

from gradegap.balancing import balancer
from gradegap.balancing.settings import Settings
from gradegap.capture import decision_module, records, state
from gradegap.capture.errors import BadModuleError
from gradegap.capture.schema import BALANCER
from tests.support.balancer_driver import settings
from tests.support.mutants import BALANCING, mutant, mutated_copy
from tests.support.recorded_workload import RandomWorkload, replay_recording, workload_recording


def write_package(folder: Path, **modules: str) -> Path:
    """Writes a package with the given modules."""
    package_folder = folder / "made_up"
    package_folder.mkdir()
    (package_folder / "__init__.py").write_text('"""Made up."""\n')
    for name, text in modules.items():
        (package_folder / f"{name}.py").write_text(text)
    return package_folder


FACADE = """
from __future__ import annotations

from dataclasses import dataclass

from gradegap.balancing import parts as inner, settings
from gradegap.balancing.parts import LIMIT
import gradegap.balancing.parts as again
from gradegap.balancing.events import RequestArrived
from . import parts, events
from .parts import Part


@dataclass
class Marker:
    value: int


class Balancer:
    def __init__(self, given: settings.Settings, seed: int) -> None:
        self.given, self.part = given, Part(LIMIT)

    def handle(self, now: float, event: object) -> list[object]:
        from gradegap.balancing.later import answer

        return [answer(event, RequestArrived)]
"""
PARTS = """
LIMIT = 7


class Part:
    def __init__(self, limit: int) -> None:
        self.limit = limit
"""
LATER = """
def answer(event: object, kind: type) -> bool:
    return isinstance(event, kind)
"""


def test_modules_of_copy_import_each_other_and_share_program_types(tmp_path: Path) -> None:
    folder = write_package(tmp_path, balancer=FACADE, parts=PARTS, later=LATER)
    module = decision_module.load(str(folder))
    copied_balancer = module.Balancer(settings(), 1)
    assert copied_balancer.part.limit == 7
    assert module.inner is module.parts is module.again
    assert module.parts.__name__ == module.__name__.replace(".balancer", ".parts")
    assert module.settings.Settings is Settings
    assert module.RequestArrived is records.EVENTS["Request"] is module.events.RequestArrived
    assert copied_balancer.handle(0.0, records.event(["Request", [1, "live", 2.0]])) == [True]
    assert "gradegap.balancing.parts" not in sys.modules


def test_two_copies_and_program_module_are_loaded_side_by_side(tmp_path: Path) -> None:
    one, other = tmp_path / "one", tmp_path / "other"
    one.mkdir()
    other.mkdir()
    first = decision_module.load(str(write_package(one, balancer=FACADE, parts=PARTS)))
    second = decision_module.load(str(write_package(other, balancer=FACADE, parts=PARTS.replace("7", "8"))))
    limits = [module.Balancer(settings(), 1).part.limit for module in (first, second)]
    assert limits == [7, 8]
    assert decision_module.load(None) is decision_module.in_force() is balancer


def test_copied_bytecode_is_not_executed(tmp_path: Path) -> None:
    folder = write_package(tmp_path, balancer=FACADE, parts=PARTS)
    decision_module.load(str(folder))
    assert not list(folder.rglob("__pycache__"))
    cache = folder / "__pycache__"
    cache.mkdir()
    (cache / f"parts.{sys.implementation.cache_tag}.pyc").write_bytes(b"no bytecode")
    assert decision_module.load(str(folder)).LIMIT == 7


def test_unchanged_copy_of_package_takes_same_decisions(tmp_path: Path) -> None:
    copy = tmp_path / "balancing"
    shutil.copytree(BALANCING, copy)
    module = decision_module.load(str(copy))
    assert module.Balancer is not balancer.Balancer
    data = workload_recording(17, 400, 3)
    copy_report, own_report = replay_recording(data, module), replay_recording(data)
    assert copy_report.difference is None and not copy_report.state_differs and not copy_report.gaps
    assert (copy_report.digest, copy_report.states) == (own_report.digest, 3)
    workload = RandomWorkload(17).run_steps(300)
    stored_state = msgspec.msgpack.decode(msgspec.msgpack.encode(state.dump(workload.balancer)))
    loaded = state.load(module, stored_state, workload.settings)
    assert {
        type(server).__module__.partition(".")[0] for server in BALANCER.get(loaded, "endpoints").values()
    } == {module.__name__.partition(".")[0]}


def test_changed_copy_takes_other_decisions(tmp_path: Path) -> None:
    module = mutant(tmp_path, "FULL_LOAD = 0.9\n", "FULL_LOAD = 0.05\n")
    assert replay_recording(workload_recording(11, 3000, 1), module).difference is not None


SUBCLASS = """
from gradegap.balancing.balancer import Balancer as Own


class Balancer(Own):
    def __init__(self, settings, seed):
        super().__init__(settings, seed)
        self.own_counter = 0

    def handle(self, now, event):
        self.own_counter += 1
        return super().handle(now, event)
"""


def test_file_with_subclass_is_loaded_as_candidate(tmp_path: Path) -> None:
    path = tmp_path / "candidate.py"
    path.write_text(SUBCLASS)
    module = decision_module.load(str(path))
    data = workload_recording(18, 400, 3)
    report = replay_recording(data, module)
    assert (
        report.difference is None
        and not report.state_differs
        and report.digest == replay_recording(data).digest
    )
    other_path = tmp_path / "other.py"
    other_path.write_text(SUBCLASS.replace("super().handle(now, event)", "super().handle(now, event)[:-1]"))
    assert replay_recording(data, decision_module.load(str(other_path))).difference is not None


@pytest.mark.parametrize(
    ("name", "text", "message"),
    [
        ("candidate.py", "x = 1", "has no Balancer"),
        ("candidate.py", "raise RuntimeError('broken')", "can't be loaded: broken"),
        ("candidate.py", "def", "can't be loaded"),
        ("candidate.txt", "", "is not a Python file"),
        ("folder/parts.py", "", "has no balancer.py"),
        ("empty/notes.txt", "", "has no __init__.py"),
        ("folder/balancer.py", "x = 1", "has no Balancer"),
        ("folder/balancer.py", "import gradegap.balancing.rates", "line 1: write `from"),
        ("folder/balancer.py", "from gradegap import balancing", "line 1: write `from"),
        (
            "folder/balancer.py",
            "from gradegap.balancing.nowhere import x",
            "can't be loaded: No module named",
        ),
    ],
)
def test_invalid_candidate_is_rejected(tmp_path: Path, name: str, text: str, message: str) -> None:
    path = tmp_path / name
    path.parent.mkdir(exist_ok=True)
    path.write_text(text)
    if path.parent.name == "folder":
        (path.parent / "__init__.py").touch()
    with pytest.raises(BadModuleError, match=message):
        decision_module.load(str(path.parent if path.parent != tmp_path else path))


def test_missing_path_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(BadModuleError, match="can't be loaded"):
        decision_module.load(str(tmp_path / "nowhere.py"))


def test_shared_modules_define_all_recorded_types() -> None:
    types = [*records.EVENTS.values(), *records.ACTIONS.values()]
    types += [form.cls for form in (records.SETTINGS, records.CLASS_SETTINGS, records.TENANT_SETTINGS)]
    modules = {stored_type.__module__ for stored_type in types}
    assert modules == {f"{decision_module.PACKAGE}.{name}" for name in decision_module.SHARED}


def test_digest_covers_all_files_of_decision_module(tmp_path: Path) -> None:
    own_digest = decision_module.digest_of(decision_module.in_force())
    assert len(own_digest) == 64
    copy = tmp_path / "same" / "balancing"
    shutil.copytree(BALANCING, copy)
    assert decision_module.digest_of(decision_module.load(str(copy))) == own_digest
    changed_copy = mutated_copy(tmp_path, "SLOW_MEMORY_S = 20.0", "SLOW_MEMORY_S = 20.5")
    assert decision_module.digest_of(decision_module.load(str(changed_copy))) != own_digest
    path = tmp_path / "candidate.py"
    path.write_text(SUBCLASS)
    assert decision_module.digest_of(decision_module.load(str(path))) not in ("", own_digest)


def test_copy_decides_without_program_balancer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    data = workload_recording(19, 200, 2)
    digest = replay_recording(data).digest
    copy = tmp_path / "balancing"
    shutil.copytree(BALANCING, copy)
    module = decision_module.load(str(copy))

    def fail(*_: object) -> None:
        raise AssertionError("the program's own module was used")

    for name in ("__init__", "handle", "adopt"):
        monkeypatch.setattr(balancer.Balancer, name, fail)
    report = replay_recording(data, module)
    assert report.digest == digest and report.steps > 200 and report.states == 2
    assert report.difference is None and not report.gaps and not report.state_differs
