#!/usr/bin/env bash
# Runs the fault soak with the seeds that have failed before and then with new random seeds. The
# runs with new seeds also include requests that crash runners, suspended machines, signals from
# runners and restores of the store from backups.
# usage: hack/soak.sh [NUMBER_OF_NEW_SEEDS] [DURATION]
#        hack/soak.sh KIND NUMBER_OF_SEEDS [DURATION] [RUNS_AT_A_TIME] [FLAG...]
# With a KIND, such as --config-changes or --refusals, it runs the seeds from 1 on with this flag, and no others.
set -u
cd "$(dirname "$0")/.."
mkdir -p out
# run_kind KIND SEED DURATION [FLAG...]: runs one seed with the kind's flag.
run_kind() {
  local kind=$1 seed=$2 duration=$3 failed=0
  ./bin/clovertiller-lab soak "$kind" --seed "$seed" --duration "$duration" "${@:4}" >"out/soak-$seed.txt" 2>&1 || failed=1
  tail -1 "out/soak-$seed.txt"
  grep -E 'BROKEN| refusals: [0-9]+ calls' "out/soak-$seed.txt"
  return $failed
}
if [[ "${1:-}" = --* ]]; then
  export -f run_kind
  seq "${2:?the number of seeds}" | xargs -P "${4:-2}" -I{} bash -c 'kind=$1; shift; run_kind "$kind" {} "$@"' _ "$1" "${3:-20s}" "${@:5}"
  exit
fi
new_seeds=${1:-3}
duration=${2:-30s}
failed=0
# run_seed SEED [FLAG...]: runs one seed and prints its summary and the broken promises.
run_seed() {
  ./bin/clovertiller-lab soak --seed "$1" --duration "$duration" "${@:2}" >"out/soak-$1.txt" 2>&1 || failed=1
  tail -1 "out/soak-$1.txt"
  grep BROKEN "out/soak-$1.txt"
}
while read -r seed cause; do
  case "$cause" in
    "(poison)"*) run_seed "$seed" --poison --suspensions ;;
    "(restores)"*) run_seed "$seed" --restores ;;
    "(restores, suspensions)"*) run_seed "$seed" --restores --suspensions ;;
    "(late operator)"*) run_seed "$seed" --restores --late-operator ;;
    "(late operator, all)"*) run_seed "$seed" --restores --late-operator --poison --suspensions --signals ;;
    "(rollouts)"*) run_seed "$seed" --rollouts ;;
    "(rollouts, regions)"*) run_seed "$seed" --rollouts --regions ;;
    "(versions, returns, weights)"*) run_seed "$seed" --versions --returns --weights ;;
    "(versions, stale gateways)"*) run_seed "$seed" --versions --stale-gateways ;;
    "(versions, rollouts, signals)"*) run_seed "$seed" --versions --rollouts --signals ;;
    *) run_seed "$seed" ;;
  esac
done < <(grep -v '^#' test/soak/seeds.txt)
for _ in $(seq "$new_seeds"); do
  run_seed $((RANDOM * 32768 + RANDOM + 1)) --poison --suspensions --signals --restores --late-operator --versions --broken-answers
done
exit $failed
