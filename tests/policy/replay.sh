# shellcheck shell=sh
# Functions for the scripts that replay recorded inputs. This file is sourced, not run.

MAX_SHOWN=2000 # characters that are printed of a line that differs

# replay ADAPTER INPUT_GZ OUTPUT: sends a recorded input to the adapter and writes its replies to OUTPUT.
# If the adapter fails, its exit code is added as the last line, so that its output differs from that of an adapter
# that does not fail.
replay() {
  gzip -dc "$2" | { "$1" >"$3" 2>"$3.err" || echo "exit code $?" >>"$3"; }
}

# print_first_difference STREAM EXPECTED ACTUAL: prints the first line in which two outputs differ.
print_first_difference() {
  line=$(cmp "$2" "$3" 2>/dev/null | sed -n 's/.*line \([0-9]*\)$/\1/p')
  if [ -z "$line" ]; then
    shorter=$(($(wc -l <"$2")))
    [ "$shorter" -le "$(($(wc -l <"$3")))" ] || shorter=$(($(wc -l <"$3")))
    line=$((shorter + 1))
  fi
  echo "$1: first difference in line $line"
  printf '  expected: %s\n' "$(sed -n "${line}p" "$2" | cut -c1-"$MAX_SHOWN")"
  printf '  actual:   %s\n' "$(sed -n "${line}p" "$3" | cut -c1-"$MAX_SHOWN")"
}
