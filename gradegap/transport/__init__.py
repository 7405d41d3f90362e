"""Network code shared by the connections to clients and to endpoints.

Owns the budget of file descriptors (`descriptors`) and the connects in progress (`dialer`). `sockets` has
flow control and socket options, `lines` the length limit and the number format of the protocol's lines,
`addresses` the parser of network addresses. Imports no other package than `metrics`.
"""
