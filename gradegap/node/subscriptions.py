"""The server of subscriptions that a member of the store is given where it publishes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gradegap.store.settings import StoreSettings
    from gradegap.store.subscriptions import SubscriptionServerFactory


def subscription_server_factory(settings: StoreSettings) -> SubscriptionServerFactory | None:
    """What makes the server; none for a member without `publish`."""
    if not settings.publish:
        return None
    # Loaded here: a member that serves no subscriptions does without the memory of these modules.
    from gradegap.observer.server import PublisherServer

    return PublisherServer
