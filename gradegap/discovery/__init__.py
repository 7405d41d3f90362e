"""Sources of the endpoint list: HTTP polls and watches, or DNS-SD records.

`http_discovery` (with `watch_schedule`, which decides what to poll and when) or `dns_sd_discovery` updates
the proxy's list; `endpoint_list` decodes the JSON form of the list. The package keeps the last valid entry of
each endpoint and the version of the list in memory only, so the full list is polled again after a restart.
"""
