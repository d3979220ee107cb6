#!/usr/bin/env bash
# Compares the routing policy with its baselines on one of the example
# deployments, scaled down to this machine and run on loopback.
# Usage: scripts/compare.sh ledgerworks|carpatia [SECONDS [RATE...]]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:?expected ledgerworks or carpatia}
seconds=${2:-10}
shift $(($# < 2 ? $# : 2))
case $deployment in
ledgerworks)
  long=dossier-70b short=tags-3b app=ledger
  customers=(malabar-society travancore-society kochi-galleries heirs ledger-clerks)
  rates=(50 70 105) ;;
carpatia)
  long=briefing-70b short=checkpoint-8b app=entrant-desk
  customers=($(grep -oE '"name": "[a-z-]+", "weight"' examples/carpatia/fleet.jsonc | cut -d'"' -f4))
  rates=(50 70 105) ;;
*)
  echo "expected ledgerworks or carpatia, got $deployment" >&2
  exit 2 ;;
esac
[ $# -gt 0 ] && rates=("$@")

binary=$PWD/bin/waxwingcart
work=$(mktemp -d "${TMPDIR:-/tmp}/waxwingcart-compare.XXXXXX")
. scripts/lib.sh
trap finish EXIT
trap 'exit 130' INT TERM

echo peer-secret >"$work/peer.key"
echo operator-secret >"$work/operator.key"
# Replaces the examples' addresses by loopback addresses and their directories by
# the work directory, and raises the customers' limits, so that only the servers'
# capacity limits the load.
for file in examples/"$deployment"/*.jsonc; do
  name=$(basename "$file" .jsonc)
  sed -e 's/"10\./"127./g' -e "s#/etc/waxwingcart#$work#; s#/var/lib/waxwingcart#$work/$name#" \
    -e '/"platform":/d' \
    -e 's/"requests_per_second": [0-9]*, "tokens_per_second": [0-9]*/"requests_per_second": 1000, "tokens_per_second": 1000000/' \
    "$file" >"$work/$name.json"
done

# The stand-ins are restarted for each policy, so that all policies start with
# empty prefix caches.
servers=$(tr -d '\n' <"$work/fleet.json" | grep -oE '\{"name": "[^"]*", "vm"[^}]*\}' |
  sed -E 's/.*"name": "([^"]*)", "vm".*"service": "([^"]*)".*"address": "([^"]*)".*"vendor": "([^"]*)".*/\1 \2 \3 \4/')
standins=()
start_servers() {
  local name service address vendor kind
  standins=()
  while read -r name service address vendor; do
    standins+=(--standin "$address")
    kind=model
    [ "$vendor" = gamma ] && kind=app
    [ -n "${pids[$name]:-}" ] && stop "$name" KILL
    start "$name" standin --listen "$address" --kind "$kind" --vendor "$vendor" --name "$name" \
      --slots 4 --tokens-per-second 112 --prefill-tokens-per-second 8000 --kv-tokens 16384
  done <<<"$servers"
}
start_servers

entries=()
for i in 1 2 3 4 5 6 7; do
  start "entry-$i" run --config "$work/entry-$i.json"
  entries+=("$(grep -oE '"callers": "[^"]*"' "$work/entry-$i.json" | cut -d'"' -f4)")
done
admin=$(grep -oE '"admin": "[^"]*"' "$work/entry-1.json" | cut -d'"' -f4)
ctl() { "$binary" ctl --server "$admin" --key-file "$work/operator.key" "$@"; }
until_ready "the first configuration" ctl apply "$work/fleet.json" --wait 1s
for entry in "${entries[@]}"; do
  until_ready "$entry" curl -fsS "http://$entry/readyz"
done

flags=()
for entry in "${entries[@]}"; do
  flags+=(--entry "$entry")
done
for customer in "${customers[@]}"; do
  flags+=(--customer "$customer=example-key-$customer")
done

# p95 CLASS MEASURE prints the 95th percentile of a class's measure in
# milliseconds.
p95() {
  grep -A60 "\"$1\": {" "$work/load.json" | grep -A4 -m1 "\"$2\": {" | grep -oE '"p95_ms": [0-9.]+' | cut -d' ' -f2
}

# field NAME prints the first number of that name in the load result.
field() { grep -m1 -oE "\"$1\": [0-9.]+" "$work/load.json" | cut -d' ' -f2; }

measure() {
  local label=$1 rate=$2
  "$binary" load "${flags[@]}" "${standins[@]}" --json --fleet "$work/fleet.json" --seed 7 \
    --rate "$rate" --duration "${seconds}s" --model "$long" --answer-model "$short" --app "$app" \
    --mix "briefing=3;answer=4;booking=1;lookup=2" >"$work/load.json" 2>>"$work/load.log" || echo "load reported faults for $label at $rate/s"
  printf '%-20s %4s/s %5s sent, %5s full, inside target %.3f of accepted %.3f of sent; p95 ms: briefing %7.1f answer %6.1f booking %6.1f refusal %6.1f; price/1000 %8.4f; prompt tokens computed %7s repeated %6s\n' \
    "$label" "$rate" "$(field sent)" "$(field full)" "$(field inside_of_accepted)" "$(field inside_of_sent)" \
    "$(p95 briefing first_token)" "$(p95 answer first_token)" "$(p95 booking first_token)" "$(p95 all refusal)" \
    "$(field price_per_1000_inside)" "$(field prefill)" "$(field prefill_repeated)"
}

policy() {
  local label=$1 expression=$2 rate
  sed -e "$expression" "$work/fleet.json" >"$work/fleet-now.json"
  ctl apply "$work/fleet-now.json" >/dev/null
  start_servers
  sleep 4
  for rate in "${rates[@]}"; do
    measure "$label" "$rate"
  done
}

policy "expected-completion" ""
[ -n "${KEEP:-}" ] && cp "$work/load.json" "$KEEP"
if [ -n "${ONLY_DEFAULT:-}" ]; then
  exit 0
fi
policy "no-affinity" 's/"prefix_affinity": true/"prefix_affinity": false/'
policy "least-in-flight" 's/"routing": "expected-completion"/"routing": "least-in-flight"/'
policy "round-robin" 's/"routing": "expected-completion"/"routing": "round-robin"/'
policy "unlimited-retries" 's/"retry_budget_ratio": [0-9.]*/"retry_budget_ratio": 1/'
