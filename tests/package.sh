#!/bin/sh
# package.sh BUILD PROJECT [FLAGS [SANITIZE]]: installs the build folder BUILD under a temporary prefix, and builds and
# runs the separate project in the folder PROJECT against the installed package. FLAGS are compiler flags. SANITIZE is
# ON if BUILD was built with the sanitizers.
set -eu
build=$1 project=$2
flags=${3:-}
if [ "${4:-OFF}" = ON ]; then flags="$flags -fsanitize=address,undefined"; fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cmake --install "$build" --prefix "$scratch/prefix" >"$scratch/install.log"
cmake -S "$project" -B "$scratch/build" -DCMAKE_PREFIX_PATH="$scratch/prefix" -DCMAKE_CXX_FLAGS="$flags"
cmake --build "$scratch/build"
"$scratch/build/node"
