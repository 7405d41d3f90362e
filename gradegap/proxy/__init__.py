"""Requests, attempts and endpoints of one proxy: drives one `Balancer`, and knows no wire.

`Proxy` is the facade. What it passes on to, each part in a module of its own:

- `request`: `Request` and `Attempt`, with the ports through which clients and connections speak to them;
- `requests`: all requests, and the one final answer of each; `lifecycle`: their course;
- `attempts`: from the balancer's decision to forward to the end of the attempt;
- `endpoint`, `endpoints`: the endpoint list in force, with what an operator disabled;
- `health_checks`, `observations`: what is learned of endpoints;
- `inherited`, `adoption`: connections from before the run, and from another process of the node;
- `draining`, `unresponsive`: migration when the node or a connection comes to its end;
- `context`: settings, clock, counters and the balancer, shared by these.

Imports `balancing` and `metrics` only. Public names are those of `__all__`.
"""

from gradegap.proxy.endpoint import Endpoint
from gradegap.proxy.ports import HealthCheckDone, UpstreamPort
from gradegap.proxy.proxy import Proxy
from gradegap.proxy.request import (
    Attempt,
    ConnectionRequest,
    ConnectPort,
    InvalidRequestError,
    Request,
    RequestState,
    SessionPort,
)

__all__ = [
    "Attempt",
    "ConnectPort",
    "ConnectionRequest",
    "Endpoint",
    "HealthCheckDone",
    "InvalidRequestError",
    "Proxy",
    "Request",
    "RequestState",
    "SessionPort",
    "UpstreamPort",
]
