#!/usr/bin/env bash
# Measures the resource use of the processes of a deployment on loopback, idle
# and under load, from /proc. Prints one line per case: processor time, bytes
# read and written by system calls, and resident memory.
#
#   scripts/measure.sh servers 1 128 1024   one entry+replica, N backend servers
#   scripts/measure.sh entries 2 7 20       N entries, one of them with a replica
#   scripts/measure.sh replicas 1 3 5       N replicas and one entry
#   scripts/measure.sh load 20 100          one entry under N requests/s
#
# SECONDS_EACH sets the length of one measurement. Stops every process that it
# started.
set -euo pipefail
cd "$(dirname "$0")/.."
binary=$PWD/bin/waxwingcart
seconds=${SECONDS_EACH:-10}
work=$(mktemp -d "${TMPDIR:-/tmp}/waxwingcart-measure.XXXXXX")
base=$((10000 + RANDOM % 18000))
pids=()
ticks=$(getconf CLK_TCK)

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 0.5
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM

printf 'peer-secret\n' >"$work/peer.key"
printf 'operator-secret\n' >"$work/operator.key"
hash=$(printf %s key | sha256sum | cut -d' ' -f1)

# address NODE USE: prints an address of a node. Nodes are numbered from 0; USE is
# 0 for callers, 1 for peers, 2 for operators.
address() { echo "127.0.0.1:$((base + 4 * $1 + $2))"; }

# peers FIRST LAST: prints the list of these nodes for the settings.
peers() {
  local out=() i
  for i in $(seq "$1" "$2"); do
    out+=("{\"vm\": \"n$i\", \"zone\": \"z$((i % 4))\", \"address\": \"$(address "$i" 1)\"}")
  done
  local IFS=,
  echo "${out[*]}"
}

# node I ROLES REPLICAS ENTRIES: starts node I; REPLICAS and ENTRIES are lists
# that peers printed.
node() {
  local i=$1
  cat >"$work/n$i.json" <<EOF
{"name": "n$i", "zone": "z$((i % 4))", "roles": [$2], "data_dir": "$work/n$i", "bootstrap": $([ "$i" = 0 ] && echo true || echo false),
 "listen": {"callers": "$(address "$i" 0)", "peers": "$(address "$i" 1)", "admin": "$(address "$i" 2)"},
 "replicas": [$3], "entries": [$4], "peer_key_file": "$work/peer.key", "operator_key_file": "$work/operator.key"}
EOF
  "$binary" run --config "$work/n$i.json" 2>"$work/n$i.log" &
  pids+=($!)
}

# apply N: applies a fleet configuration with N backend servers, whose addresses
# all lead to one stand-in.
apply() {
  local list=() i
  for i in $(seq "$1"); do
    list+=("{\"name\": \"m$i\", \"vm\": \"m$i\", \"service\": \"s\", \"zone\": \"z0\", \"class\": \"c\", \"address\": \"127.1.$((i / 250)).$((i % 250 + 1)):$((base + 3))\", \"vendor\": \"alpha\", \"fencing\": \"checked\"}")
  done
  local IFS=,
  cat >"$work/fleet.json" <<EOF
{"defaults": {}, "zones": [{"name": "z0"}, {"name": "z1"}, {"name": "z2"}, {"name": "z3"}],
 "classes": [{"name": "c", "prices_per_hour": {"z0": 1}, "tokens_per_second": 1000, "slots": 64}],
 "services": [{"name": "s", "kind": "model", "model": "briefing-70b"}],
 "backend_servers": [${list[*]}],
 "customers": [{"name": "a", "key_hashes": ["$hash"], "weight": 1, "requests_per_second": 10000, "tokens_per_second": 10000000, "max_in_flight": 10000}]}
EOF
  "$binary" ctl apply "$work/fleet.json" --server "$(address 0 2)" --key-file "$work/operator.key" --base 0 >/dev/null
}

