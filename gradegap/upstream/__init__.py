"""The endpoints' side: dialled connections, attempts on the wire and health checks."""
