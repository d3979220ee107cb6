# Functions for scripts that start processes on loopback. The caller sets
# binary and work, and registers finish as its exit trap.

declare -A pids=()

# finish stops all processes that start started, by their IDs. It removes the work
# directory if the script succeeded, and otherwise keeps it for its logs.
finish() {
  local status=$? name running
  trap - EXIT INT TERM
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for _ in $(seq 50); do
    running=0
    for name in "${!pids[@]}"; do
      kill -0 "${pids[$name]}" 2>/dev/null && running=1
    done
    [ "$running" = 0 ] && break
    sleep 0.1
  done
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  if [ "$status" = 0 ]; then
    rm -rf "$work"
  else
    echo "failed; logs are in $work" >&2
  fi
  exit "$status"
}

# free_port sets port to a loopback port on which nothing listens, below the
# kernel's ephemeral range, so that no outgoing connection takes it.
next_port=$((10000 + RANDOM % 20000))
free_port() {
  while :; do
    next_port=$((next_port + 1))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; then
      port=$next_port
      return
    fi
  done
}

# start NAME ARGUMENTS runs the binary in the background under a name.
start() {
  local name=$1
  shift
  "$binary" "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop NAME SIGNAL signals a process and waits for it to exit.
stop() {
  local name=$1 signal=$2
  kill "-$signal" "${pids[$name]}"
  wait "${pids[$name]}" 2>/dev/null || true
  unset "pids[$name]"
}

# until_ready WHAT COMMAND... repeats a command until it succeeds, and exits the
# script if it has not after 150 attempts.
until_ready() {
  local what=$1
  shift
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  echo "timed out: $what" >&2
  exit 1
}
