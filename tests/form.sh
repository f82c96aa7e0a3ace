#!/bin/sh
# The decision module keeps its limit (1,010 lines that are not blank, in all its files), no source line passes 110
# characters, and the sources are formatted.
set -eu
cd "$1"
lines=$(cat src/policy/*.h src/policy/*.cpp | grep -c '[^[:space:]]')
echo "src/policy: $lines lines"
[ "$lines" -le 1010 ]
sources() {
  find src include tests bench -name '*.cpp' -o -name '*.h'
}
if sources | xargs grep -nE '^.{111,}'; then
  echo "lines over 110 characters"
  exit 1
fi
sources | xargs clang-format --dry-run -Werror
