#!/bin/sh
# run.sh SOURCE BUILD RUNS: builds the fuzz harnesses of the source tree SOURCE with clang's libFuzzer in the folder BUILD,
# and runs each of them for RUNS inputs from a fixed seed. Prints "4 passed, 0 failed" as its last line.
# shellcheck disable=SC2086 # flags and libraries are lists of words
set -eu
source=$1 build=$2 runs=$3
mkdir -p "$build"
cd "$build"
cat >rules.dict <<'DICT'
"rule "
" when "
" then "
"resend"
"hold;"
"drop;"
" and "
" or "
" not "
" in {"
"class"
"age"
"attribute "
"destination"
"rate 5/s"
"window 2h"
DICT
cat >control.dict <<'DICT'
"{\"v\":1,\"op\":\""
"list"
"show"
"try"
"act"
"\"filter\":\""
"\"after\":\"n0/7\""
"\"limit\":"
"\"rules\":\""
DICT
cat >journal.dict <<'DICT'
"S"
"B"
"A"
"O"
"E"
"N"
"K"
"G"
"\x01\x00\x00\x00\x00\x00\x00\x00"
"sagetally journal\x0a"
DICT
cat >admin.dict <<'DICT'
"STATUS\x0a"
"METRICS\x0a"
"PAUSE\x0d\x0a"
"RESUME"
DICT
flags="-std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -I$source/src -I$source/include"
# archive NAME SOURCE...: compiles the sources into libNAME.a, from which the linker takes the objects that a harness
# needs. Sources that no harness reaches and that need more libraries are left out.
archive() {
  name=$1
  shift
  for file in "$@"; do
    case $(basename "$file" .cpp) in
      *manager* | transfer_queue | redrive_loop | resubmission_tracker | reconciliation | store_health) ;;
      job_runner | worker | rule_files | segment_journal | segment_log | segment_compactor | group_commit) ;;
      disk_* | live_message_index | journal_recovery | journal_settings | snapshot) ;;
      *) echo "$file" ;;
    esac
  done >"$name.sources"
  # shellcheck disable=SC2016 # expanded by the inner shell
  xargs -P "$(nproc)" -n 1 sh -c 'clang++ $1 -c "$3" -o "$2-$(basename "$3" .cpp).o"' compile "$flags" "$name" \
    <"$name.sources"
  rm -f "lib$name.a"
  ar rcs "lib$name.a" "$name"-*.o
}
rm -f -- *.o
archive dead_letter "$source"/src/dead_letter/*.cpp "$source"/src/dead_letter/storage/*.cpp
archive journal "$source"/src/journal/*.cpp "$source"/src/journal/file_system/*.cpp "$source"/src/core/*.cpp \
  "$source"/src/time/*.cpp
archive admin "$source"/src/admin/*.cpp
libraries="libdead_letter.a libjournal.a libadmin.a -lsqlite3 -lxxhash -lz -lfmt"
for harness in rules control journal admin; do
  clang++ $flags "$source/tests/fuzz/${harness}_fuzz.cpp" $libraries -o $harness
  mkdir -p corpus-$harness
  ./$harness -runs="$runs" -seed=7 -max_len=4096 -dict=$harness.dict corpus-$harness "$source/tests/fuzz/seeds-$harness" \
    >$harness.log 2>&1 || { tail -30 $harness.log; exit 1; }
  tail -1 $harness.log
done
echo "4 passed, 0 failed"
