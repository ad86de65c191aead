#!/usr/bin/env bash
# Checks every model, which must hold, and every mutant, which spin must refute.
# Installs spin from Debian's packages where it is missing. Prints one line each:
# model, mutant, states stored, verdict.
set -eu
cd "$(dirname "$0")"
if ! command -v spin >/dev/null 2>&1; then
  apt-get update >/dev/null && apt-get install -y spin >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# The search ends with an error when it is cut short, in depth, memory or time.
check() { # model, options of the search, definition or nothing
  local dir="$work/$1-$3"
  mkdir "$dir"
  cp "$1.pml" "$dir/"
  cd "$dir"
  spin ${3:+-D$3} -a "$1.pml" >spin.log
  cc -w -O2 -DSAFETY -DMEMLIM=1500 -o pan pan.c
  timeout 240 ./pan $2 -m500000 >pan.log
  ! grep -qE "max search depth too small|memory limit" pan.log
  sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log >states
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log >errors
}

report() { # model, definition or nothing, wanted verdict
  local dir="$work/$1-$2" verdict=holds
  if [ ! -s "$dir/errors" ]; then
    verdict="SEARCH FAILED"
    cat "$dir"/*.log >&2
  elif [ "$(cat "$dir/errors")" != 0 ]; then
    verdict=refuted
  fi
  printf '%-8s %-16s %10s states  %s\n' "$1" "$2" "$(cat "$dir/states" 2>/dev/null)" "$verdict"
  [ "$verdict" = "$3" ] || { echo "  WANTED: $3"; return 1; }
}

# model, options (processes may wait for ever for what need not happen: -E), mutants
list() {
  cat <<'LIST'
claim -E NO_HORIZON KEEP_ATTEMPT NO_SEAL ANY_HANDOVER NO_INCARNATION NO_RESET
lease -E NO_FENCE NO_PRECONDITION
config -E OLD_LIST NO_TOMBSTONE SKIP_GAP
drain -n NO_WAIT LATE_ACCEPT DEAF
proof -E AT_ANSWER NO_AGE FROM_ARRIVAL
relay -E HEARSAY FROM_ARRIVAL ANY_VERSION
quota -E RESTART_FULL TAKE_OVER NO_DEBT
permit -E NO_HOLD NO_END STAYS
restore -E NO_ERA NO_WAIT ANY_ERA
LIST
}

while read -r model options mutants; do
  for definition in "" $mutants; do
    (check "$model" "$options" "$definition") &
  done
  wait
done < <(list)

failed=0
while read -r model options mutants; do
  report "$model" "" holds || failed=1
  for definition in $mutants; do
    report "$model" "$definition" refuted || failed=1
  done
done < <(list)
exit $failed
