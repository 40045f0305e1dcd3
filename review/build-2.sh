#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file: the stand-ins are Python of the standard
# library, so it only compiles them, and checks that the program can be imported. It needs no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10
.venv/bin/python -c "import asyncio, sqlite3, tomllib, astertrack.app"
