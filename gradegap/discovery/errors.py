"""What can go wrong with discovery; all of it leaves the last endpoint list in use."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of this package's errors."""


class InvalidEndpointError(DiscoveryError, ValueError):
    """An entry or record of an endpoint that can't be used; to be mended where the endpoint is registered."""


class DnsLookupError(DiscoveryError):
    """A name that could not be resolved now; it is looked up again after a backoff."""
