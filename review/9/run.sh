#!/bin/sh
# run.sh: plays case 9 (claim.txt) and writes record.txt beside it. Exit code 1: the rule was broken, 0: it held, 2: the
# case couldn't run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/build/review-2/9
if [ ! -x "$program" ]; then
  echo "build/review-2/9 is missing: run review/build-2.sh first" >&2
  exit 2
fi
timeout -k 2 110 "$program" "$root" "$here/record.txt" "${TROUBLE:-1}" >/dev/null
code=$?
if [ "$code" -gt 2 ]; then
  code=2
fi
exit "$code"
