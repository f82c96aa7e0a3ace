#!/bin/sh
# Tests replay_golden.sh and compare_adapters.sh with adapters that are scripts. Their outputs are equal or differ, and one
# adapter fails or is missing.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
golden=$scratch/golden
mkdir "$golden" "$scratch/empty"

# make_adapter NAME BODY: writes a script that takes the place of an adapter.
make_adapter() {
  printf '#!/bin/sh\n%s\n' "$2" >"$scratch/$1"
  chmod +x "$scratch/$1"
}

# expect EXIT_CODE TEXT COMMAND...: checks that the command ends with the exit code and that its output contains the text.
expect() {
  wanted_code=$1 wanted_text=$2
  shift 2
  code=0
  "$@" >"$scratch/output" 2>&1 || code=$?
  if [ "$code" -ne "$wanted_code" ] || ! grep -qF "$wanted_text" "$scratch/output"; then
    echo "FAILED: $* ended with $code, not $wanted_code with '$wanted_text':"
    cat "$scratch/output"
    exit 1
  fi
}

make_adapter echoing 'exec cat'
make_adapter differing 'exec sed s/three/four/'
make_adapter shorter 'exec head -n 1'
make_adapter failing 'cat; exit 3'
for stream in first second; do
  printf 'one\ntwo %s\nthree\n' "$stream" >"$scratch/lines"
  gzip -nc "$scratch/lines" >"$golden/$stream.input.gz"
  cp "$golden/$stream.input.gz" "$golden/$stream.output.gz"
  sha256sum <"$scratch/lines" | cut -d' ' -f1 >"$golden/$stream.output.sha256"
done

compare() { "$here/compare_adapters.sh" "$scratch/echoing" "$scratch/$1" "$2"; }
replay_golden() { "$here/replay_golden.sh" "$scratch/$1" "$2"; }
for check in compare replay_golden; do
  expect 0 "2 passed, 0 failed" $check echoing "$golden"
  expect 1 "0 passed, 2 failed" $check differing "$golden"
  expect 1 "first: first difference in line 3" $check differing "$golden"
  expect 1 "actual:   four" $check differing "$golden"
  expect 1 "first: first difference in line 2" $check shorter "$golden"
  expect 1 "actual:   exit code 3" $check failing "$golden"
  expect 1 "0 passed, 2 failed" $check missing "$golden"
  expect 2 "0 passed, 0 failed" $check echoing "$scratch/empty"
done
echo "all checks passed"
