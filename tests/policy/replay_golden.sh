#!/bin/sh
# Replays every recorded input to a simulator adapter and compares its outputs with the recorded checksums.
#   replay_golden.sh ADAPTER GOLDEN_DIR
# Prints "N passed, N failed" as its last line. Exit code: 1 if a stream differs, 2 if there is none.
set -eu
if [ $# -ne 2 ]; then
  echo "usage: replay_golden.sh ADAPTER GOLDEN_DIR" >&2
  exit 2
fi
adapter=$1 golden=$2
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source-path=SCRIPTDIR source=replay.sh
. "$here/replay.sh"

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
passed=0 failed=0
for input in "$golden"/*.input.gz; do
  [ -f "$input" ] || continue
  stream=$(basename "$input" .input.gz)
  replay "$adapter" "$input" "$scratch/actual"
  checksum=$(sha256sum <"$scratch/actual")
  if [ "${checksum%% *}" = "$(cat "$golden/$stream.output.sha256")" ]; then
    passed=$((passed + 1))
    continue
  fi
  if [ $failed -eq 0 ] && [ -f "$golden/$stream.output.gz" ]; then
    gzip -dc "$golden/$stream.output.gz" >"$scratch/expected"
    print_first_difference "$stream" "$scratch/expected" "$scratch/actual"
  fi
  echo "$stream: FAILED"
  failed=$((failed + 1))
done
echo "$passed passed, $failed failed"
[ $((passed + failed)) -gt 0 ] || exit 2
[ $failed -eq 0 ]
