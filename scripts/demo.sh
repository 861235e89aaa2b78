#!/usr/bin/env bash
# Builds the system and shows it on one machine: a streamed chat whose replica loses an instance on the way, an order
# that runs once though it is sent twice, and the explanation of what happened. Ends everything it started.
set -euo pipefail
cd "$(dirname "$0")/.."

command -v curl >/dev/null || { echo "demo.sh needs curl"; exit 1; }
echo "== build"
mvn -B -ntp -q package -DskipTests -Dktlint.skip

work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

java_flags=(-Xmx192m -XX:+UseSerialGC -XX:TieredStopAtLevel=1)
entry_jar=entry/target/auburnhall-entry-0.1.0-all.jar
ctl_jar=ctl/target/auburnhall-ctl-0.1.0-all.jar
standin_jar=standin/target/auburnhall-standin-0.1.0-all.jar

# start NAME ARGUMENTS... : starts a process and sets $last to its id
start() {
  local name=$1
  shift
  java "${java_flags[@]}" -jar "$@" >"$work/$name.out" 2>"$work/$name.log" &
  last=$!
  pids+=("$last")
}

# await TEXT COMMAND... : waits until the output of COMMAND contains TEXT
await() {
  local text=$1
  shift
  for _ in $(seq 1 240); do
    if [[ $("$@" 2>/dev/null) =~ $text ]]; then return 0; fi
    sleep 0.25
  done
  echo "gave up waiting for '$text'"
  tail -n 5 "$work"/*.log
  exit 1
}

digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

echo "== start the platform stand-in"
start platform "$standin_jar" platform --kv-port 0 --http-port 0 --list-lag-ms 1000
await "listens at" cat "$work/platform.out"
kv=$(sed -n 's/.*listens at \([^ ]*\) and .*/\1/p' "$work/platform.out")
platform=$(sed -n 's/.* and \([^ ]*\)$/\1/p' "$work/platform.out")

echo "== start four engine instances in two fabric domains and one plain service"
declare -A engine
for domain in fabric-a fabric-b; do
  for number in 1 2; do
    start "$domain-$number" "$standin_jar" engine --instance "$domain-$number" --data-centre centro-1 \
      --fabric-domain "$domain" --platform "$platform" --accelerators 8 --token-millis 30
    engine[$domain-$number]=$last
  done
done
start stock-1 "$standin_jar" service --instance stock-1 --service stock --data-centre centro-1 --platform "$platform"

echo "== start three entry processes"
entries=()
for number in 1 2 3; do
  start "entry-$number" "$entry_jar" --instance "entry-$number" --data-centre centro-1 --store "$kv" \
    --platform "$platform" --port 0 --peer-port 0 --operators "ana=$(digest demo-operator-key)" \
    --balancer-seconds 1 --drain-seconds 20
  await "serves at" cat "$work/entry-$number.out"
  entries+=("$(sed -n 's/.*serves at //p' "$work/entry-$number.out")")
done
export AUBURNHALL_ENTRY AUBURNHALL_OPERATOR_KEY
AUBURNHALL_ENTRY=$(IFS=,; echo "${entries[*]}")
AUBURNHALL_OPERATOR_KEY=demo-operator-key
ctl() { java "${java_flags[@]}" -jar "$ctl_jar" "$@"; }

echo "== apply the two lists"
cp -r examples/lists "$work/lists"
ctl apply "$work/lists" --expect 0 --note "first lists"
await "serving.*serving" sh -c 'curl -s -H "Authorization: Bearer $0" "$1/operator/status" | tr -d "\n"' \
  "$AUBURNHALL_OPERATOR_KEY" "${entries[0]}"
ctl status

key="Authorization: Bearer demo-shop-key"
chat='{"model":"assistant","stream":true,"max_tokens":120,"messages":[{"role":"user","content":"Draft a reply to the shop."}]}'
echo "== a streamed chat; one instance of its replica is killed on the way"
curl -sN -D "$work/chat.headers" -H "$key" -d "$chat" "${entries[0]}/v1/chat/completions" >"$work/chat.events" &
caller=$!
await "n20 " cat "$work/chat.events"
busy=""
for name in "${!engine[@]}"; do
  live=$(curl -s "$(sed -n 's/.*listens at //p' "$work/$name.out")/v1/engine/live")
  if [[ $live != *'"running":0'* ]]; then busy=$name; fi
done
victim="${busy%-*}-2"
echo "killing instance $victim, a member of the replica led by $busy"
kill -9 "${engine[$victim]}"
wait "$caller"
tokens=$(grep -o 'n[0-9]* "' "$work/chat.events" | tr -d 'n "')
if [ "$tokens" == "$(seq 0 119)" ] && grep -q '\[DONE\]' "$work/chat.events"; then
  echo "the answer is whole: 120 tokens, each once and in order"
else
  echo "the answer is NOT whole"
  exit 1
fi
request=$(sed -n 's/^X-Request-Id: \([a-z0-9_]*\).*/\1/Ip' "$work/chat.headers")

echo "== an order, sent twice through different entry processes"
for entry in "${entries[1]}" "${entries[2]}"; do
  curl -s -H "$key" -H 'Idempotency-Key: order-17' -d '{"bundle":"cot sheets","count":3}' "$entry/services/stock/orders"
  echo
done
service=$(sed -n 's/.*listens at //p' "$work/stock-1.out")
echo "orders that ran at the service: $(curl -s "$service/history" | grep -o '"number"' | wc -l)"

echo "== what happened to the chat, asked at another entry process"
AUBURNHALL_ENTRY=${entries[2]} ctl explain "$request"
echo "== who changed the lists"
ctl audit
