#!/bin/sh
# build-2.sh: builds the stand-ins of the cases 6 to 10, one program a case, to build/review-2/N. Needs a C++20 compiler
# and nothing else. Runs after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/case-2.cpp; do
  name=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins-2 "$source" -o "build/review-2/$name"
done
