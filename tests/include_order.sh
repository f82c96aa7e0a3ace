#!/bin/sh
# include_order.sh ROOT: each directory under src/ includes only headers of directories that stand before it in the
# order below (docs/architecture.md), and the directories without I/O include no system or library header that does
# any. Prints "N passed, N failed" as its last line; an include against the order fails it.
set -eu
cd "$1"
# Lower layers first. `sagetally` is include/sagetally, the interface of the decision module.
order="sagetally time base estimators policy core logging config admin handover pipeline journal dead_letter net
service_registry frontend app cli main loadtest simulator_adapter"
without_io="policy estimators core admin handover pipeline"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

rank() { # position of a directory in the order; empty if it has none
  position=0
  for name in $order; do
    position=$((position + 1))
    if [ "$name" = "$1" ]; then
      echo "$position"
      return
    fi
  done
}

# One line an include of ours: directory, included directory, file.
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
    echo "$file: '$directory' or '$included' has no place in the order"
    failed=$((failed + 1))
  elif [ "$other" -gt "$own" ]; then
    echo "$file: $directory must not include $included, which stands above it"
    failed=$((failed + 1))
  else
    passed=$((passed + 1))
  fi
done <"$scratch/includes"

for directory in $without_io; do
  [ -d "src/$directory" ] || continue
  if grep -rnE '^#include <(event2/|sys/|unistd|fcntl|netinet/|sqlite3|fstream|filesystem|thread)' "src/$directory"; then
    echo "src/$directory: does no I/O, and must not include these"
    failed=$((failed + 1))
  else
    passed=$((passed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
