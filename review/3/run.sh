#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 ../bin/staleparts . ../../target/clovertiller-gateway
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
