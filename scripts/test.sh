#!/usr/bin/env bash
# Runs all tests. Failed tests are tolerated only if KNOWN-RED.txt names each of
# them; its entries are printed. The tests of crowds of callers run after all others,
# one at a time: they measure the memory of a process, kernel buffers included.
set -uo pipefail
cd "$(dirname "$0")/.."

output=$(mktemp)
trap 'rm -f "$output"' EXIT
crowds='^TestHostedIntake'
go test -race -count=1 -timeout 30m -skip "$crowds" ./... 2>&1 | tee "$output"
status=${PIPESTATUS[0]}
go test -race -count=1 -timeout 30m -run "$crowds" ./internal/e2e 2>&1 | tee -a "$output"
status=$((status + PIPESTATUS[0]))

if [ -s KNOWN-RED.txt ]; then
  echo "known failures:"
  cat KNOWN-RED.txt
fi
if [ "$status" -eq 0 ]; then
  exit 0
fi

# A build failure, panic or time-out names no failed test and never passes.
if grep -qE '^(panic:|FAIL.*\[(build|setup) failed\])' "$output"; then
  exit 1
fi
failed=$(sed -nE 's/^--- FAIL: ([^ ]+).*/\1/p' "$output" | sort -u)
if [ -z "$failed" ]; then
  exit 1
fi
for test in $failed; do
  if ! grep -qE "^test: $test( |\$)" KNOWN-RED.txt 2>/dev/null; then
    echo "unexpected failure: $test" >&2
    exit 1
  fi
done
echo "only known failures"
