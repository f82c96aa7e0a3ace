#!/bin/sh
# lint.sh [BUILD]: checks formatting, file sizes of the decision module, line lengths and include order, and then
# runs shellcheck and clang-tidy. Warnings are errors. BUILD is the folder that clang-tidy uses, or build-lint.
set -eu
cd "$(dirname "$0")/.."
tests/form.sh .
tests/include_order.sh .
git ls-files '*.sh' .ci/run | xargs shellcheck
tests/tidy.sh . "${1:-build-lint}"
