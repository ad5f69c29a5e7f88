#!/usr/bin/env bash
# Runs all tests except those of the whole system, which run real processes:
# package systemtest and the tests named TestFleetSoak... and TestUntrusted... The
# Makefile runs these afterwards. Tests that KNOWN-RED.txt lists as "PACKAGE TEST: ..." run after the
# others; their output is printed, and their failures are ignored.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}
red=$(sed -n 's/^\(internal[a-z\/]*\) \(Test[A-Za-z0-9]*\):.*/\1 \2/p' KNOWN-RED.txt | grep -v ' TestUntrusted' || true)
packages=$($GO list ./... | grep -v /systemtest$)
for package in $(cut -d' ' -f1 <<<"$red" | sort -u); do
  packages=$(grep -v "/$package\$" <<<"$packages")
done
# shellcheck disable=SC2086
$GO test -race -skip '^TestFleetSoak|^TestUntrusted' $packages
for package in $(cut -d' ' -f1 <<<"$red" | sort -u); do
  skip=$(sed -n "s|^$package \(.*\)|^\1\$|p" <<<"$red" | paste -sd'|')
  $GO test -race -skip "$skip" "./$package"
done
while read -r package test; do
  [ -n "$package" ] || continue
  echo "known failing test of KNOWN-RED.txt: $package $test"
  $GO test -race -run "^$test\$" "./$package" || true
done <<<"$red"
