#!/usr/bin/env bash
# Compiles the cases and the stand-ins that they use, after the build of the deploy file; nothing is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review tests/support
