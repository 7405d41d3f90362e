"""Where the endpoint list comes from: HTTP polls and watches, or DNS-SD records.

`http_discovery` (with `watch_schedule`, which decides what to poll and when) or `dns_sd_discovery` keeps the
proxy's list; `endpoint_list` is its form in JSON. Owns the last good entry of each endpoint and the version
of the list, both in memory: after a start, the full list is polled again.
"""
