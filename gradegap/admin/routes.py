"""The paths of the admin API: which method and operation each has."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

import httptools

from gradegap.admin.operations import AdminOperations, AdminResult, ResultCallback

ENDPOINT_ID_MAX_CHARS = 256


class AdminError(Exception):
    """Base of this package's errors."""


class InvalidCallError(AdminError, ValueError):
    """A call that can't be carried out as it stands; `result` is its answer."""

    def __init__(self, status: HTTPStatus, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.result = AdminResult(status, text)
        self.allow = allow
        """Method that the path has, for the answer's `Allow`; empty where that isn't what is wrong."""


@dataclass(slots=True, frozen=True)
class NodeRoute:
    """A path that is about the node."""

    method: str
    operation: Callable[[AdminOperations, ResultCallback], None]


@dataclass(slots=True, frozen=True)
class EndpointRoute:
    """A path that is about the endpoint which it names."""

    method: str
    operation: Callable[[AdminOperations, str, ResultCallback], None]


NODE_ROUTES: dict[tuple[str, ...], NodeRoute] = {
    ("control", "ready"): NodeRoute("GET", lambda node, done: node.report_ready(done)),
    ("control", "configuration"): NodeRoute("GET", lambda node, done: node.report_configuration(done)),
    ("control", "in-force"): NodeRoute("GET", lambda node, done: node.report_in_force(done)),
    ("control", "out-of-service"): NodeRoute("PUT", lambda node, done: node.start_draining(done)),
    ("control", "in-service"): NodeRoute("PUT", lambda node, done: node.stop_draining(done)),
}

ENDPOINT_ROUTES = {
    "offline": EndpointRoute("PUT", lambda node, endpoint, done: node.disable_endpoint(endpoint, done)),
    "online": EndpointRoute("PUT", lambda node, endpoint, done: node.enable_endpoint(endpoint, done)),
}
"""By the last part of `/control/save-servers/ID/...`."""


def route(node: AdminOperations, method: str, target: bytes) -> Callable[[ResultCallback], None]:
    """The operation that a call asks for; raises `InvalidCallError`."""
    match path_parts(target):
        case ["control", "save-servers", endpoint, action] if action in ENDPOINT_ROUTES:
            if not 0 < len(endpoint) <= ENDPOINT_ID_MAX_CHARS or not endpoint.isprintable():
                raise InvalidCallError(HTTPStatus.BAD_REQUEST, "no id of a save server")
            endpoint_route = ENDPOINT_ROUTES[action]
            _check_method(method, endpoint_route.method)
            return lambda done: endpoint_route.operation(node, endpoint, done)
        case parts if node_route := NODE_ROUTES.get(tuple(parts)):
            _check_method(method, node_route.method)
            return lambda done: node_route.operation(node, done)
    raise InvalidCallError(HTTPStatus.NOT_FOUND, "no such call")


def path_parts(target: bytes) -> list[str]:
    """The path of a call's target, decoded part by part: an id may hold an escaped slash."""
    try:
        path = httptools.parse_url(target).path or b""
        return [unquote_to_bytes(part).decode() for part in path.split(b"/")[1:]]
    except (httptools.HttpParserError, UnicodeDecodeError):
        raise InvalidCallError(HTTPStatus.BAD_REQUEST, "a target that can't be read") from None


def _check_method(method: str, allowed: str) -> None:
    if method != allowed:
        raise InvalidCallError(HTTPStatus.METHOD_NOT_ALLOWED, f"asked for by {allowed}", allowed)
