"""Paths of the admin API with their methods and operations."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

import httptools

from gradegap.admin.operations import AdminOperations, AdminResult, ResultCallback

ENDPOINT_ID_MAX_CHARS = 256


class AdminError(Exception):
    """Base class of the errors of this package."""


class InvalidCallError(AdminError, ValueError):
    """An invalid call; `result` is its answer."""

    def __init__(self, status: HTTPStatus, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.result = AdminResult(status, text)
        self.allow = allow
        """Value of the answer's `Allow` header: the path's method; empty unless the method is wrong."""


@dataclass(slots=True, frozen=True)
class NodeRoute:
    """Method and operation of a path that concerns the node."""

    method: str
    operation: Callable[[AdminOperations, ResultCallback], None]


@dataclass(slots=True, frozen=True)
class EndpointRoute:
    """Method and operation of a path that names an endpoint."""

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
"""Routes by the last part of `/control/save-servers/ID/...`."""


def route(node: AdminOperations, method: str, target: bytes) -> Callable[[ResultCallback], None]:
    """Find the operation of a call.

    Raises:
        InvalidCallError: if the path, its endpoint id or the method is invalid.
    """
    match path_parts(target):
        case ["control", "save-servers", endpoint, action] if action in ENDPOINT_ROUTES:
            if not 0 < len(endpoint) <= ENDPOINT_ID_MAX_CHARS or not endpoint.isprintable():
                raise InvalidCallError(HTTPStatus.BAD_REQUEST, "save server id invalid")
            endpoint_route = ENDPOINT_ROUTES[action]
            _check_method(method, endpoint_route.method)
            return lambda done: endpoint_route.operation(node, endpoint, done)
        case parts if node_route := NODE_ROUTES.get(tuple(parts)):
            _check_method(method, node_route.method)
            return lambda done: node_route.operation(node, done)
    raise InvalidCallError(HTTPStatus.NOT_FOUND, "no such call")


def path_parts(target: bytes) -> list[str]:
    """Split the path of a request target, then decode each part: an id may contain an escaped slash.

    Raises:
        InvalidCallError: if the target is not a valid URL, or a part is not valid UTF-8.
    """
    try:
        path = httptools.parse_url(target).path or b""
        return [unquote_to_bytes(part).decode() for part in path.split(b"/")[1:]]
    except (httptools.HttpParserError, UnicodeDecodeError):
        raise InvalidCallError(
            HTTPStatus.BAD_REQUEST, "request target must be a valid URL in UTF-8"
        ) from None


def _check_method(method: str, allowed: str) -> None:
    if method != allowed:
        raise InvalidCallError(
            HTTPStatus.METHOD_NOT_ALLOWED, f"method must be {allowed}, got {method}", allowed
        )
