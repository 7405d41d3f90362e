"""The `[trace]` table: every step of the balancer on standard error, and the balancer none the wiser."""

from __future__ import annotations

import io

import msgspec

from gradegap.balancing.events import EndpointEntry, EndpointList, EndpointListKind
from gradegap.node.decision_trace import DecisionTrace
from gradegap.node.operator_file import OperatorSettings
from tests.support.balancer_driver import BalancerDriver, settings


def test_each_step_is_one_line_with_what_went_in_and_came_out() -> None:
    out = io.StringIO()
    driver = BalancerDriver(servers=3)
    driver.balancer = DecisionTrace(driver.balancer, out)  # type: ignore[assignment]
    driver.request()
    entries = tuple(EndpointEntry(f"x{i}") for i in range(100))
    driver.feed(EndpointList(EndpointListKind.DELTA, entries))
    first, second = out.getvalue().splitlines()
    event = "RequestArrived[request_id=1 class_name=live deadline_at=102]"
    assert first.startswith(f"step t=100.0000 in={event} out=")
    assert "CheckHealth[endpoint=" in first or "Forward[request_id=1" in first
    assert second.count("EndpointEntry[") == 64 and second.endswith(",+36)] out=")


def test_the_settings_are_written_as_json_at_the_start_and_at_each_change() -> None:
    out = io.StringIO()
    trace = DecisionTrace(BalancerDriver().balancer, out)
    trace.write_settings(settings())
    trace.adopt(settings(proxy_count=40))
    lines = out.getvalue().splitlines()
    assert [msgspec.json.decode(line.split(" ", 1)[1])["proxy_count"] for line in lines] == [10, 40]


def test_the_table_is_read_from_the_operator_s_file() -> None:
    read = msgspec.toml.decode(b"[trace]\n", type=OperatorSettings)
    assert read.trace is not None and read.trace.decisions
    assert msgspec.toml.decode(b"", type=OperatorSettings).trace is None
