#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
mkdir -p target
cd review/standin3
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o "$root/target/standin3" .
