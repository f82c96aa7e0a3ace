#!/bin/sh
# lint.sh [BUILD]: formatter, module size, line lengths, include order, shellcheck and clang-tidy. Warnings are errors.
set -eu
cd "$(dirname "$0")/.."
tests/form.sh .
tests/include_order.sh .
git ls-files '*.sh' .ci/run | xargs shellcheck
tests/tidy.sh . "${1:-build-lint}"
