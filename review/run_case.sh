#!/bin/sh
# run_case.sh FOLDER TROUBLE: runs the case of that folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. With TROUBLE 0 the disruption is left out. Called by the run.sh of each case.
set -eu
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
driver=$root/review/build/case-$(basename "$folder")
if [ ! -x "$driver" ] || [ ! -x "$root/build/sagetally" ]; then
  echo "could not run: the deploy file's build or review/build.sh is missing"
  exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
trap 'exit 2' INT TERM
run_line=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
status=0
# The driver starts the dispatchers by the line `run`, and they end with it.
ROOT=$root RUN_LINE=$run_line WORK=$work RECORD=$folder/record.txt TROUBLE=$2 \
  timeout -k 2 115 "$driver" || status=$?
case $status in
  0 | 1) exit "$status" ;;
  *)
    echo "could not run: status $status"
    exit 2
    ;;
esac
