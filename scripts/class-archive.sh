#!/usr/bin/env bash
# Makes target/auburnhall.jsa, the class-data archive from which entry processes start. It is taken from a process that
# follows another one, serves requests, becomes the controller and stops, since each class that a process needs and the
# archive lacks costs processor time at its start. Kills every process it started.
# class-archive.sh [OPTION...]: the JVM options with which entry processes run
set -euo pipefail
cd "$(dirname "$0")/.."

work=target/class-archive
mkdir -p "$work"
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap finish EXIT

# await TEXT FILE : waits until a line of FILE contains TEXT, at most 60 s
await() {
  for _ in $(seq 1 600); do
    if grep -q "$1" "$2" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "timed out after 60 s waiting for '$1' in $2"
  tail -n 5 "$work"/*.log
  exit 1
}

java -Xmx64m -XX:+UseSerialGC -jar target/auburnhall-standin.jar >"$work/standin.log" 2>&1 &
pids+=("$!")
await "store=" "$work/standin.log"
store=$(sed -n 's/.*store=\([0-9]*\).*/\1/p' "$work/standin.log")

# start NUMBER OPTION... : starts entry process NUMBER; the two differ in their data centre, so that loads go by collectors
start() {
  local number=$1
  shift
  local base=$((20000 + RANDOM % 10000))
  printf '%s' "{\"node_name\":\"entry-$number\",\"ip\":\"127.0.0.$number\",\"zone\":\"z$number\",
    \"listen\":{\"front\":\"127.0.0.$number:$base\",\"ready\":\"127.0.0.$number:$((base + 1))\"},
    \"internal_ports\":[$relay,$relay],\"bootstrap\":true,
    \"bounds\":{\"grace_s\":8,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"retry_budget_extra\":100},
    \"platform\":{\"address\":\"127.0.0.1:$store\",\"ttl_min_ms\":1000}}" >"$work/entry-$number.json"
  AUBURNHALL_BOOT="$work/entry-$number.json" java "$@" -jar target/auburnhall.jar --metrics-port 0 --relay-from 2 \
    >"$work/entry-$number.log" 2>&1 &
  pids+=("$!")
  address[number]="127.0.0.$number:$base"
}

# call : makes the sample calls at process 2; again if it had no target, since replicas may just be formed anew
call() {
  for _ in 1 2 3 4 5; do
    if java -jar target/auburnhall-standin.jar --call "${address[2]}"; then return 0; fi
    sleep 0.5
  done
  return 1
}

relay=$((30000 + RANDOM % 2000)) # below the ports that the system gives to connections
start 1 "$@"
await "replica.opened" "$work/entry-1.log"
start 2 -XX:ArchiveClassesAtExit=target/auburnhall.jsa "$@"
await "configuration.applied" "$work/entry-2.log"
await '"event":"relay.chosen".*entry-1' "$work/entry-2.log"
call
kill -9 "${pids[1]}"
await "leadership.taken" "$work/entry-2.log"
call
kill "${pids[2]}"
wait "${pids[2]}" || true
ls -l target/auburnhall.jsa
