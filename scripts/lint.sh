#!/usr/bin/env bash
# Checks formatting, runs go vet and staticcheck, and checks that the core packages
# do no I/O.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(git ls-files -co --exclude-standard -- '*.go' | grep -v '^internal/wire/' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted by gofmt:" >&2
  echo "$unformatted" >&2
  exit 1
fi

go vet ./...
go tool staticcheck ./...

# The core packages must not use sockets, files, locks, clocks or loggers.
forbidden='^(net|net/.*|os|os/.*|syscall|sync|sync/.*|log|log/.*|database/.*|io/ioutil|github.com/phuslu/log)$'
status=0
for package in $(go list ./internal/core/...); do
  bad=$(go list -f '{{join .Imports "\n"}}' "$package" | grep -E "$forbidden" || true)
  if [ -n "$bad" ]; then
    echo "$package imports $bad" >&2
    status=1
  fi
done
clocks=$(grep -rnE 'time\.(Now|Sleep|After|AfterFunc|NewTimer|NewTicker|Tick|Since|Until)\(|^\s*go (func|[a-z])' internal/core --include='*.go' --exclude='*_test.go' || true)
if [ -n "$clocks" ]; then
  echo "core code reads a clock or starts a goroutine:" >&2
  echo "$clocks" >&2
  status=1
fi
exit $status
