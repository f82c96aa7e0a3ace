#!/bin/bash
# Checks that `sagetally kept list|show|stats|export` prints the same output for the golden database of a stopped node
# as the version of the program that wrote it. Each kept-*.txt has a command, its output and its exit code.
#   golden_cli_test.sh PROGRAM GOLDEN_FOLDER
# Prints "N passed, N failed" as its last line. Exit code: 1 if an output differs, 2 if there is no expected output.
set -euo pipefail
if [ $# -ne 2 ]; then
  echo "usage: golden_cli_test.sh PROGRAM GOLDEN_FOLDER" >&2
  exit 2
fi
program=$1 golden=$2
export TZ=UTC LC_ALL=C
unset "${!BALANCER_@}" "${!SAGETALLY_@}"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r "$golden/dead_letters" "$scratch/"  # SQLite creates files next to the database
cd "$scratch"
passed=0 failed=0
for expected in "$golden"/reader-output/kept-*.txt; do
  [ -f "$expected" ] || continue
  # The first line is "$ sagetally 'kept' 'list' ...", with the arguments quoted for the shell.
  command_line=$(head -1 "$expected")
  arguments=()
  eval "arguments=(${command_line#\$ sagetally })"
  code=0
  {
    echo "$command_line"
    "$program" "${arguments[@]}" 2>&1 || code=$?
    echo "exit code $code"
  } >actual
  if cmp -s actual "$expected"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "$(basename "$expected") differs:"
    diff "$expected" actual | head -20 || :
  fi
done
echo "$passed passed, $failed failed"
if [ $passed -eq 0 ] && [ $failed -eq 0 ]; then exit 2; fi
[ $failed -eq 0 ]
