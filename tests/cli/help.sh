#!/bin/sh
# Checks that the help texts of sagetally and of each of its subcommands, and the version text, are equal byte for byte to
# those in tests/golden/help, as operators' scripts parse them. Arguments: the program, the folder of the expected texts.
set -eu
program=$1
expected=$2
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# Unsets the variables, as help texts show the values that are set by them.
for variable in $(env | sed -n 's/^\(BALANCER_[A-Za-z0-9_]*\|SAGETALLY_[A-Za-z0-9_]*\)=.*/\1/p'); do
  unset "$variable"
done

# The link gives the program the name sagetally, as the usage line shows the name by which it was called.
ln -s "$program" "$scratch/sagetally"
PATH=$scratch:$PATH

write_help() { # program and subcommands
  name=$(echo "$*" | tr ' ' -)
  "$@" --help >"$scratch/$name.txt"
  # The list of subcommands is the last part of a help text that has one.
  # shellcheck disable=SC2013 # a subcommand is one word
  for subcommand in $(sed -n '/^Subcommands:/,$s/^  \([a-z][a-z-]*\) .*/\1/p' "$scratch/$name.txt"); do
    (write_help "$@" "$subcommand")
  done
}
write_help sagetally
sagetally --version >"$scratch/sagetally-version.txt"
rm "$scratch/sagetally"

checked=0
failed=0
for text in "$expected"/sagetally.txt "$expected"/sagetally-*.txt; do
  name=$(basename "$text")
  case $name in
    sagetally-lab*) continue ;; # sagetally-lab is another program
  esac
  checked=$((checked + 1))
  if ! cmp -s "$text" "$scratch/$name"; then
    echo "FAILED: $name"
    diff "$text" "$scratch/$name" || true
    failed=$((failed + 1))
  fi
  rm -f "$scratch/$name"
done
# The remaining texts are those of subcommands that have no expected text.
for text in "$scratch"/*.txt; do
  [ -e "$text" ] || continue
  echo "FAILED: $(basename "$text") is not in $expected"
  failed=$((failed + 1))
done
echo "$((checked - failed)) passed, $failed failed"
[ "$checked" -gt 20 ] && [ "$failed" = 0 ]
