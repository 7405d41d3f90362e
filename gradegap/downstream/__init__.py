"""The clients' side: client sessions, their first lines and their TCP channel.

Owns each client's connection from its first byte to its end. `session` is a client session on any channel,
`tcp_channel` the channel over TCP, `first_line` the limits before a request, `framing` the form of lines,
`interfaces` what a session needs of channels and of the part that resumes sessions.
"""
