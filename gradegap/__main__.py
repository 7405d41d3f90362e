"""`python -m gradegap`: the command line, and one node where no argument is given."""

import sys

if len(sys.argv) == 1:
    # What the platform starts, on a part of a core: without the command line's libraries, and without rich,
    # which structlog loads where it is there, for tracebacks in colour. A third of the time to start.
    sys.modules["rich"] = None  # type: ignore[assignment]
    from gradegap.node.process import serve

    serve()
else:
    from gradegap.cli import app

    app(prog_name="gradegap")
