"""Requests, attempts and endpoints of one proxy. Drives one `Balancer`, independent of network protocols.

`Proxy` is the facade. It delegates to these modules:

- `request`: `Request` and `Attempt`, and the interfaces of the network code that serves them;
- `requests`: the table of all requests, and the final answer of each; `lifecycle`: the course of a request;
- `attempts`: attempts, from the balancer's decision to forward to their end;
- `endpoint`, `endpoints`: the endpoint list in force, including the endpoints that operators disabled;
- `health_checks`, `observations`: health checks, load reports and observations of endpoints;
- `inherited`, `adoption`: connections that predate the run, and connections from another process of the node;
- `draining`, `unresponsive`: migration when the node drains or a connection is unresponsive;
- `context`: settings, clock, counters and the balancer, shared by the other modules;
- `ports`: the interface of the network code that connects to endpoints.

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
