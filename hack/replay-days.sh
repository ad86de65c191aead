#!/usr/bin/env bash
# Plays the days that ever failed again, on the code as it is: those of the users by name,
# and own ones (test/days/own) with each of their seeds and the traffic of a day of the site.
# Fails if one breaks a rule, which the bench shows by a score of 0.
# usage: hack/replay-days.sh SYSTEM [BENCH]   (the folder of the users' pages, with bin/
# and sites/; the bench, if not the one there: the newest plays all sites)
set -u
cd "$(dirname "$0")/.."
system=${1:?the folder with bin/fleetbench and sites/}
bench=${2:-$system/bin/fleetbench}
failed=0

sheet_of() { ls "$system"/*/"$1".toml 2>/dev/null | head -1; }

# report NAME LABEL: prints the line of the day in the bench's output, and notes a score of 0.
report() {
  local line
  line=$(grep -m1 "^$1 ")
  echo "$2: ${line:-was not played}"
  awk -v line="$line" 'BEGIN { split(line, column, " "); exit !(column[3] > 0) }' || failed=1
}

# setting NAME FILE: what a comment line at the head of an own day says.
setting() { sed -n "s/^# $1: //p" "$2" | head -1; }

# traffic_of DAY SHEET: the traffic of one of the site's days.
traffic_of() {
  awk -v name="name = \"$1\"" '
    $0 == "[[day]]" { within = 0 }
    $0 == name { within = 1 }
    within && $0 == "traffic = [" { copying = 1 }
    copying { print }
    copying && $0 == "]" { exit }' "$2"
}

while read -r site name symptom; do
  report "$name" "$site" < <("$bench" replay "$(sheet_of "$site")" "$name" --why "days that ever failed, again ($symptom)" 2>&1)
done < <(grep -v '^#' test/days/failed.txt)

days=$(mktemp -d)
trap 'rm -r "$days"' EXIT
for own in test/days/own/*/*.toml; do
  site=$(basename "$(dirname "$own")")
  name=$(basename "$own" .toml)
  { cat "$own"; traffic_of "$(setting traffic "$own")" "$(sheet_of "$site")"; } > "$days/$name.toml"
  for seed in $(setting seeds "$own"); do
    report "$name" "$site, seed $seed" < <("$bench" run "$(sheet_of "$site")" "$days/$name.toml" --no-cpu --seed "$seed" --why "own days that ever failed, again" 2>&1)
  done
done
exit $failed
