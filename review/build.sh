#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOWORK=off GOFLAGS="-buildvcs=false -mod=mod" go build -o ../bin/standin .
