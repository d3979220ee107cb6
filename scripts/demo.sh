#!/usr/bin/env bash
# Runs a small deployment on loopback and checks the answers that its callers
# get. Exits with a non-zero status if a check fails. Stops every process that it
# started.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v curl >/dev/null || { echo "make demo needs curl" >&2; exit 1; }

binary=$PWD/bin/waxwingcart
work=$(mktemp -d "${TMPDIR:-/tmp}/waxwingcart-demo.XXXXXX")
. scripts/lib.sh
trap finish EXIT
trap 'exit 130' INT TERM

check() {
  local what=$1 got=$2 want=$3
  printf '  %-52s %s\n' "$what" "$got"
  if [ "$got" != "$want" ]; then
    echo "  expected: $want" >&2
    exit 1
  fi
}

printf 'peer-secret-%s\n' "$RANDOM$RANDOM" >"$work/peer.key"
printf 'operator-secret-%s\n' "$RANDOM$RANDOM" >"$work/operator.key"
caller_key=demo-key
key_hash=$(printf '%s' "$caller_key" | sha256sum | cut -d' ' -f1)

zones=(kochi-a kochi-b)
declare -A address=()
for name in e1 e2 r1 r2 r3; do
  for use in callers peers admin; do
    free_port
    address[$name.$use]=127.0.0.1:$port
  done
done
for name in m1 m2 a1; do
  free_port
  address[$name]=127.0.0.1:$port
done

peers() {
  local names=("$@") out=() i=0
  for name in "${names[@]}"; do
    out+=("{\"vm\": \"$name\", \"zone\": \"${zones[$((i % 2))]}\", \"address\": \"${address[$name.peers]}\"}")
    i=$((i + 1))
  done
  local IFS=,
  echo "${out[*]}"
}

settings() {
  local name=$1 zone=$2 role=$3 extra=$4
  cat >"$work/$name.json" <<EOF
{
  "name": "$name",
  "zone": "$zone",
  "roles": ["$role"],
  "listen": {$extra "peers": "${address[$name.peers]}", "admin": "${address[$name.admin]}"},
  "data_dir": "$work/$name",
  "bootstrap": $([ "$name" = r1 ] && echo true || echo false),
  "replicas": [$(peers r1 r2 r3)],
  "entries": [$(peers e1 e2)],
  "peer_key_file": "$work/peer.key",
  "operator_key_file": "$work/operator.key",
  "drain_s": 20
}
EOF
}

settings r1 kochi-a replica ""
settings r2 kochi-b replica ""
settings r3 kochi-a replica ""
settings e1 kochi-a entry "\"callers\": \"${address[e1.callers]}\","
settings e2 kochi-b entry "\"callers\": \"${address[e2.callers]}\","

server() {
  echo "{\"name\": \"$1\", \"vm\": \"$1\", \"service\": \"$2\", \"zone\": \"$3\", \"class\": \"spot\", \"address\": \"${address[$1]}\", \"vendor\": \"$4\", \"fencing\": \"checked\"}"
}

cat >"$work/fleet.json" <<EOF
{
  // One policy for the fleet and one exception with its reason.
  "defaults": {"deadline_ms": 30000, "progress_timeout_ms": 1500, "max_attempts": 4, "retry_budget_ratio": 0.5},
  "zones": [{"name": "kochi-a", "delays_ms": {"kochi-b": 3}}, {"name": "kochi-b", "delays_ms": {"kochi-a": 3}}],
  "classes": [{"name": "spot", "reclaimable": true, "prices_per_hour": {"kochi-a": 0.4, "kochi-b": 0.5}, "tokens_per_second": 1600, "slots": 16}],
  "services": [
    {"name": "briefings", "kind": "model", "model": "briefing-70b"},
    {"name": "desk", "kind": "app"}
  ],
  "backend_servers": [$(server m1 briefings kochi-a alpha), $(server m2 briefings kochi-b beta), $(server a1 desk kochi-a gamma)],
  "customers": [{"name": "heirs", "key_hashes": ["$key_hash"], "weight": 1, "requests_per_second": 200, "tokens_per_second": 200000, "max_in_flight": 200}],
  "exceptions": [{"service": "desk", "set": {"deadline_ms": 10000}, "reason": "Clerks resend after ten seconds."}]
}
EOF

