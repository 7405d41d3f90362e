"""What operators can have a node do, by its admin API or by that of its other process."""

from __future__ import annotations

from http import HTTPStatus

from gradegap.admin.operations import DONE, AdminResult, ResultCallback
from gradegap.hot_restart import AdminOperation, HotRestart
from gradegap.metrics import Metrics
from gradegap.node.committed_configuration import CommittedConfiguration
from gradegap.node.lifecycle import Lifecycle
from gradegap.proxy.proxy import Proxy

DRAIN_TIME_S = 2.8  # from the call out of service until nothing is established here
MAX_DISABLED_ENDPOINTS = 50  # at once

NOT_READY = AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients")
UNKNOWN_ENDPOINT = AdminResult(HTTPStatus.NOT_FOUND, "no such save server")
TOO_MANY_DISABLED = AdminResult(
    HTTPStatus.SERVICE_UNAVAILABLE, f"{MAX_DISABLED_ENDPOINTS} save servers are out already"
)
NO_SUBSCRIPTION = AdminResult(HTTPStatus.NOT_FOUND, "this node has no subscription: see [observer]")
LEAVING = AdminResult(HTTPStatus.SERVICE_UNAVAILABLE, "this process is leaving")


def apply_operation(proxy: Proxy, operation: str, endpoint: str) -> None:
    """Carry out an `AdminOperation` in this process; others, of a later version, are ignored."""
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
    """A node's `AdminOperations`; with a store, a disabled endpoint is committed there."""

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
        """Whether the node takes clients."""
        done(DONE if self._lifecycle.is_ready else NOT_READY)

    def report_configuration(self, done: ResultCallback) -> None:
        """Which committed revision this node decides by, and how old that is."""
        subscription = self._committed.subscription
        done(NO_SUBSCRIPTION if subscription is None else subscription.describe())

    def report_in_force(self, done: ResultCallback) -> None:
        """Whether all nodes decide by the revision that this one has."""
        subscription = self._committed.subscription
        if subscription is None:
            done(NO_SUBSCRIPTION)
        else:
            subscription.report_in_force(done)

    def disable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """Forward nothing more to an endpoint, whatever discovery says of it."""
        disabled = self._proxy.disabled
        if len(disabled) >= MAX_DISABLED_ENDPOINTS and endpoint not in disabled:
            done(TOO_MANY_DISABLED)
        elif not self._is_known(endpoint):
            done(UNKNOWN_ENDPOINT)
        elif self._committed.source is not None:
            # In force here as at every other node: once it is committed, and not before.
            self._committed.source.disable_endpoint(endpoint, done)
        else:
            self._apply_in_both(AdminOperation.DISABLE_ENDPOINT, endpoint, done)

    def enable_endpoint(self, endpoint: str, done: ResultCallback) -> None:
        """End what `disable_endpoint` began."""
        if not self._is_known(endpoint):
            done(UNKNOWN_ENDPOINT)
        elif self._committed.source is not None:
            self._committed.source.enable_endpoint(endpoint, done)
        else:
            self._apply_in_both(AdminOperation.ENABLE_ENDPOINT, endpoint, done)

    def _is_known(self, endpoint: str) -> bool:
        known = self._proxy.endpoints.get(endpoint)
        return known is not None and known.entry is not None

    def start_draining(self, done: ResultCallback) -> None:
        """Take the node out of service: its clients are migrated."""
        self._change_service(AdminOperation.START_DRAIN, done)

    def stop_draining(self, done: ResultCallback) -> None:
        """Put the node back in service."""
        self._change_service(AdminOperation.STOP_DRAIN, done)

    def _change_service(self, operation: AdminOperation, done: ResultCallback) -> None:
        apply_operation(self._proxy, operation, "")
        if self._lifecycle.is_leaving and not self._hot_restart.is_connected:
            done(LEAVING)
            return
        drains = self._proxy.drain_deadline is not None
        self._metrics.count("calls_out_of_service" if drains else "calls_in_service")
        self._hot_restart.apply_everywhere(operation, "", lambda: done(DONE))

    def _apply_in_both(self, operation: AdminOperation, endpoint: str, done: ResultCallback) -> None:
        """Done once it is in force in each process of this node."""
        apply_operation(self._proxy, operation, endpoint)
        self._hot_restart.apply_everywhere(operation, endpoint, lambda: done(DONE))
