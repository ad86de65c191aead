#!/usr/bin/env bash
# Plays the days that ever failed again, on the code as it is; fails if one
# breaks a rule, which the bench shows by a score of 0.
# usage: hack/replay-days.sh SYSTEM [BENCH]   (the folder of the users' pages, with bin/
# and sites/; the bench, if not the one there: the newest plays all sites)
set -u
cd "$(dirname "$0")/.."
system=${1:?the folder with bin/fleetbench and sites/}
bench=${2:-$system/bin/fleetbench}
failed=0
while read -r site name symptom; do
  sheet=$(ls "$system"/*/"$site".toml 2>/dev/null | head -1)
  line=$("$bench" replay "$sheet" "$name" --why "days that ever failed, again ($symptom)" 2>&1 | grep -m1 "^$name ")
  echo "$site: ${line:-$name was not played}"
  awk -v line="$line" 'BEGIN { split(line, column, " "); exit !(column[3] > 0) }' || failed=1
done < <(grep -v '^#' test/days/failed.txt)
exit $failed
