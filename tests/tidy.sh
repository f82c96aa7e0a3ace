#!/bin/sh
# tidy.sh ROOT BUILD: runs clang-tidy with .clang-tidy once over each source of the service, on all cores. The load test
# tool (src/loadtest) is left out, because its headers would double the time and not all of its findings are fixed.
# BUILD is a separate folder that is configured but not built, without precompiled headers and with a compile command
# for each source. Prints "N passed, N failed" as its last line, and fails on any finding.
set -eu
cd "$1"
build=$2
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Debug -DCMAKE_EXPORT_COMPILE_COMMANDS=ON -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DBUILD_TESTING=OFF -DSAGETALLY_LOADTEST=OFF >"$build.log" 2>&1 || {
  cat "$build.log"
  exit 1
}
reports=$build/tidy
rm -rf "$reports"
mkdir -p "$reports"
# Sorts the largest sources first, so that no core starts a large one at the end while the others are idle.
find src -name '*.cpp' ! -path 'src/loadtest/*' -exec ls -S {} + >"$build/sources"
# shellcheck disable=SC2016 # expanded by the inner shell
xargs -P "$(nproc)" -n 1 sh -c '
  report=$2/$(echo "$3" | tr / _)
  if clang-tidy -p "$1" --quiet "$3" >"$report.out" 2>"$report.err"; then
    mv "$report.out" "$report.passed"
  else
    mv "$report.out" "$report.failed"
  fi' tidy "$build" "$reports" <"$build/sources"
failed=$(find "$reports" -name '*.failed' | wc -l)
passed=$(find "$reports" -name '*.passed' | wc -l)
if [ "$failed" -gt 0 ]; then
  find "$reports" -name '*.failed' -exec cat {} + | grep -E '(warning|error):' | sort -u
  find "$reports" -name '*.err' -exec grep -hE 'error:' {} + | sort -u || true
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