"$binary" check "$work"/*.json >/dev/null

echo "Starting three replicas, two entries, two model engines and one app service"
start m1 standin --listen "${address[m1]}" --kind model --vendor alpha --name m1 --slots 16
start m2 standin --listen "${address[m2]}" --kind model --vendor beta --name m2 --slots 16
start a1 standin --listen "${address[a1]}" --kind app --vendor gamma --name a1 --slots 16
for name in r1 r2 r3 e1 e2; do
  start "$name" run --config "$work/$name.json"
done

ctl() { "$binary" ctl --server "${address[r2.admin]}" --key-file "$work/operator.key" "$@"; }
dump_has() { "$binary" dump "${address[$1.admin]}" --key-file "$work/operator.key" | grep -q "$2"; }
three_voters() {
  "$binary" dump "${address[r1.admin]}" --key-file "$work/operator.key" |
    tr -d ' \n' | grep -qE '"voters":\["r[^]]*","r[^]]*","r[^]]*"\]'
}
until_ready "three voters" three_voters

echo "Applying the fleet configuration"
ctl apply "$work/fleet.json" --change-id demo-1 --base 0 | sed 's/^/  /'
for name in e1 e2; do
  until_ready "$name ready" curl -fsS "http://${address[$name.callers]}/readyz"
done

call() {
  local entry=$1 path=$2
  shift 2
  curl -sS --max-time 30 -H "Authorization: Bearer $caller_key" "$@" "http://${address[$entry.callers]}$path"
}
briefing='{"model": "briefing-70b", "stream": true, "max_tokens": 40, "messages": [{"role": "user", "content": "Checkpoints from Cluj to Brasov"}]}'

echo "What callers see"
call e1 /v1/chat/completions -d "$briefing" >"$work/stream.txt"
check "tokens of a streamed briefing" "$(grep -c '^id: ' "$work/stream.txt")" 40
check "end of the stream" "$(grep -c 'data: \[DONE\]' "$work/stream.txt")" 1

booking='{"rider": "Ilse", "slot": 7}'
call e1 /services/desk/bookings -d "$booking" -H 'Idempotency-Key: b-7' >"$work/booking1"
call e2 /services/desk/bookings -d "$booking" -H 'Idempotency-Key: b-7' >"$work/booking2"
check "second booking under the same key, same answer" "$(cmp -s "$work/booking1" "$work/booking2" && echo same || echo different)" same
runs=$(curl -sS "http://${address[a1]}/standin/runs" | tr ',' '\n' | grep -c 'r-')
check "runs of the booking at the server" "$runs" 1
check "the key with another body" "$(call e2 /services/desk/bookings -d '{"rider": "Ana"}' -H 'Idempotency-Key: b-7' -o /dev/null -w '%{http_code}')" 422
check "a looked-up record" "$(call e2 /services/desk/records/17 -o /dev/null -w '%{http_code}')" 200

echo "Losing one entry, one engine and one replica while load runs"
standins=(--standin "${address[m1]}" --standin "${address[m2]}" --standin "${address[a1]}")
"$binary" load --entry "${address[e1.callers]}" --entry "${address[e2.callers]}" "${standins[@]}" \
  --customer "heirs=$caller_key" --app desk --rate 30 --duration 12s --briefing-tokens 60 --retries 3 \
  --fleet "$work/fleet.json" --fail-broken >"$work/load.txt" 2>"$work/load.log" &
pids[load]=$!
sleep 3
stop e2 TERM
sleep 2
stop m2 TERM
sleep 2
stop r3 KILL
load_status=0
wait "${pids[load]}" || load_status=$?
unset 'pids[load]'
sed 's/^/  /' "$work/load.txt" "$work/load.log"
check "exit code of load" "$load_status" 0
echo "demo passed"
