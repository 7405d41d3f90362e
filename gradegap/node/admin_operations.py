"""Operations that operators request through the admin API of a node.

During a hot restart, a request to the admin API of either process takes effect in both.
"""

from __future__ import annotations

from http import HTTPStatus

from gradegap.admin.operations import DONE, AdminResult, ResultCallback
from gradegap.hot_restart import AdminOperation, HotRestart
from gradegap.metrics import Metrics
from gradegap.node.committed_configuration import CommittedConfiguration
from gradegap.node.lifecycle import Lifecycle
from gradegap.proxy.proxy import Proxy

# Time after the request to take the node out of service by which all established connections are migrated.
DRAIN_TIME_S = 2.8
MAX_DISABLED_ENDPOINTS = 50  # limit of endpoints that operators may disable at the same time

NOT_READY = AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients")
UNKNOWN_ENDPOINT = AdminResult(HTTPStatus.NOT_FOUND, "no such save server")
TOO_MANY_DISABLED = AdminResult(
    HTTPStatus.SERVICE_UNAVAILABLE, f"{MAX_DISABLED_ENDPOINTS} save servers are out already"
)
NO_SUBSCRIPTION = AdminResult(HTTPStatus.NOT_FOUND, "this node has no subscription: see [observer]")
SHUTTING_DOWN = AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, "this process is leaving")


def apply_operation(proxy: Proxy, operation: str, endpoint: str) -> None:
    """Carry out an `AdminOperation` in this process.

    An operation that this version does not know, sent by a process of a later version, is ignored.
    """
    match operation:
        case AdminOperation.DISABLE_ENDPOINT:
            proxy.disable_endpoint(endpoint)
        case AdminOperation.ENABLE_ENDPOINT:
            proxy.enable_endpoint(endpoint)
        case AdminOperation.START_DRAIN:
            proxy.start_draining(DRAIN_TIME_S)
        case AdminOperation.STOP_DRAIN:
            proxy.stop_draining()


class NodeOperations:
    """The `AdminOperations` of a node.

    On a node with a store or a subscription, disabling or enabling an endpoint is committed to the store.
    """

    def __init__(
        self,
        proxy: Proxy,
        metrics: Metrics,
        lifecycle: Lifecycle,
        committed: CommittedConfiguration,
        hot_restart: HotRestart,
    ) -> None:
        self._proxy = proxy
        self._metrics = metrics
        self._lifecycle = lifecycle
        self._committed = committed
        self._hot_restart = hot_restart

    def report_ready(self, done: ResultCallback) -> None:
        """Report whether the node accepts clients."""
        done(DONE if self._lifecycle.is_ready else NOT_READY)

    def report_configuration(self, done: ResultCallback) -> None:
        """Report the committed revision that this node's decisions are based on, and its age."""
        subscription = self._committed.subscription
        done(NO_SUBSCRIPTION if subscription is None else subscription.describe())

    def report_in_force(self, done: ResultCallback) -> None:
        """Report whether the decisions of all nodes are based on the revision that this node has applied."""
        subscription = self._committed.subscription
        if subscription is None:
            done(NO_SUBSCRIPTION)
        else:
            subscription.report_in_force(done)

    def disable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """Stop forwarding requests to an endpoint, even if discovery lists it as ready."""
        disabled = self._proxy.disabled
        if len(disabled) >= MAX_DISABLED_ENDPOINTS and endpoint not in disabled:
            done(TOO_MANY_DISABLED)
        elif not self._is_known(endpoint):
            done(UNKNOWN_ENDPOINT)
        elif self._committed.source is not None:
            # The change takes effect only when it is committed, at this node as at every other node.
            self._committed.source.disable_endpoint(endpoint, done)
        else:
            self._apply_in_both_processes(AdminOperation.DISABLE_ENDPOINT, endpoint, done)

    def enable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """Resume forwarding requests to an endpoint that `disable_endpoint` has disabled."""
        if not self._is_known(endpoint):
            done(UNKNOWN_ENDPOINT)
        elif self._committed.source is not None:
            self._committed.source.enable_endpoint(endpoint, done)
        else:
            self._apply_in_both_processes(AdminOperation.ENABLE_ENDPOINT, endpoint, done)

    def _is_known(self, endpoint: str) -> bool:
        known = self._proxy.endpoints.get(endpoint)
        return known is not None and known.entry is not None

    def start_draining(self, done: ResultCallback) -> None:
        """Take the node out of service and migrate its clients."""
        self._change_drain_state(AdminOperation.START_DRAIN, done)

    def stop_draining(self, done: ResultCallback) -> None:
        """Put the node back in service."""
        self._change_drain_state(AdminOperation.STOP_DRAIN, done)

    def _change_drain_state(self, operation: AdminOperation, done: ResultCallback) -> None:
        apply_operation(self._proxy, operation, "")
        if self._lifecycle.is_shutting_down and not self._hot_restart.is_connected:
            done(SHUTTING_DOWN)
            return
        is_draining = self._proxy.drain_deadline is not None
        self._metrics.count("calls_out_of_service" if is_draining else "calls_in_service")
        self._hot_restart.apply_everywhere(operation, "", lambda: done(DONE))

    def _apply_in_both_processes(
        self, operation: AdminOperation, endpoint: str, done: ResultCallback
    ) -> None:
        """Apply an operation in each process of this node; `done` is called when both have applied it."""
        apply_operation(self._proxy, operation, endpoint)
        self._hot_restart.apply_everywhere(operation, endpoint, lambda: done(DONE))
