"""Target size of the deployment: figures given by operations, and assumptions for those not given."""

from __future__ import annotations

# Given by operations
NODES = 1_600
CONNECTIONS = 100_000_000
GROUPS = 800_000
LARGEST_GROUP = 850_000
LINES_PER_S = 12_000_000
LINE_LATENCY_LIMIT_MS = 220.0  # latency limit for 99 in 100 lines
REGIONS = 7
ZONES = 16
CHANGES_PER_DAY = 1_200
IN_FORCE_S = 10.0
IN_FORCE_P99_OBJECTIVE_S = 1.0  # the project's own objective for an ordinary day
CONTROL_CORE_SHARE = 0.011
CONTROL_MEMORY_BYTES = 256e6
CONTROL_BYTES_PER_S = 3_000.0
CONTROL_MACHINES = 6
RESTARTS_PER_DAY = 220

# Assumed; the second value of each pair shows how much the verdicts depend on the assumption
SERVERS, SERVERS_2 = 600, 6_000
CONNECTION_LIFETIME_S, CONNECTION_LIFETIME_S_2 = 3_600.0, 600.0  # mean
LINE_BYTES, LINE_BYTES_2 = 100, 800
KEYS, KEYS_2 = 2_000, 20_000  # configuration keys; values of some 50 bytes
LIST_CHANGES_PER_DAY, LIST_CHANGES_PER_DAY_2 = 1_200, 86_400  # servers that change in the endpoint list
RACK_NODES = 40
SKEW = 2.0  # ratio of the fullest node, and of the largest zone, to the mean
REGION_RTT_MS, REGION_RTT_MS_2 = 80.0, 250.0
RECONNECT_S = 1.0  # period over which the clients of lost nodes reconnect

# Derived from the values above
CONNECTIONS_PER_NODE = CONNECTIONS / NODES
LINES_PER_NODE = LINES_PER_S / NODES
NODES_PER_ZONE = NODES / ZONES
NODES_PER_REGION = NODES / REGIONS
ARRIVALS_PER_NODE = CONNECTIONS_PER_NODE / CONNECTION_LIFETIME_S
ARRIVALS_PER_NODE_2 = CONNECTIONS_PER_NODE / CONNECTION_LIFETIME_S_2
CONNECTIONS_PER_SERVER = CONNECTIONS / SERVERS
DAY_S = 86_400.0
TCP_IP_HEADER_BYTES = 52  # headers of one segment, with the TCP timestamp option
