#!/bin/sh
# The module keeps its limit (1,010 lines that are not blank), no source line passes 110 characters, and the
# sources are formatted.
set -eu
cd "$1"
lines=$(grep -c '[^[:space:]]' src/policy/dispatch_policy.cpp)
echo "src/policy/dispatch_policy.cpp: $lines lines"
[ "$lines" -le 1010 ]
sources=$(find src include tests -name '*.cpp' -o -name '*.h')
if grep -nE '^.{111,}' $sources; then
  echo "lines over 110 characters"
  exit 1
fi
clang-format --dry-run -Werror $sources
