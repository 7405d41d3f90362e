"""Client sessions, their first lines and their TCP channels.

Owns each client's connection from its first byte to its end. `session` has the client session, which works on
any channel; `tcp_channel` the channel over TCP; `first_line` the limits on time and size before a request;
`framing` the parser of first lines; `interfaces` the interfaces of channels and of session resumption.
"""