standin() {
  "$binary" standin --listen "0.0.0.0:$((base + 3))" --slots 64 --tokens-per-second 200 2>"$work/standin.log" &
  pids+=($!)
}

# counters PID: prints the clock ticks of processor time, bytes read and bytes
# written.
counters() {
  local stat
  stat=$(cat "/proc/$1/stat")
  stat=${stat##*) }
  echo "$(echo "$stat" | awk '{print $12 + $13}') $(awk '/^rchar/ {r = $2} /^wchar/ {w = $2} END {print r, w}' "/proc/$1/io")"
}

# measure LABEL PID: measures a process and prints one line.
measure() {
  local before after
  before=$(counters "$2")
  sleep "$seconds"
  after=$(counters "$2")
  echo "$before $after" | awk -v label="$1" -v s="$seconds" -v hz="$ticks" -v rss="$(awk '/^VmRSS/ {print $2}' "/proc/$2/status")" \
    '{printf "%-28s cpu %6.2f%% of a core  read %9.0f B/s  written %9.0f B/s  resident %6.1f MiB\n", label, 100 * ($4 - $1) / hz / s, ($5 - $2) / s, ($6 - $3) / s, rss / 1024}'
}

ready() {
  for _ in $(seq 100); do
    curl -fsS "http://$(address "$1" 0)/readyz" >/dev/null 2>&1 && return
    sleep 0.1
  done
  echo "node $1 is not ready" >&2
  exit 1
}

case ${1:-} in
servers)
  for n in "${@:2}"; do
    standin
    node 0 '"entry", "replica"' "$(peers 0 0)" ""
    sleep 1
    apply "$n"
    ready 0
    measure "$n servers" "${pids[1]}"
    stop_all
    rm -rf "$work"/n*
  done
  ;;
entries)
  for n in "${@:2}"; do
    standin
    node 0 '"entry", "replica"' "$(peers 0 0)" "$(peers 0 $((n - 1)))"
    for i in $(seq 1 $((n - 1))); do node "$i" '"entry"' "$(peers 0 0)" "$(peers 0 $((n - 1)))"; done
    sleep 2
    apply 1
    ready $((n - 1))
    measure "$n entries: an entry" "${pids[2]}"
    measure "$n entries: with the replica" "${pids[1]}"
    stop_all
    rm -rf "$work"/n*
  done
  ;;
replicas)
  for n in "${@:2}"; do
    standin
    for i in $(seq 0 $((n - 1))); do node "$i" '"replica"' "$(peers 0 $((n - 1)))" ""; done
    node "$n" '"entry"' "$(peers 0 $((n - 1)))" ""
    sleep 4
    apply 1
    ready "$n"
    for i in $(seq 0 $((n - 1))); do measure "$n replicas: replica $i" "${pids[$((i + 1))]}"; done
    measure "$n replicas: the entry" "${pids[$((n + 1))]}"
    stop_all
    rm -rf "$work"/n*
  done
  ;;
load)
  for n in "${@:2}"; do
    standin
    node 0 '"replica"' "$(peers 0 0)" ""
    node 1 '"entry"' "$(peers 0 0)" ""
    sleep 2
    apply 16
    ready 1
    "$binary" load --entry "$(address 1 0)" --customer a=key --rate "$n" --duration "$((seconds + 3))s" --mix briefing=1 --briefing-tokens 64 --prompt-bytes 1024 --prefix-bytes 512 --price-per-hour 1 >"$work/load.txt" 2>&1 &
    load=$!
    sleep 2
    measure "$n requests/s: the entry" "${pids[2]}"
    wait "$load" || true
    grep -E '^all ' "$work/load.txt" | sed 's/^/  /'
    stop_all
    rm -rf "$work"/n*
  done
  ;;
*)
  sed -n '2,13s/^# \{0,1\}//p' "$0" >&2
  exit 2
  ;;
esac
