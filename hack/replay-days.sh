#!/usr/bin/env bash
# Plays the days that ever failed again, on the code as it is; fails if one
# breaks a rule, which the bench shows by a score of 0.
# usage: hack/replay-days.sh SYSTEM   (the folder of the users' pages, with bin/ and sites/)
set -u
cd "$(dirname "$0")/.."
system=${1:?the folder with bin/fleetbench and sites/}
failed=0
while read -r site name symptom; do
  sheet=$(ls "$system"/sites/"$site".toml "$system"/grown/"$site".toml 2>/dev/null | head -1)
  line=$("$system"/bin/fleetbench replay "$sheet" "$name" --why "days that ever failed, again ($symptom)" 2>&1 | grep -m1 "^$name ")
  echo "$site: ${line:-$name was not played}"
  awk -v line="$line" 'BEGIN { split(line, column, " "); exit !(column[3] > 0) }' || failed=1
done < <(grep -v '^#' test/days/failed.txt)
exit $failed
