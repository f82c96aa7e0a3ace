#!/bin/sh
# Tests the program as a process. A configuration that can't be used must end it with one line that names the key.
# SIGTERM must end it with exit code 0 in less than 3.7 s. Each role must start from deploy/node.json.
# Prints "15 passed, 0 failed" as its last line; the first failed check ends the script with another exit code than 0.
set -eu
program=$1
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cd "$scratch"
mkdir deploy state
export BALANCER_CONFIG="$scratch/config.json" BALANCER_STATE="$scratch/state"
# write_config LISTEN: writes config.json with the address LISTEN for clients.
write_config() {
  cat >config.json <<JSON
{"name":"n0","listen":"$1","discovery":"127.0.0.1:1","seed":"1","settings":{"flavors":["k"],
 "grades":[{"name":"aviso","slo":2000,"deadline":9000,"idempotency":"pure"}],
 "specifics":{"callsOut":2},"caps":{"mostHeld":9,"maxAttempts":3,"connIdle":15000}}}
JSON
}
write_config nowhere
if "$program" >out 2>err; then exit 1; fi
grep -q "^sagetally: listen" err
[ "$(wc -l <err)" = 1 ]

# start_and_stop READY: starts the program, waits for the line READY in its log, and stops it with SIGTERM.
start_and_stop() {
  : >out  # removes the lines of the last run
  "$program" >out 2>err &
  pid=$!
  until grep -q "$1" out; do
    kill -0 $pid || { cat err; exit 1; }
    sleep 0.02
  done
  stopped_at=$(date +%s%N)
  kill -TERM $pid
  wait $pid
  [ $((($(date +%s%N) - stopped_at) / 1000000)) -lt 3700 ]
}
write_config 127.0.0.1:0
start_and_stop " ready name=n0"
# On SIGHUP the program reads the file again. One that can't be used must give one line in the log, a valid one must be
# used, and the process must continue in both cases. At a reload the file takes precedence over the environment.
# reload_logs LINE: sends SIGHUP, and waits for LINE in the log.
reload_logs() {
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
write_config nowhere
reload_logs "error reload.rejected why=.*listen"
write_config 127.0.0.1:0
reload_logs "reload.done discovery=127.0.0.1:1"
kill -TERM $pid
wait $pid
for role in planner forwarder; do
  cat >deploy/node.json <<JSON
{"role":"$role","cloudevents":{"listen":"127.0.0.1:0"},"eureka":{"registry":"127.0.0.1:1"}}
JSON
  start_and_stop " ready "
done
# expect_failure CODE TEXT ARGUMENTS: runs the program, which must exit with CODE and write TEXT to standard error.
expect_failure() {
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
expect_failure 1 'deploy/node.json: /role: expected both .*found "boss"' serve
# A flag and an environment variable must take precedence over the file, and check-config must exit by itself.
"$program" check-config --role both | grep -q "can be used"
SAGETALLY_ROLE=both "$program" check-config | grep -q "can be used"
expect_failure 1 '/cloudevents/listen: expected an address' "check-config --role both --cloudevents.listen nowhere"
expect_failure 2 'level' "--log-level loud"
expect_failure 2 'nonsense' nonsense
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
