#!/bin/sh
# all.sh: builds with warnings as errors and runs all tests, first without and then with the sanitizers.
set -eu
cd "$(dirname "$0")/.."
for mode in OFF ON; do
  build=build-test-$mode
  configure() { # configure BUILD_TESTING SAGETALLY_LOADTEST
    cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG=-g1 -DSAGETALLY_WERROR=ON \
      -DSAGETALLY_SANITIZE=$mode -DBUILD_TESTING="$1" -DSAGETALLY_LOADTEST="$2"
  }
  if [ $mode = OFF ]; then
    # The platform builds neither the tests nor the load test tool, so the service must build without them. The full
    # build below reuses the objects.
    configure OFF OFF
    cmake --build "$build" -j"$(nproc)"
  fi
  configure ON ON
  cmake --build "$build" -j"$(nproc)"
  tests/known_red.sh "$build" KNOWN-RED.txt
done
