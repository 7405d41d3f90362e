"""Errors of discovery; after each of them the last endpoint list stays in use."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base class of the errors of this package."""


class InvalidEndpointError(DiscoveryError, ValueError):
    """An endpoint's entry or record is invalid and has to be corrected where the endpoint is registered."""


class DnsLookupError(DiscoveryError):
    """A DNS name could not be resolved; the lookup is repeated after a backoff."""
