#!/bin/sh
# The program as a process: a bad configuration ends it with one line that names the key, SIGTERM ends it
# cleanly before 3.7 s, and each role starts from deploy/node.json.
set -eu
program=$1
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cd "$scratch"
mkdir deploy state
export BALANCER_CONFIG="$scratch/config.json" BALANCER_STATE="$scratch/state"
config() {
  cat >config.json <<JSON
{"name":"n0","listen":"$1","discovery":"127.0.0.1:1","seed":"1","settings":{"flavors":["k"],
 "grades":[{"name":"aviso","slo":2000,"deadline":9000,"idempotency":"pure"}],
 "specifics":{"callsOut":2},"caps":{"mostHeld":9,"maxAttempts":3,"connIdle":15000}}}
JSON
}
config nowhere
if "$program" >out 2>err; then exit 1; fi
grep -q "^sagetally: listen" err
[ "$(wc -l <err)" = 1 ]

starts() { # line that says it is ready
  : >out  # without the lines of the last run
  "$program" >out 2>err &
  pid=$!
  until grep -q "$1" out; do
    kill -0 $pid || { cat err; exit 1; }
    sleep 0.02
  done
  began=$(date +%s%N)
  kill -TERM $pid
  wait $pid
  [ $((($(date +%s%N) - began) / 1000000)) -lt 3700 ]
}
config 127.0.0.1:0
starts " ready name=n0"
# SIGHUP: a file that can't be used is one line in the log, a good one is used, and the process continues. The file takes
# precedence over the variables then.
reload_logs() { # line that it writes after SIGHUP
  kill -HUP $pid
  until grep -q "$1" out; do
    kill -0 $pid
    sleep 0.02
  done
}
: >out
BALANCER_DISCOVERY=127.0.0.1:2 "$program" >out 2>err &
pid=$!
until grep -q " ready " out; do sleep 0.02; done
config nowhere
reload_logs "error reload.rejected why=.*listen"
config 127.0.0.1:0
reload_logs "reload.done discovery=127.0.0.1:1"
kill -TERM $pid
wait $pid
for role in planner forwarder; do
  cat >deploy/node.json <<JSON
{"role":"$role","cloudevents":{"listen":"127.0.0.1:0"},"eureka":{"registry":"127.0.0.1:1"}}
JSON
  starts " ready "
done
fails() { # exit code, what standard error must hold, arguments
  code=0
  # shellcheck disable=SC2086 # the third argument is a list of words
  "$program" $3 >out 2>err || code=$?
  if [ $code != "$1" ] || ! grep -q "$2" err; then
    echo "exit $code"
    cat err
    exit 1
  fi
}
echo '{"role":"boss"}' >deploy/node.json
fails 1 'deploy/node.json: /role: expected both .*found "boss"' serve
# A flag and an environment variable take precedence over the file, and check-config ends by itself.
"$program" check-config --role both | grep -q "can be used"
SAGETALLY_ROLE=both "$program" check-config | grep -q "can be used"
fails 1 '/cloudevents/listen: expected an address' "check-config --role both --cloudevents.listen nowhere"
fails 2 'level' "--log-level loud"
fails 2 'nonsense' nonsense
"$program" --version | grep -q "^sagetally [0-9]"
"$program" kept list --help | grep -q -- --filter
rm deploy/node.json
: >out
"$program" --log-format json >out 2>err &
pid=$!
until grep -q '"event":"ready","name":"n0"' out; do sleep 0.02; done
kill -TERM $pid
wait $pid
echo "15 passed, 0 failed"
