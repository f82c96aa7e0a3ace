#!/bin/sh
# Builds with warnings as errors and runs all tests, plainly and under the sanitizers.
set -eu
cd "$(dirname "$0")/.."
for mode in OFF ON; do
  build=build-test-$mode
  flags="-DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-g1 -DSAGETALLY_WERROR=ON -DSAGETALLY_SANITIZE=$mode"
  if [ $mode = OFF ]; then
    # What the platform builds must need neither the tests nor the lab; what it makes is used again below.
    cmake -S . -B $build $flags -DBUILD_TESTING=OFF -DSAGETALLY_LOADTEST=OFF
    cmake --build $build -j"$(nproc)"
  fi
  cmake -S . -B $build $flags -DBUILD_TESTING=ON -DSAGETALLY_LOADTEST=ON
  cmake --build $build -j"$(nproc)"
  tests/known_red.sh $build KNOWN-RED.txt
done
