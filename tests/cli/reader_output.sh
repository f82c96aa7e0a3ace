#!/bin/bash
# What `sagetally journal` and `sagetally kept` print of stored files, with their exit codes, is byte for byte as in
# tests/golden/reader-output. Each file there begins with its command. Arguments: the program, the folder tests/golden.
set -euo pipefail
program=$1
golden=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for variable in $(compgen -e); do
  case $variable in
    BALANCER_* | SAGETALLY_*) unset "$variable" ;;
  esac
done

cp -r "$golden" "$scratch/copy" # SQLite makes files beside what it opens
cd "$scratch/copy"
rm -rf reader-output
ln -s "$program" "$scratch/sagetally"
PATH=$scratch:$PATH

passed=0
failed=0
for expected in "$golden"/reader-output/*.txt; do # in this order: restored-stats reads what journal-restore makes
  command=$(sed -n '1s/^\$ //p' "$expected")
  code=0
  {
    echo "\$ $command"
    eval "$command" 2>&1 || code=$?
    echo "exit code $code"
  } >"$scratch/output"
  if cmp -s "$expected" "$scratch/output"; then
    passed=$((passed + 1))
  else
    echo "FAILED: $(basename "$expected")"
    diff "$expected" "$scratch/output" || true
    failed=$((failed + 1))
  fi
done
diff -r snapshot snapshot-by-command # journal-snapshot's copy
echo "$passed passed, $failed failed"
[ "$passed" -gt 20 ] && [ "$failed" = 0 ]
