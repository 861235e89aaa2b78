#!/usr/bin/env bash
# Measures what control costs: calls to the store, bytes sent, processor time and memory of entry processes at rest, and
# how long a change takes until it is in force everywhere. Needs ss and curl.
# usage: scripts/bench-fleet.sh "3 10 20" "4 8 16"   (numbers of entry processes, numbers of engine instances)
# Build first: mvn -B package -DskipTests.
set -euo pipefail
cd "$(dirname "$0")/.."
processes=${1:-"3 10 20"}
instances=${2:-"8"}
seconds=20
work=$(mktemp -d)
pids=()
end_all() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
finish() {
  end_all
  rm -rf "$work"
}
trap finish EXIT
start() {
  local name=$1
  shift
  java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 "$@" >"$work/$name.out" 2>"$work/$name.log" &
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
ticks() {
  local sum=0 pid
  for pid in "${entry_pids[@]}"; do sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/$pid/stat"))); done
  echo "$sum"
}
resident() {
  local sum=0 pid
  for pid in "${entry_pids[@]}"; do sum=$((sum + $(awk '/VmRSS/ { print $2 }' "/proc/$pid/status"))); done
  echo $((sum / ${#entry_pids[@]}))
}
# Bytes that the entry processes have sent over the connections they hold now.
sent() {
  local pattern
  pattern=$(printf 'pid=%s,|' "${entry_pids[@]}")
  ss -tniHpO | grep -E "${pattern%|}" | grep -o 'bytes_sent:[0-9]*' | cut -d: -f2 | awk '{ s += $1 } END { print s + 0 }'
}
store_calls() { curl -s "$platform/counts" | grep -o '"range":[0-9]*\|"txn":[0-9]*\|"lease[^,]*' | grep -o '[0-9]*$' | awk '{ s += $1 } END { print s }'; }
status() { curl -s -m 5 -H "Authorization: Bearer bench-operator" "$1/operator/status"; }

standin=standin/target/auburnhall-standin-0.1.0-all.jar
entry_jar=entry/target/auburnhall-entry-0.1.0-all.jar
ctl_jar=ctl/target/auburnhall-ctl-0.1.0-all.jar

run() {
  local count=$1 engines=$2 number
  start platform -jar "$standin" platform --kv-port 0 --http-port 0 --list-lag-ms 200
  local both
  both=$(address platform "listens at")
  kv=${both%% *}
  platform=${both##* }
  for number in $(seq 1 "$engines"); do
    start "engine-$number" -Xmx64m -jar "$standin" engine --instance "engine-$number" --data-centre "dc$((number % 3))" \
      --fabric-domain "dc$((number % 3))-a" --platform "$platform"
  done
  entry_pids=()
  local entries=()
  for number in $(seq 1 "$count"); do
    start "entry-$number" -Xmx128m -jar "$entry_jar" --instance "entry-$number" --data-centre "dc$((number % 3))" \
      --store "$kv" --platform "$platform" --port 0 --peer-port 0 --operators "ana=$(digest bench-operator)"
    entry_pids+=("$last")
  done
  for number in $(seq 1 "$count"); do entries+=("$(address "entry-$number" "serves at")"); done
  rm -rf "$work/lists"
  cp -r examples/lists "$work/lists"
  export AUBURNHALL_ENTRY=${entries[0]} AUBURNHALL_OPERATOR_KEY=bench-operator
  sleep 10
  java -jar "$ctl_jar" apply "$work/lists" --expect 0 >/dev/null
  sleep 15

  local calls bytes cpu
  calls=$(store_calls)
  bytes=$(sent)
  cpu=$(ticks)
  sleep "$seconds"
  calls=$((($(store_calls) - calls) * 100 / seconds))
  bytes=$((($(sent) - bytes) / seconds))
  cpu=$((($(ticks) - cpu) * 100 / seconds / count))

  sed -i 's/"answer_ms": 60000/"answer_ms": 61000/' "$work/lists/customers.json"
  local began accepted in_force=0 entry
  began=$(date +%s%N)
  java -jar "$ctl_jar" apply "$work/lists" --expect 1 >/dev/null &
  local apply=$!
  while [ "$in_force" -lt "$count" ]; do
    in_force=0
    for entry in "${entries[@]}"; do
      if status "$entry" | grep -q '"config_version":2'; then in_force=$((in_force + 1)); else break; fi
    done
  done
  in_force=$((($(date +%s%N) - began) / 1000000))
  wait "$apply"
  accepted=$((($(date +%s%N) - began) / 1000000))
  echo "| $count | $engines | $((calls / 100)).$(printf %02d $((calls % 100))) | $count | $((bytes / count)) |" \
    "$((cpu / 100)).$(printf %02d $((cpu % 100))) | $(resident) | $in_force | $accepted |"
  end_all
}

echo "| entry processes | engine instances | store calls/s | waiting watches | bytes sent/s per process |" \
  "% of a core per process | resident kB per process | change in force everywhere ms | change accepted ms |"
echo "|---|---|---|---|---|---|---|---|---|"
for count in $processes; do
  for engines in $instances; do run "$count" "$engines"; done
done
