"""Scale tests: many hollow nodes against real control machines, slopes of single operations, capacity page.

A hollow node has the control side of a node (balancer, discovery, subscription) without its data side, so
that hundreds of them share a process. `control` runs them, `slopes` measures single operations, and `page`
writes docs/CAPACITY.md from the results of both.
"""
