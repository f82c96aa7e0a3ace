#!/bin/bash
# Measures the limits of the load generator and of the dispatcher, with each process on cores of its own.
#   loadtest_limits.sh BUILD generator                      highest rate of the generator against a stub frontend
#   loadtest_limits.sh BUILD limit FRONT BYTES [SECONDS]    highest rate of the dispatcher, confirmed for SECONDS (60)
#   loadtest_limits.sh BUILD profile FRONT BYTES RATE       perf profile of the dispatcher at RATE messages a second
# BUILD is a Release build folder with sagetally-loadtest, BYTES the size of a body, and FRONT the ingress protocol:
# platform, binary, structured or batched. The environment variables PROBE (3) and CONFIRM (20) set the seconds of a
# probe and of the confirmation in `generator`.
set -euo pipefail
build=$(realpath "$1")
command=$2
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
cd "$work"
loadtest=$build/sagetally-loadtest
# wait_for PATTERN FILE: waits until a line of FILE matches, for 500 * 20 ms at most. Fails with the content of FILE.
wait_for() { for _ in $(seq 500); do grep -q "$1" "$2" && return; sleep 0.02; done; cat "$2"; exit 1; }

if [ "$command" = generator ]; then
  taskset -c 3 "$loadtest" standin front >front.log 2>&1 &
  pids+=($!)
  wait_for frontend.ready front.log
  port=$(sed -n 's/.* frontend.ready port=//p' front.log)
  for cores in 0 0,1; do
    threads=$(( (${#cores} + 1) / 2 ))
    echo "generator on $threads core(s), stub frontend on one:"
    taskset -c "$cores" "$loadtest" limit --targets "127.0.0.1:$port" --connections 64 --threads "$threads" --from 2000 --to 200000 \
      --probe-s "${PROBE:-3}" --confirm-s "${CONFIRM:-20}" --p99-ms 1000000 --lag-p99-ms 1 --answer_ms 0 --hand_ins_again 0 || true
  done
  exit
fi

front=$3
bytes=$4
cat >stubs.json <<J
{"partners": [{"uid": "s-0", "destination": 0}, {"uid": "s-1", "destination": 1}, {"uid": "s-2", "destination": 2}],
 "agent": {}, "sink": {}}
J
taskset -c 1 "$loadtest" standin partner agent sink --file stubs.json >stubs.log 2>&1 &
pids+=($!)
wait_for sink.ready stubs.log
agent=$(sed -n 's/.* agent.ready port=//p' stubs.log)
sink=$(sed -n 's/.* sink.ready port=//p' stubs.log)
targets=""
for i in 0 1 2; do
  port=$(sed -n "s/.* partner.ready uid=s-$i .*port=//p" stubs.log)
  targets+="${targets:+,}{\"uid\":\"s-$i\",\"endpoint\":\"127.0.0.1:$port\",\"az\":\"a\",\"model\":\"partner\",\"pod_group\":$i,\"state\":\"in_service\",\"capacity_hint\":100000,\"boot_ms\":0}"
done
mkdir state
cat >n0.json <<J
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:$agent","state":"$work/state","seed":"1",
 "limits":{"disk_mb":2000,"memory_mb":1000,"sockets":4096},
 "known":{"rev":1,"all":true,"targets":[$targets]},
 "settings":{"flavors":["partner"],"zones":["a"],
  "grades":[{"name":"aviso","slo":2000,"deadline":24000,"idempotency":"pure","credit":1}],
  "specifics":{"callsOut":400},"caps":{"mostHeld":20000,"maxAttempts":6,"connIdle":15000,"connectTimeout":1500},
  "rules":{"coldShare":0.3,"fallMultiple":1.5,"tipAfter":1500,"warmWithin":11000}}}
J
echo "{\"cloudevents\":{\"listen\":\"127.0.0.1:0\",\"sink\":\"127.0.0.1:$sink\"}}" >node.json
taskset -c 0 "$build/sagetally" serve --config n0.json --node-file node.json >n0.log 2>&1 &
node=$!
pids+=("$node")
wait_for " ready name=" n0.log
if [ "$front" = platform ]; then
  port=$(sed -n 's/.* ready name=n0 port=//p' n0.log)
  front_options=(--front platform)
else
  port=$(sed -n 's/.* cloudevents.ready .*port=//p' n0.log)
  front_options=(--front events --mode "$front")
fi
if [ "$command" = profile ]; then
  taskset -c 2,3 "$loadtest" load --targets "127.0.0.1:$port" "${front_options[@]}" --body_bytes "{\"kind\":\"constant\",\"value\":$bytes}" \
    --destinations.count 3 --connections 128 --threads 2 --arrivals.rate "$5" --seconds 10 &
  pids+=($!)
  perf record -o perf.data -g -p "$node" -- sleep 8 >/dev/null 2>&1
  perf report -i perf.data --no-children --stdio 2>/dev/null | grep -v '^#' | grep '%' | head -40
  exit
fi
echo "dispatcher on one core, $front, bodies of $bytes bytes:"
taskset -c 2,3 "$loadtest" limit --targets "127.0.0.1:$port" "${front_options[@]}" --body_bytes "{\"kind\":\"constant\",\"value\":$bytes}" \
  --destinations.count 3 --connections 128 --threads 2 --from 250 --to 64000 --probe-s 4 --confirm-s "${5:-60}" \
  --p99-ms 10 --lag-p99-ms 3 || true
