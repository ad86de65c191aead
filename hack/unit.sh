#!/usr/bin/env bash
# Runs all tests. Those that KNOWN-RED.txt lists may fail and are printed; any other
# failure, also one of a build, fails.
set -u
cd "$(dirname "$0")/.."
output=$(mktemp)
trap 'rm -f "$output"' EXIT
"${GO:-go}" test -count=1 ./... 2>&1 | tee "$output"
[ "${PIPESTATUS[0]}" = 0 ] && exit 0
failed=$(sed -n 's/^--- FAIL: \([^ ]*\).*/\1/p' "$output" | sort -u)
[ -n "$failed" ] || exit 1
grep -qE 'build failed|setup failed|^panic:|timed out|^signal:|^exit status' "$output" && exit 1
for test in $failed; do
  grep -q "^$test:" KNOWN-RED.txt 2>/dev/null || exit 1
  echo "known red: $(grep "^$test:" KNOWN-RED.txt)"
done
