#!/usr/bin/env bash
# Runs the tests of all packages but those of the whole system, which run real
# processes and come later. Tests that
# KNOWN-RED.txt lists as "PACKAGE TEST: ..." don't decide; they run after the
# others, and what they gave is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
red=$(sed -n 's/^\(internal[a-z\/]*\) \(Test[A-Za-z0-9]*\):.*/\1 \2/p' KNOWN-RED.txt)
packages=$($GO list ./... | grep -v /systemtest$)
for package in $(cut -d' ' -f1 <<<"$red" | sort -u); do
  packages=$(grep -v "/$package\$" <<<"$packages")
done
# shellcheck disable=SC2086
$GO test -race -skip '^TestFleetSoak' $packages
for package in $(cut -d' ' -f1 <<<"$red" | sort -u); do
  skip=$(sed -n "s|^$package \(.*\)|^\1\$|p" <<<"$red" | paste -sd'|')
  $GO test -race -skip "$skip" "./$package"
done
while read -r package test; do
  [ -n "$package" ] || continue
  echo "known red: $package $test"
  $GO test -race -run "^$test\$" "./$package" || true
done <<<"$red"
