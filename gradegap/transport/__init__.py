"""What both sides of the network share.

Owns the budget of file descriptors (`descriptors`) and the connects under way (`dialer`). `sockets` has flow
control and socket options, `lines` the length and the numbers of the protocol's lines, `addresses` host and
port. Knows no other package but `metrics`.
"""
