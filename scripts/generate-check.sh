#!/usr/bin/env bash
# Fails when the committed generated code differs from the code that is generated
# from the .proto files.
set -euo pipefail
cd "$(dirname "$0")/.."
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
./scripts/generate.sh "$fresh"
status=0
while IFS= read -r file; do
  if ! cmp -s "$fresh/$file" "api/$file"; then
    echo "generated code is stale: api/$file (run make generate)"
    status=1
  fi
done < <(cd "$fresh" && find . -name '*.pb.go')
exit $status
