#!/usr/bin/env bash
# Checks the models with spin and prints one line per check. The search of a
# model must be exhaustive and find no error; that of each mutation must find
# one.
set -uo pipefail
cd "$(dirname "$0")"
models=$PWD

readonly MEMORY_MB=1900
readonly DEPTH=1000000
readonly TIMEOUT_S=600

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
status=0

# search MODEL FLAG...: builds and runs the verifier and sets output to what it
# prints.
search() {
  local model=$1
  shift
  output=""
  (
    cd "$work" || exit 1
    rm -f pan pan.* ./*.trail
    spin -a "$@" "$models/$model.pml" || exit 1
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DNOREDUCE "-DMEMLIM=$MEMORY_MB" -o pan pan.c
  ) >"$work/build.log" 2>&1 || {
    cat "$work/build.log" >&2
    return 1
  }
  output=$(cd "$work" && timeout "$TIMEOUT_S" ./pan "-m$DEPTH" -n 2>&1)
}

# report RESULT NAME: prints one line, and sets status to 1 if the check failed.
report() {
  local states memory
  states=$(sed -nE 's/^ *([0-9.e+]+) states, stored.*/\1/p' <<<"$output")
  memory=$(sed -nE 's/^ *([0-9.]+).*total actual memory usage.*/\1/p' <<<"$output")
  printf '%-6s %-64s %s states, %s MB, %d s\n' "$1" "$2" "${states:-no}" "${memory:-no}" "$((SECONDS - started))"
  if [ "$1" = FAILED ]; then
    sed 's/^/    /' <<<"$output" >&2
    status=1
  fi
}

# exhaustive reports whether the search completed within its limits.
exhaustive() {
  ! grep -qE 'max search depth too small|out of memory|reached -DMEMLIM|Search not completed|aborted|resizing.*failed' <<<"$output" &&
    grep -qE '^Full statespace search' <<<"$output"
}

# holds MODEL FLAG...: the search must be exhaustive and find no error.
holds() {
  started=$SECONDS
  if search "$@" && exhaustive && grep -q 'errors: 0$' <<<"$output"; then
    report holds "$*"
  else
    report FAILED "$*"
  fi
}

# found MODEL FLAG...: the search must end with a failed assertion.
found() {
  started=$SECONDS
  search "$@"
  if grep -q 'assertion violated' <<<"$output" && grep -qE 'errors: [1-9]' <<<"$output"; then
    report found "$*"
  else
    report FAILED "$*"
  fi
}

holds election -DTERMS=2 -DSLOTS=2 -DLOSSES=2
holds election -DTERMS=3 -DSLOTS=1 -DLOSSES=1
holds election -DTERMS=2 -DSLOTS=2 -DLOSSES=2 -DBEGUN
holds election -DTERMS=3 -DSLOTS=1 -DLOSSES=0 -DBEGUN
holds election -DTERMS=2 -DSLOTS=3 -DLOSSES=0 -DONE_ENTRY
holds election -DTERMS=2 -DSLOTS=2 -DLOSSES=2 -DONE_VM
holds election -DTERMS=2 -DSLOTS=2 -DLOSSES=2 -DONE_VM -DBEGUN
holds election -DTERMS=2 -DSLOTS=2 -DLOSSES=2 -DADD_FIRST
holds election -DTERMS=2 -DSLOTS=2 -DLOSSES=2 -DADD_FIRST -DBEGUN
found election -DTERMS=2 -DEMPTY_DISK_VOTES
found election -DTERMS=2 -DVOTE_FORGOTTEN
found election -DTERMS=2 -DOLDER_LOG_WINS
found election -DTERMS=2 -DSWAP_VOTER
found election -DTERMS=2 -DNEW_MAJORITY_ONLY
found election -DTERMS=2 -DBEGUN -DOLD_MAJORITY_ONLY
found election -DTERMS=2 -DBEGUN -DREMOVE_OTHER
found election -DTERMS=2 -DSLOTS=3 -DLOSSES=0 -DONE_ENTRY -DOLD_MAJORITY_ONLY
found election -DTERMS=2 -DSLOTS=3 -DLOSSES=0 -DTWO_CHANGES
found election -DTERMS=2 -DSLOTS=3 -DLOSSES=0 -DADD_FIRST -DTWO_CHANGES
found election -DTERMS=2 -DLOSSES=2 -DONE_VM -DADD_FIRST
found election -DTERMS=2 -DLOSSES=2 -DONE_VM -DOTHER_VM

holds reservation
found reservation -DDISPATCH_EARLY
found reservation -DOWNER_BY_NAME
found reservation -DRESEND_DISPATCH
found reservation -DNOT_RUN_LATE
found reservation -DABANDON_IGNORED
found reservation -DGONE_IS_NOT_RUN
found reservation -DRECORD_ANY_OWNER

holds config
holds config -DHOME_REPLICA
found config -DNO_BASE_CHECK
found config -DNO_CHANGE_ID
found config -DTAKE_OLDER
found config -DANY_REPLICA
found config -DQUORUM_OF_KNOWN
found config -DHOME_REPLICA -DHOME_NOT_FIRST
found config -DHOME_REPLICA -DHOME_NOT_SYNCED

holds orders
holds orders -DCHECKED
found orders -DNO_WAIT
found orders -DNO_DRIFT
found orders -DNO_ROOM
found orders -DNO_LEASE_CHECK
found orders -DLEASE_FROM_ANSWER
found orders -DFREEZE_BEFORE_SEND
found orders -DCHECKED -DNUMBER_IGNORED

exit $status
