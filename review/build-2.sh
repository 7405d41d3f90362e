#!/bin/sh
# Compiles the stand-ins that the scripts of review/6 to review/10 start: the project's own and those here.
# Needs the build of deploy/balancer.toml, and no network.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q gradegap tests/support review/stand2.py review/6 review/7 review/8 review/9 review/10
