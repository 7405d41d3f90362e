"""Selects the subscription server of a store member, which needs one only if it has `store.publish`."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gradegap.store.settings import StoreSettings
    from gradegap.store.subscriptions import SubscriptionServerFactory


def subscription_server_factory(settings: StoreSettings) -> SubscriptionServerFactory | None:
    """Return the factory of the subscription server; None for a member without `publish`."""
    if not settings.publish:
        return None
    # Imported here, so that a member that serves no subscriptions does not need the memory of these modules.
    from gradegap.observer.server import PublisherServer

    return PublisherServer
