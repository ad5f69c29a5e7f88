#!/usr/bin/env bash
# Generates Go code from the .proto files under api/ into the folder named by
# the first argument. It needs no protoc, since buf runs the pinned local plugins.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:?usage: generate.sh OUT}
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -modfile=tools/generate/go.mod -o "$plugins/" \
  github.com/bufbuild/buf/cmd/buf \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  google.golang.org/grpc/cmd/protoc-gen-go-grpc
template=$(printf '{"version":"v2","plugins":[{"local":"%s","out":"%s","opt":"paths=source_relative"},{"local":"%s","out":"%s","opt":"paths=source_relative"}]}' \
  "$plugins/protoc-gen-go" "$out" "$plugins/protoc-gen-go-grpc" "$out")
"$plugins/buf" generate --template "$template" api
