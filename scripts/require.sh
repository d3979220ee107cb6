#!/usr/bin/env bash
# Checks that programs are installed. Usage: scripts/require.sh PROGRAM...
set -u
status=0
for program in "$@"; do
  if ! command -v "$program" >/dev/null; then
    echo "$program is missing: install it with the system's package manager" >&2
    status=1
  fi
done
exit $status
