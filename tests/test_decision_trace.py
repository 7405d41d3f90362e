"""The decision trace (`[trace]` table): writes each step of the balancer without affecting its decisions."""

from __future__ import annotations

import io

import msgspec

from gradegap.balancing.events import EndpointEntry, EndpointList, EndpointListKind
from gradegap.node.decision_trace import DecisionTrace
from gradegap.node.operator_file import OperatorSettings
from tests.support.balancer_driver import BalancerDriver, settings


def test_trace_writes_event_and_actions_of_each_step_in_one_line() -> None:
    output = io.StringIO()
    driver = BalancerDriver(servers=3)
    driver.balancer = DecisionTrace(driver.balancer, output)  # type: ignore[assignment]
    driver.request()
    entries = tuple(EndpointEntry(f"x{i}") for i in range(100))
    driver.feed(EndpointList(EndpointListKind.DELTA, entries))
    first_line, second_line = output.getvalue().splitlines()
    event = "RequestArrived[request_id=1 class_name=live deadline_at=102]"
    assert first_line.startswith(f"step t=100.0000 in={event} out=")
    assert "CheckHealth[endpoint=" in first_line or "Forward[request_id=1" in first_line
    assert second_line.count("EndpointEntry[") == 64 and second_line.endswith(",+36)] out=")


def test_trace_writes_settings_as_json_at_start_and_each_change() -> None:
    output = io.StringIO()
    trace = DecisionTrace(BalancerDriver().balancer, output)
    trace.write_settings(settings())
    trace.adopt(settings(proxy_count=40))
    lines = output.getvalue().splitlines()
    assert [msgspec.json.decode(line.split(" ", 1)[1])["proxy_count"] for line in lines] == [10, 40]


def test_trace_table_of_operator_file_enables_trace() -> None:
    operator = msgspec.toml.decode(b"[trace]\n", type=OperatorSettings)
    assert operator.trace is not None and operator.trace.decisions
    assert msgspec.toml.decode(b"", type=OperatorSettings).trace is None
