#!/usr/bin/env bash
# Runs all tests. Failures that are listed in KNOWN-RED.txt are printed and tolerated. Any other
# failure, including a failed build, makes the script fail. A ginkgo spec is listed as
# TEST/TEXT OF THE SPEC.
set -u
cd "$(dirname "$0")/.."
# All packages share the processors: the slowest ones take nine minutes on eight of them.
timeout=15m
output=$(mktemp)
trap 'rm -f "$output"' EXIT
go=${GO:-go}
# The tests of hostile clients measure the memory of processes, and run apart from other load.
"$go" test -count=1 -timeout "$timeout" $("$go" list ./... | grep -v '/test/hostile$') 2>&1 | tee "$output"
status=${PIPESTATUS[0]}
"$go" test -count=1 -timeout "$timeout" ./test/hostile 2>&1 | tee -a "$output"
[ "$status" = 0 ] && [ "${PIPESTATUS[0]}" = 0 ] && exit 0
failed=$(sed -n 's/^--- FAIL: \([^ ]*\).*/\1/p' "$output" | sort -u)
[ -n "$failed" ] || exit 1
grep -qE 'build failed|setup failed|^panic:|timed out|^signal:|^exit status' "$output" && exit 1
# known_red TEST: prints the entry of the test in KNOWN-RED.txt, or exits if there is none.
known_red() {
  grep -F "$1:" KNOWN-RED.txt 2>/dev/null | grep "^${1%%/*}" | sed 's/^/known red: /' | grep . || exit 1
}
specs=$(sed 's/\x1b\[[0-9;]*m//g' "$output" | sed -n 's/^ *\[FAIL\] .*\[It\] //p' | sort -u)
for test in $failed; do
  if [ "$test" != TestProve ]; then
    known_red "$test"
    continue
  fi
  [ -n "$specs" ] || exit 1
  while read -r spec; do known_red "$test/$spec"; done <<<"$specs"
done
