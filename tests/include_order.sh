#!/bin/sh
# include_order.sh ROOT: checks that each directory under src/ includes only its own headers and those of directories
# before it in the order below (docs/architecture.md), and that the directories without I/O include no system or library
# header that does I/O. Prints "N passed, N failed" as its last line, and fails if an include violates the order.
set -eu
cd "$1"
# Lower layers first. `sagetally` is include/sagetally, the interface of the decision module.
order="sagetally time base estimators policy core logging config admin handover pipeline journal dead_letter net
service_registry frontend app cli main loadtest simulator_adapter"
without_io="policy estimators core admin handover pipeline"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

rank() { # rank DIRECTORY: prints its position in the order, or nothing if it has none
  position=0
  for name in $order; do
    position=$((position + 1))
    if [ "$name" = "$1" ]; then
      echo "$position"
      return
    fi
  done
}

# Writes one line for each include of a project header: directory, included directory, file.
grep -rn --include='*.h' --include='*.cpp' --include='*.in' '^#include "' src include |
  sed -nE 's#^(src|include)/([^:]*):[0-9]+:.include "([^"/]*)/.*#\2 \3#p' |
  while read -r file included; do
    directory=${file%%/*}
    case $directory in *.cpp) directory=${directory%.cpp} ;; esac
    echo "$directory $included $file"
  done >"$scratch/includes"

passed=0 failed=0
while read -r directory included file; do
  own=$(rank "$directory")
  other=$(rank "$included")
  if [ -z "$own" ] || [ -z "$other" ]; then
    echo "$file: '$directory' or '$included' is missing from the order"
    failed=$((failed + 1))
  elif [ "$other" -gt "$own" ]; then
    echo "$file: $directory must not include $included, which is a higher layer"
    failed=$((failed + 1))
  else
    passed=$((passed + 1))
  fi
done <"$scratch/includes"

for directory in $without_io; do
  [ -d "src/$directory" ] || continue
  if grep -rnE '^#include <(event2/|sys/|unistd|fcntl|netinet/|sqlite3|fstream|filesystem|thread)' "src/$directory"; then
    echo "src/$directory: must do no I/O, and must not include the headers above"
    failed=$((failed + 1))
  else
    passed=$((passed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
