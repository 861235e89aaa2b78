#!/usr/bin/env bash
# Measures what an entry process adds to calls, and what it costs when idle. Build first: mvn -B package -DskipTests
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT
start() {
  local name=$1
  shift
  java -XX:+UseSerialGC "$@" >"$work/$name.out" 2>"$work/$name.log" &
  last=$!
  pids+=("$last")
}
address() {
  for _ in $(seq 1 240); do
    if grep -q "$2" "$work/$1.out"; then break; fi
    sleep 0.25
  done
  sed -n "s/.*$2 //p" "$work/$1.out"
}
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

standin=standin/target/auburnhall-standin-0.1.0-all.jar
start platform -jar "$standin" platform --kv-port 0 --http-port 0 --list-lag-ms 200
both=$(address platform "listens at")
kv=${both%% *}
platform=${both##* }
start engine -jar "$standin" engine --instance engine-1 --data-centre dc1 --fabric-domain fabric-a --platform "$platform" \
  --capacity 512 --token-millis 0 --prefill-millis 0
engine=$(address engine "listens at")
start service -jar "$standin" service --instance stock-1 --service stock --data-centre dc1 --platform "$platform"
service=$(address service "listens at")
start entry -Xmx256m -jar entry/target/auburnhall-entry-0.1.0-all.jar --instance entry-1 --data-centre dc1 --store "$kv" \
  --platform "$platform" --port 0 --peer-port 0 --operators "ana=$(digest bench-operator)"
entry_pid=$last
entry=$(address entry "serves at")

mkdir "$work/lists"
cat >"$work/lists/customers.json" <<LIST
{"plans":[{"name":"bench","requests_per_second":100000,"tokens_per_second":10000000,"concurrent_requests":1000,
"first_token_ms":60000,"answer_ms":60000}],
"customers":[{"id":"bench","plan":"bench","key_sha256":["$(digest bench-key)"]}]}
LIST
cat >"$work/lists/usage.json" <<LIST
{"models":[{"name":"assistant","version":"1","instances_per_replica":1}],"services":[{"name":"stock"}],
"grants":[{"plan":"bench","models":["assistant"],"services":["stock"]}]}
LIST
AUBURNHALL_ENTRY=$entry AUBURNHALL_OPERATOR_KEY=bench-operator \
  java -jar ctl/target/auburnhall-ctl-0.1.0-all.jar apply "$work/lists" --expect 0
sleep 10

cpu() { awk '{ print $14 + $15 }' "/proc/$entry_pid/stat"; }
before=$(cpu)
sleep 30
after=$(cpu)
echo "idle entry process: $(awk '/VmRSS/ { print $2 }' "/proc/$entry_pid/status") kB resident," \
  "$(((after - before) * 100 / 30)) hundredths of a percent of a core over 30 s"
java -jar bench/target/auburnhall-bench-0.1.0-all.jar latency --entry "$entry" --engine "$engine" --service "$service" \
  --key bench-key
echo "entry process after the run: $(awk '/VmRSS/ { print $2 }' "/proc/$entry_pid/status") kB resident"
