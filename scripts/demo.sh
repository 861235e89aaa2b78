#!/usr/bin/env bash
# Builds the system and demonstrates it on one machine: a stream whose replica loses a member, a non-idempotent request,
# a planned stop during a stream, and the explanation of a request from the logs. Kills every process it started.
set -euo pipefail
cd "$(dirname "$0")/.."

command -v curl >/dev/null || { echo "demo.sh needs curl"; exit 1; }
echo "== build"
export MAVEN_OPTS="-XX:TieredStopAtLevel=1 -XX:+UseParallelGC -XX:ReservedCodeCacheSize=512m"
mvn -B -ntp -q package -Dmaven.test.skip=true -Dktlint.skip -pl entry,ctl,standin -am

work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

# await TEXT FILE : waits until a line of FILE contains TEXT, at most 60 s
await() {
  for _ in $(seq 1 240); do
    if grep -q "$1" "$2" 2>/dev/null; then return 0; fi
    sleep 0.25
  done
  echo "timed out after 60 s waiting for '$1'"
  tail -n 5 "$work"/*.log
  exit 1
}

echo "== start a stand-in platform: a store, eight model workers in two fabric domains, one worker of a plain service"
java -Xmx64m -XX:+UseSerialGC -jar target/auburnhall-standin.jar >"$work/standin.log" 2>&1 &
pids+=("$!")
await "store=" "$work/standin.log"
store=$(sed -n 's/.*store=\([0-9]*\).*/\1/p' "$work/standin.log")
control=$(sed -n 's/.*control=\([0-9]*\).*/\1/p' "$work/standin.log")

echo "== start two entry processes"
for number in 1 2; do
  base=$((20000 + RANDOM % 20000))
  printf '%s' "{\"node_name\":\"entry-$number\",\"ip\":\"127.0.0.$number\",\"zone\":\"z1\",
    \"listen\":{\"front\":\"127.0.0.$number:$base\",\"ready\":\"127.0.0.$number:$((base + 1))\"},
    \"internal_ports\":[19341,19341],\"bootstrap\":true,
    \"bounds\":{\"grace_s\":8,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"retry_budget_extra\":100},
    \"platform\":{\"address\":\"127.0.0.1:$store\",\"ttl_min_ms\":1000}}" >"$work/entry-$number.json"
  java -jar target/auburnhallctl.jar check "$work/entry-$number.json"
  AUBURNHALL_BOOT="$work/entry-$number.json" java -Xmx64m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -jar target/auburnhall.jar --metrics-port 0 >"$work/entry-$number.log" 2>&1 &
  pids+=("$!")
  entry[number]="http://127.0.0.$number:$base"
  await "configuration.applied" "$work/entry-$number.log"
done
for _ in $(seq 1 240); do
  if [ "$(cat "$work"/entry-*.log | grep -c replica.opened)" -ge 2 ]; then break; fi
  sleep 0.25
done
sleep 1

# call ENTRY PATH ID : sends a request with the customer's API key
call() {
  curl -sN -X POST -H "Host: chat.example" -H "Authorization: Bearer demo-key" -H "Model: assistant" \
    -H "Attempt-Id: $3" "${entry[$1]}$2"
}

echo "== a stream; a member of its replica is killed while it runs"
call 1 /chat/draft stream-1 >"$work/stream" &
caller=$!
await "^id: 5" "$work/stream"
domain=$(curl -s "http://127.0.0.1:$control/" | grep -o 'i-d[12]-[0-9] alive=true runs=1' | cut -c1-4 | head -n 1)
for number in 1 2 3 4; do
  runs=$(curl -s "http://127.0.0.1:$control/" | grep "^$domain-$number " | sed 's/.*runs=//')
  if [ "$runs" = 1 ]; then victim="$domain-$number"; fi
done
echo "killing $victim, the head of the replica that serves it"
curl -s "http://127.0.0.1:$control/kill?$victim" >/dev/null
wait "$caller"
if [ "$(grep -o '^id: [0-9]*' "$work/stream" | cut -c5- | tr '\n' ' ')" = "$(seq 1 40 | tr '\n' ' ')" ]; then
  echo "the answer is whole: 40 events, each once and in order"
else
  echo "the answer is NOT whole"
  exit 1
fi

echo "== a non-idempotent request"
call 2 /orders/new order-1
echo

echo "== a stream during a planned stop of its entry process"
call 1 /chat/draft stream-2 >"$work/stream-2" &
caller=$!
await "^id: 5" "$work/stream-2"
kill "${pids[1]}"
wait "$caller"
[ "$(grep -c '^id: ' "$work/stream-2")" = 40 ] && echo "the answer is whole"

echo "== explanation of the first stream from the logs of both entry processes"
java -jar target/auburnhallctl.jar explain stream-1 "$work"/entry-*.log
