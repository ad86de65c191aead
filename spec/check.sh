#!/usr/bin/env bash
# Checks every model, which must hold, and every mutant, which spin must refute. Installs
# spin from the Debian packages if it is missing. Prints one line for each model and each
# mutant: model, mutant, stored states, verdict.
set -eu
cd "$(dirname "$0")"
if ! command -v spin >/dev/null 2>&1; then
  apt-get update >/dev/null && apt-get install -y spin >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check runs one search and writes the numbers of stored states and of errors to files. It
# fails if the search was incomplete because it reached the limit of depth, memory or time.
check() { # model, options of pan, mutant or ""
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

report() { # model, mutant or "", expected verdict
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

# list_models prints one line for each model: name, options of pan, mutants. The option -E
# ignores invalid end states. It is needed where a process may wait forever for something
# that need not happen. The option -n only omits the list of unreached states.
list_models() {
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
rollout -n NO_RESERVE FRESH_LEADER BLIND_WRITE NO_EXPIRY EARLY_RELEASE NO_REMAINDER FORGETS_RESTART
LIST
}

while read -r model options mutants; do
  for mutant in "" $mutants; do
    (check "$model" "$options" "$mutant") &
  done
  wait
done < <(list_models)

failed=0
while read -r model options mutants; do
  report "$model" "" holds || failed=1
  for mutant in $mutants; do
    report "$model" "$mutant" refuted || failed=1
  done
done < <(list_models)
exit $failed
