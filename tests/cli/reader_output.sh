#!/bin/bash
# Checks that the output and the exit codes of `sagetally journal` and `sagetally kept` on stored files are equal byte for
# byte to tests/golden/reader-output. The first line of each file there is its command. Arguments: the program, the folder
# tests/golden.
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

cp -r "$golden" "$scratch/copy" # a copy, as SQLite creates files next to the database
cd "$scratch/copy"
rm -rf reader-output
ln -s "$program" "$scratch/sagetally"
PATH=$scratch:$PATH

passed=0
failed=0
for expected in "$golden"/reader-output/*.txt; do # alphabetical order, as restored-stats reads the output of journal-restore
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
diff -r snapshot snapshot-by-command # the copy that journal-snapshot wrote
echo "$passed passed, $failed failed"
[ "$passed" -gt 20 ] && [ "$failed" = 0 ]
