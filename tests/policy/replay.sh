# shellcheck shell=sh
# Functions shared by the scripts that replay recorded inputs; sourced, not run.

MAX_SHOWN=2000 # characters of a differing line

# replay ADAPTER INPUT_GZ OUTPUT: feeds a recorded input to the adapter and keeps its replies.
# An adapter that fails leaves its exit code as a last line, so that it can't pass for one that doesn't.
replay() {
  gzip -dc "$2" | { "$1" >"$3" 2>"$3.err" || echo "exit code $?" >>"$3"; }
}

# print_first_difference STREAM EXPECTED ACTUAL: names the first line in which two outputs differ.
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
