"""`python -m gradegap`: the command line; without arguments, it runs one node."""

import sys

if len(sys.argv) == 1:
    # The platform starts the node this way, on a fraction of a core. Not importing the libraries of the
    # command line, nor rich, which structlog imports for coloured tracebacks if it is installed, reduces the
    # time to start to a third.
    sys.modules["rich"] = None  # type: ignore[assignment]
    from gradegap.node.process import serve

    serve()
else:
    from gradegap.cli import app

    app(prog_name="gradegap")
