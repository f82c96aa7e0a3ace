#!/bin/sh
# Replays every recorded input to two simulator adapters and compares their outputs byte for byte.
#   compare_adapters.sh ADAPTER_A ADAPTER_B [GOLDEN_DIR]
# Prints "N passed, N failed" as its last line. Exit code: 1 if a stream differs, 2 if there is none.
set -eu
if [ $# -lt 2 ] || [ $# -gt 3 ]; then
  echo "usage: compare_adapters.sh ADAPTER_A ADAPTER_B [GOLDEN_DIR]" >&2
  exit 2
fi
adapter_a=$1 adapter_b=$2
here=$(cd "$(dirname "$0")" && pwd)
golden=${3:-$here/../golden/policy}
# shellcheck source-path=SCRIPTDIR source=replay.sh
. "$here/replay.sh"

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
passed=0 failed=0
for input in "$golden"/*.input.gz; do
  [ -f "$input" ] || continue
  stream=$(basename "$input" .input.gz)
  replay "$adapter_a" "$input" "$scratch/a"
  replay "$adapter_b" "$input" "$scratch/b"
  if cmp -s "$scratch/a" "$scratch/b"; then
    passed=$((passed + 1))
    continue
  fi
  [ $failed -gt 0 ] || print_first_difference "$stream" "$scratch/a" "$scratch/b"
  echo "$stream: FAILED"
  failed=$((failed + 1))
done
echo "$passed passed, $failed failed"
[ $((passed + failed)) -gt 0 ] || exit 2
[ $failed -eq 0 ]
