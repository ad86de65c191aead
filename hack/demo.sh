#!/usr/bin/env bash
# Runs both workloads against real processes on loopback: a simulated platform, eight
# simulated engines, and three routers in three zones. One engine is killed and one router is
# restarted during the run. All processes are stopped at the end.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
pids=()
cleanup() {
  trap - EXIT INT TERM
  [ -s "$out/pid" ] && pids+=("$(cat "$out/pid")")
  kill "${pids[@]}" $(jobs -p) 2>/dev/null || true
  wait 2>/dev/null || true
  # The restarted router is no child of this shell.
  if [ -s "$out/pid" ]; then while kill -0 "$(cat "$out/pid")" 2>/dev/null; do sleep 0.05; done; fi
  # Keep the logs of a failed run.
  if [ "${code:-1}" != 0 ]; then mkdir -p out && rm -rf out/demo-failed && cp -r "$out" out/demo-failed; fi
  rm -rf "$out"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

platform=127.0.0.1:7700
routers=127.0.0.1:7801,127.0.0.1:7802,127.0.0.1:7803

start_router() { # number, zone
  ./bin/clovertiller router --node "router-$1" --zone "$2" --http "127.0.0.1:780$1" --peer "127.0.0.1:790$1" \
    --platform $platform --seed 127.0.0.1:7901 --seed 127.0.0.1:7902 --seed 127.0.0.1:7903 2>>"$out/router-$1.log" &
  router_pid=$!
  pids+=($router_pid)
}
wait_until() { # timeout in seconds, command
  for _ in $(seq $(($1 * 20))); do
    if "${@:2}" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "demo: timed out waiting for: ${*:2}" >&2
  tail -n 5 "$out"/*.log >&2
  return 1
}
serving() { [ "$(./bin/clovertiller get runner --platform $platform -o json | grep -c '"reason": "serving"')" = 8 ]; }
ready() { curl -fs "http://127.0.0.1:780$1/readyz"; }

./bin/clovertiller-lab platform --listen $platform & pids+=($!)
for i in 0 1 2 3 4; do
  ./bin/clovertiller-lab engine --listen 127.0.0.1:781$i --platform $platform & pids+=($!)
  # Without disown the shell would report the end of this job after the summary line.
  [ $i = 1 ] && victim=$! && disown $!
done
for i in 0 1 2; do
  ./bin/clovertiller-lab engine --listen 127.0.0.1:782$i --platform $platform & pids+=($!)
done
start_router 1 zone-a
start_router 2 zone-b
start_router 3 zone-c
restarted=$router_pid
wait_until 10 ./bin/clovertiller get tier --platform $platform
./bin/clovertiller apply -f examples/demo.yaml --platform $platform | tail -n 1
for i in 1 2 3; do wait_until 10 ready $i; done
wait_until 20 serving
./bin/clovertiller status --router 127.0.0.1:7801

code=0
{ ./bin/clovertiller-lab load --routers $routers --platform $platform --requests "${REQUESTS:-1500}" --concurrency 32 --name demo || echo failed; } |
while read -r line; do
  case "$line" in
    "progress 30") echo "demo: killing engine penyiar-1"; kill -9 "$victim" ;;
    "progress 50") echo "demo: restarting router-3"; kill -TERM "$restarted" ;;
    "progress 60") while kill -0 "$restarted" 2>/dev/null; do sleep 0.05; done
      start_router 3 zone-c; echo "$router_pid" >"$out/pid" ;;
    progress*) ;;
    failed) exit 1 ;;
    *) echo "$line" ;;
  esac
done || code=$?
exit $code
