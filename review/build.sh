#!/usr/bin/env bash
# Builds what the cases start besides the program: the stand-ins in review/common, which are plain Python and
# need only the packages that the deploy file's build has installed.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
