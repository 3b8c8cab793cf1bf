#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/standin-2 ] && [ -x ../../target/pimentoarch ] || { echo "build first" >&2; exit 2; }
../../bin/standin-2 restore . ../..
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
