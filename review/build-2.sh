#!/bin/sh
# Builds what the cases 6 to 10 start: their stand-ins are Python and need the environment of the deploy file only.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -m compileall -q review/common-2
