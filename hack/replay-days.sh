#!/usr/bin/env bash
# Runs the bench days that have failed before with the current code: days of the users, which are
# listed by name in test/days/failed.txt, and our own days in test/days/own, with each of their
# seeds and the traffic of a day of the site. Fails if a day breaks a rule, which the bench shows
# as a score of 0.
# usage: hack/replay-days.sh SYSTEM [BENCH]
# SYSTEM is the folder of the users' pages, with bin/ and sites/. BENCH is the path of the bench;
# the default is the one in SYSTEM. Only the newest bench runs all sites.
set -u
cd "$(dirname "$0")/.."
system=${1:?missing argument: the folder with bin/fleetbench and sites/}
bench=${2:-$system/bin/fleetbench}
failed=0

# site_file SITE: prints the path of the site's file.
site_file() { ls "$system"/*/"$1".toml 2>/dev/null | head -1; }

# report NAME LABEL: prints the result line of the day from the bench's output, which is read from
# standard input. A score of 0 or a missing line makes the script fail.
report() {
  local line
  line=$(grep -m1 "^$1 ")
  echo "$2: ${line:-was not played}"
  awk -v line="$line" 'BEGIN { split(line, column, " "); exit !(column[3] > 0) }' || failed=1
}

# setting NAME FILE: prints the value of the comment line "# NAME: VALUE" of an own day.
setting() { sed -n "s/^# $1: //p" "$2" | head -1; }

# read_traffic DAY SITE_FILE: prints the traffic section of a day of the site.
read_traffic() {
  awk -v name="name = \"$1\"" '
    $0 == "[[day]]" { within = 0 }
    $0 == name { within = 1 }
    within && $0 == "traffic = [" { copying = 1 }
    copying { print }
    copying && $0 == "]" { exit }' "$2"
}

while read -r site name symptom; do
  report "$name" "$site" < <("$bench" replay "$(site_file "$site")" "$name" --why "days that ever failed, again ($symptom)" 2>&1)
done < <(grep -v '^#' test/days/failed.txt)

days=$(mktemp -d)
trap 'rm -r "$days"' EXIT
for own in test/days/own/*/*.toml; do
  site=$(basename "$(dirname "$own")")
  name=$(basename "$own" .toml)
  { cat "$own"; read_traffic "$(setting traffic "$own")" "$(site_file "$site")"; } > "$days/$name.toml"
  for seed in $(setting seeds "$own"); do
    report "$name" "$site, seed $seed" < <("$bench" run "$(site_file "$site")" "$days/$name.toml" --no-cpu --seed "$seed" --why "own days that ever failed, again" 2>&1)
  done
done
exit $failed
