#!/bin/sh
# Builds with warnings as errors and runs all tests, plainly and under the sanitizers.
set -eu
cd "$(dirname "$0")/.."
for mode in OFF ON; do
  build=build-test-$mode
  cmake -S . -B $build -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-g1 -DSAGETALLY_WERROR=ON -DSAGETALLY_SANITIZE=$mode
  cmake --build $build -j"$(nproc)"
  ctest --test-dir $build --output-on-failure -j"$(nproc)"
done
# The deploy build: no tests, no GoogleTest.
cmake -S . -B build-test-deploy -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF -DSAGETALLY_LAB=OFF
cmake --build build-test-deploy -j"$(nproc)"
