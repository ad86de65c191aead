#!/usr/bin/env bash
# The fault soak: the seeds that ever failed, then fresh ones.
# usage: hack/soak.sh [FRESH] [DURATION]
set -u
cd "$(dirname "$0")/.."
fresh=${1:-3}
duration=${2:-30s}
failed=0
seeds=$(grep -v '^#' test/soak/seeds.txt | cut -d' ' -f1)
for _ in $(seq "$fresh"); do
  seeds="$seeds $((RANDOM * 32768 + RANDOM + 1))"
done
for seed in $seeds; do
  ./bin/clovertiller-lab soak --seed "$seed" --duration "$duration" >"out/soak-$seed.txt" 2>&1 || failed=1
  tail -1 "out/soak-$seed.txt"
  grep BROKEN "out/soak-$seed.txt"
done
exit $failed
