#!/bin/bash
# make_golden.sh BUILD OUTPUT: regenerates all golden data in the folder OUTPUT, which must not exist. BUILD is a build
# folder of the commit that README.md names, with the targets sagetally_dispatcher, sagetally_lab and sagetally_faulty.
# Run it from the root of a checkout of that commit that contains this folder.
set -euo pipefail
build=$(realpath "$1")
source=$(pwd)
export PATH="$build:$PATH"
export TZ=UTC LC_ALL=C
unset "${!BALANCER_@}" "${!SAGETALLY_@}"
mkdir "$2"
cd "$2"

# Builds the generator with the service's own libraries and runs it.
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
libraries=(libsagetally_node.a libsagetally_kept.a libsagetally_faulty.a libsagetally_journal.a
           libsagetally_operator.a libsagetally_config.a libsagetally.a libsagetally_base.a)
${CXX:-c++} -std=c++20 -O1 -I"$source/src" -I"$source/include" -o "$scratch/make_golden" \
  "$source/tests/golden/make_golden.cpp" "${libraries[@]/#/$build/}" \
  -lsimdjson -lz -lsqlite3 -lxxhash -lspdlog -lfmt -levent_extra -levent_core -pthread
"$scratch/make_golden" .

# Records the output of that commit's own reading commands. They run on a copy of the data, because SQLite creates
# files beside a database that it opens.
reader_output=$PWD/reader-output
mkdir "$reader_output"
cp -r . "$scratch/copy"
cd "$scratch/copy"
rm -rf reader-output
read_with() { # read_with OUTPUT_FILE ARGUMENT...: runs sagetally with the arguments
  local file=$reader_output/$1 code=0
  shift
  echo "\$ sagetally ${*@Q}" >"$file"
  sagetally "$@" >>"$file" 2>&1 || code=$?
  echo "exit code $code" >>"$file"
}
for folder in journal journal-torn snapshot; do
  read_with "$folder-verify.txt" journal verify --state "$folder"
  read_with "$folder-stats.txt" journal stats --state "$folder" --json
done
read_with journal-stats-table.txt journal stats --state journal
read_with journal-show.txt journal show --state journal --limit 5
read_with journal-show-all.txt journal show --state journal --all --json
read_with journal-snapshot.txt journal snapshot --state journal --output snapshot-by-command
diff -r snapshot snapshot-by-command
read_with journal-restore.txt journal restore snapshot --state restored
read_with restored-stats.txt journal stats --state restored --json
read_with kept-list.txt kept list --state dead_letters
read_with kept-list-filter.txt kept list --state dead_letters --limit 2 'reason = out_of_time_after_calls and not may_have_run'
read_with kept-show-101.txt kept show --state dead_letters n0/101
read_with kept-show-111.txt kept show --state dead_letters n0/111 --body
read_with kept-show-107.txt kept show --state dead_letters n0/107 --json
for column in reason class destination state end; do
  read_with "kept-stats-$column.txt" kept stats --state dead_letters --by "$column"
done
read_with kept-export.txt kept export --state dead_letters --body 'class = aviso'
cd - >/dev/null

# Records the help texts of each program and of each of its subcommands.
mkdir help
help_of() { # help_of PROGRAM [SUBCOMMAND...]: the command and, recursively, its subcommands
  local name
  name=$(IFS=-; echo "$*")
  "$@" --help >"help/$name.txt"
  local subcommand
  # The list of subcommands is the last part of a help text that has one.
  # shellcheck disable=SC2013 # a subcommand is one word
  for subcommand in $(sed -n '/^Subcommands:/,$s/^  \([a-z][a-z-]*\) .*/\1/p' "help/$name.txt"); do
    help_of "$@" "$subcommand"
  done
}
help_of sagetally
help_of sagetally-lab
sagetally --version >help/sagetally-version.txt
sagetally-lab --version >help/sagetally-lab-version.txt
