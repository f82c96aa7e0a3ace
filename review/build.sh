#!/bin/sh
# build.sh: builds the drivers of the cases, which hold all their stand-ins. Needs the compiler only.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]/case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-${source%/case.cpp}" "$source"
done
