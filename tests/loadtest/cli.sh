#!/bin/bash
# Tests the command line of sagetally-loadtest: help, exit codes, a run against stub servers in their own processes, a
# replay, an import, a report and a comparison, and the demonstration with one and two levels.
# Arguments: the paths of sagetally-loadtest and sagetally.
set -euo pipefail
loadtest=$1
program=$2
work=$(mktemp -d)
stubs=""
trap 'test -z "$stubs" || kill "$stubs" 2>/dev/null || true; rm -rf "$work"' EXIT
cd "$work"

expect() {  # expect CODE TEXT COMMAND...: checks the exit code, and that the output contains TEXT
  local code=$1 text=$2 got=0
  shift 2
  "$@" >out 2>&1 || got=$?
  if [ "$got" != "$code" ] || { [ -n "$text" ] && ! grep -qF -- "$text" out; }; then
    echo "'$*' exited with $got instead of $code, or its output lacks '$text':"
    cat out
    exit 1
  fi
}

# shellcheck disable=SC2086 # subcommands of two words
for words in "" try load standin limit "trace import" report compare; do
  expect 0 "--help" "$loadtest" $words --help
  expect 0 "sagetally-loadtest" "$loadtest" $words --version
done
expect 2 "" "$loadtest"
expect 2 "" "$loadtest" load --no-such-flag
expect 2 "" "$loadtest" standin nothing
expect 2 "" "$loadtest" try --levels three
expect 1 "scenario: /targets: expected a list of addresses" "$loadtest" load
expect 1 "scenario: /seconds: expected" "$loadtest" load --targets 127.0.0.1:1 --seconds -1
SAGETALLY_LAB_FRONT=x expect 1 "scenario: /front: expected platform or events" "$loadtest" load --targets 127.0.0.1:1
expect 1 "connections: 1000000 need" "$loadtest" load --targets 127.0.0.1:1 --connections 1000000
expect 1 "no.json: can't be read" "$loadtest" load no.json
expect 1 "no.json: can't be read" "$loadtest" report no.json
echo '{"sagetally_lab":1}' >half.json
expect 1 "half.json: /" "$loadtest" report half.json

# Stub servers in their own process, and a load on them.
echo '{"timeline":[{"fault":"full","ms":100,"at_ms":0,"for_ms":100}]}' >stubs.json
"$loadtest" standin front --file stubs.json --record seen.jsonl >stubs.log 2>&1 &
stubs=$!
for _ in $(seq 500); do grep -q "frontend.ready" stubs.log && break; sleep 0.02; done
port=$(sed -n 's/.* frontend.ready port=//p' stubs.log)
echo '{"targets":["127.0.0.1:'"$port"'"],"seconds":1,"arrivals":{"rate":200},"valid":{"lag_ms":100,"share":0.5,"run_queue_share":1}}' >scenario.json
expect 0 "result: a-2.json" "$loadtest" load scenario.json --repeat 2 --output a.json --record trace.jsonl --name first
expect 0 "result: b-2.json" "$loadtest" load --targets "127.0.0.1:$port" --trace trace.jsonl --seconds 5 --drain_s 0 \
  --valid.lag_ms 100 --valid.share 0.5 --valid.run_queue_share 1 --repeat 2 --output b.json
expect 0 "" grep -q '"unwatched"' a-1.json
expect 0 "due during" "$loadtest" load scenario.json --observed seen.jsonl --output c.json --arrivals.rate 0
expect 0 "share taken" "$loadtest" compare a-1.json a-2.json --with b-1.json b-2.json
expect 0 '"verdict"' "$loadtest" compare a-1.json --with b-1.json --json
expect 0 "report: report/report.html" "$loadtest" report a-1.json a-2.json
for file in report.html report.json run1-latency.gnuplot run2-series.tsv; do test -s report/$file; done
if command -v gnuplot >/dev/null; then
  test -s report/run1-latency.png
  grep -q "<svg" report/report.html
fi
expect 0 "highest rate held for 1 s: 100/s" "$loadtest" limit scenario.json --from 100 --to 100 --probe-s 0.5 --confirm-s 1 \
  --lag-p99-ms 50 --p99-ms 100
# Ctrl-C: the result up to the interruption is written and marked as partial.
"$loadtest" load scenario.json --seconds 60 --output cut.json >cut.log 2>&1 &
cut=$!
for _ in $(seq 500); do grep -q "^1 s:" cut.log && break; sleep 0.02; done
kill -INT "$cut"
wait "$cut" || true
grep -q "^PARTIAL" cut.log
grep -q '"partial": true' cut.json
kill "$stubs"
wait "$stubs" || { cat stubs.log; exit 1; }
stubs=""
grep -q "stopped calls=0" stubs.log

printf 'ts,kind,to\n1,aviso,3\nx,aviso,3\n2,pedido,4\n' >foreign.csv
expect 0 "foreign.csv:3:1: expected a time" "$loadtest" trace import foreign.csv --column time ts --column class kind --column destination to --output t.jsonl
expect 0 '"class":"pedido","destination":4' cat t.jsonl
expect 1 "line 3, column 1" "$loadtest" trace import foreign.csv --column time ts --strict

# The demonstration: some of its partners fail, and every message still has exactly one final outcome.
for levels in one two; do
  expect 0 "rules checked: all kept" "$loadtest" try --levels $levels --seconds 3 --rate 80 --program "$program" --output try-$levels
  test -s try-$levels/report.html
done
expect 1 "no such program" "$loadtest" try --program /nowhere/sagetally
echo "passed"
