#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
../../.venv/bin/python case.py &
program=$!
trap 'kill "$program" 2>/dev/null' TERM INT
wait "$program"
code=$?
if kill -0 "$program" 2>/dev/null; then  # a signal ended the first wait
    wait "$program"
    code=$?
fi
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
