#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python and need only the environment of the deploy file's `build` line.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
