#!/usr/bin/env bash
# The fault soak: the seeds that ever failed, then fresh ones, these with contents that end
# runners, with suspended machines, with runners that speak of themselves and with a store that
# comes back from copies.
# usage: hack/soak.sh [FRESH] [DURATION]
set -u
cd "$(dirname "$0")/.."
fresh=${1:-3}
duration=${2:-30s}
failed=0
play() {
  ./bin/clovertiller-lab soak --seed "$1" --duration "$duration" "${@:2}" >"out/soak-$1.txt" 2>&1 || failed=1
  tail -1 "out/soak-$1.txt"
  grep BROKEN "out/soak-$1.txt"
}
while read -r seed cause; do
  case "$cause" in
    "(poison)"*) play "$seed" --poison --suspensions ;;
    "(restores)"*) play "$seed" --restores ;;
    "(restores, suspensions)"*) play "$seed" --restores --suspensions ;;
    "(late operator)"*) play "$seed" --restores --late-operator ;;
    "(late operator, all)"*) play "$seed" --restores --late-operator --poison --suspensions --signals ;;
    *) play "$seed" ;;
  esac
done < <(grep -v '^#' test/soak/seeds.txt)
for _ in $(seq "$fresh"); do
  play $((RANDOM * 32768 + RANDOM + 1)) --poison --suspensions --signals --restores --late-operator
done
exit $failed
