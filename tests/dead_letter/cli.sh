#!/bin/bash
# Tests the output and the exit codes of `sagetally kept ...` with a running node and with a stopped one.
# Arguments: the program, the source tree.
set -eu
program=$1 source=$2
scratch=$(mktemp -d)
pid=
trap 'if [ -n "$pid" ]; then kill -KILL $pid 2>/dev/null || :; fi; rm -rf "$scratch"' EXIT
cd "$scratch"
mkdir deploy state
sed -e 's/127.0.0.1:9180/127.0.0.1:0/; s/127.0.0.1:918[56]/127.0.0.1:1/' "$source/deploy/config.example.json" >config.json
echo '{"kept":{"ends":["undeliverable","deferred"],"rules":"deploy/kept.rules"}}' >deploy/node.json
echo 'rule junk: when class = aviso and age > 1h then hold;' >deploy/kept.rules
export BALANCER_CONFIG="$scratch/config.json" BALANCER_STATE="$scratch/state"
passed=0
# Arguments: the expected exit code, a pattern that standard error must match, the arguments of the program.
expect_failure() {
  code=0 expected_code=$1 pattern=$2
  shift 2
  "$program" "$@" >out 2>err || code=$?
  { [ $code = "$expected_code" ] && grep -q -- "$pattern" err; } || {
    echo "exit code $code, expected $expected_code and '$pattern': $*"
    cat out err
    exit 1
  }
  passed=$((passed + 1))
}
# Arguments: a pattern that standard output must match, the arguments of the program, which must succeed.
expect_output() {
  pattern=$1
  shift
  "$program" "$@" >out 2>err || { echo "failed: $*"; cat err; exit 1; }
  grep -q -- "$pattern" out || { echo "output does not match '$pattern': $*"; cat out; exit 1; }
  passed=$((passed + 1))
}
start_node() {
  "$program" serve >log 2>&1 &
  pid=$!
  until grep -q " ready " log; do kill -0 $pid || { cat log; exit 1; }; sleep 0.02; done
}
expect_output "can be used" check-config
expect_output "^sagetally [0-9]" kept rules check --version
expect_output "resend: \|hold\|drop" kept --help
expect_output "4 rules can be used" kept rules check "$source/deploy/kept.example.rules"
echo 'rule junk: when class = avisos then hold;' >bad.rules
expect_failure 1 'bad.rules: line 1, column 25: expected one of aviso, pedido, pagamento, found avisos' kept rules check bad.rules
expect_failure 1 'expected a running node' kept list --state "$scratch"
expect_failure 2 'id is required' kept show
expect_failure 2 '--limit' kept list --limit 0
start_node
port=$(sed -n 's/.* ready name=n0 port=\([0-9]*\).*/\1/p' log)
# Arguments: the class, the request id.
post_message() {
  exec 3<>"/dev/tcp/127.0.0.1/$port"
  printf 'POST /%s HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nX-Deadline: 250m\r\nX-Envelope: dest=7\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody' "$1" "$2" >&3
  head -1 <&3 | grep -q 202
  exec 3>&-
}
for n in 1 2 3; do post_message aviso a$n; post_message pagamento p$n; done
until "$program" kept stats | grep -q "^all *6"; do sleep 0.05; done
expect_output "^aviso *3" kept stats --by class
expect_output "kept=6" kept stats
expect_output "n0/.*aviso  *7 .*kept" kept list 'class = aviso'
expect_output "more: --after n0/" kept list --limit 2
[ "$("$program" kept list --json | wc -l)" = 6 ]
id=$("$program" kept list --limit 1 | sed -n 's/^\(n0[^ ]*\) .*/\1/p')
expect_output "body_size *4 B" kept show "$id"
expect_output "Ym9keQ==" kept show "$id" --body
expect_failure 1 "no kept message n0/1" kept show n0/1
expect_failure 1 "filter: line 1, column 7: expected a duration" kept list 'age > 3'
echo 'rule a: when class = aviso then resend rate 1/s; rule p: when true then drop;' >try.rules
expect_output "^a *3 *3" kept try try.rules
expect_output "would hold: 3 messages" kept hold 'class = aviso'
expect_output "^hold: 3 messages" kept hold 'class = aviso' --yes
expect_output "^held *3" kept stats --by state
# The client of a deferred payment may have resubmitted it, so it must not be redriven.
expect_output "not allowed: 3 (client_may_hand_in_again 3)" kept resend 'class = pagamento' --yes
expect_output "^drop: 3 messages" kept drop 'class = pagamento' --yes
expect_output "6 messages written" kept export --output all.jsonl --body
[ "$(stat -c %a all.jsonl state/kept/kept.db state/control.sock | sort -u)" = 600 ]
expect_failure 1 "all.jsonl: can't be made, or exists" kept export --output all.jsonl
# An invalid rule file changes nothing; the next valid one is loaded.
cp bad.rules deploy/kept.rules
kill -HUP $pid
until grep -q "reload.rejected why=.*line 1, column 25" log; do sleep 0.02; done
echo 'rule all: when true then hold;' >deploy/kept.rules
kill -HUP $pid
until [ "$(grep -c "dead_letter.rules_loaded " log)" = 2 ]; do sleep 0.02; done
kill -TERM $pid
wait $pid
pid=
expect_output "^held *3" kept stats --by state
expect_output "^a *3 *3" kept try try.rules
expect_failure 1 "only be read" kept hold true --yes
echo "$passed passed, 0 failed"
