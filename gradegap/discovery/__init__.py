"""Where the endpoint list comes from: HTTP polls and watches, or DNS-SD records."""
