#!/usr/bin/env bash
# Generates the Go code of proto/ into internal/wire. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
GOBIN=$tools go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
PATH=$tools:$PATH protoc --proto_path=proto \
  --go_out=. --go_opt=module=waxwingcart \
  --twirp_out=. --twirp_opt=module=waxwingcart \
  proto/*.proto
