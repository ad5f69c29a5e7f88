#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10, after the build of the deploy file. It
# needs no network: the stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
export GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off GOWORK=off
(cd review/standin2 && go build -o ../../target/review-standin2 .)
