#!/usr/bin/env bash
# Starts stand-ins and three nodes in two availability zones on loopback,
# submits work of each kind through a node that owns no worker, prints the
# results and stops everything by process id. --keep leaves it running.
set -euo pipefail
cd "$(dirname "$0")/../.."

KEEP=false
[ "${1:-}" = --keep ] && KEEP=true

bash misc/scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target damaskgladed damaskglade stand_in_platform \
  stand_in_worker

BIN=$PWD/build
RUN=$PWD/.run/local
rm -rf "$RUN" && mkdir -p "$RUN/config"
PIDS=()
stop_all() {
  # Nodes first, so that they can hand over while the platform still answers.
  for ((I = ${#PIDS[@]} - 1; I >= 0; --I)); do
    kill "${PIDS[I]}" 2>/dev/null || true
    wait "${PIDS[I]}" 2>/dev/null || true
  done
}
$KEEP || trap stop_all EXIT
start() { # NAME COMMAND...
  local NAME=$1
  shift
  "$@" >"$RUN/$NAME.log" 2>&1 &
  PIDS+=($!)
}

start platform "$BIN/tests/stand_ins/stand_in_platform" \
  --table_port=9100 --objects_port=9101 --vms_port=9102
start workers-a "$BIN/tests/stand_ins/stand_in_worker" \
  --id=wa --zone=klang-dock --rack=a1 --port=9200 --count=4
start workers-b "$BIN/tests/stand_ins/stand_in_worker" \
  --id=wb --zone=klang-tunnel --rack=b1 --port=9210 --count=4 --accelerators=2

VMS=""
add_vm() { # ID ZONE RACK PORT ROLE
  VMS+="${VMS:+,}{\"id\":\"$1\",\"zone\":\"$2\",\"rack\":\"$3\","
  VMS+="\"address\":\"127.0.0.1:$4\",\"role\":\"$5\",\"state\":\"live\"}"
}
add_vm n1 klang-dock entry 8111 node
add_vm n2 klang-dock entry 8112 node
add_vm n3 klang-tunnel entry 8113 node
for I in 0 1 2 3; do
  add_vm "wa-$I" klang-dock a1 "$((9200 + I))" worker
  add_vm "wb-$I" klang-tunnel b1 "$((9210 + I))" worker
done
for _ in $(seq 50); do
  curl -sf -o /dev/null -X POST 127.0.0.1:9102/_vms -d "[$VMS]" && break
  sleep 0.1
done

start_node() { # ID ZONE PORT
  cat >"$RUN/$1.ini" <<INI
[node]
id = $1
zone = $2
region = selangor
listen = 127.0.0.1:$3
[platform]
table_url = http://127.0.0.1:9100
objects_url = http://127.0.0.1:9101
vm_list_url = http://127.0.0.1:9102
INI
  start "$1" "$BIN/main/damaskgladed" "--config=$RUN/$1.ini"
}
start_node n1 klang-dock 8111
start_node n2 klang-dock 8112
start_node n3 klang-tunnel 8113

cli() { "$BIN/main/damaskglade" "$@" --server="$ENTRY"; }
ENTRY=127.0.0.1:8111
echo "waiting for the nodes to own all workers"
for _ in $(seq 150); do
  [ "$(cli workers --output=json 2>/dev/null |
    grep -o '"reachable" *: *true' | wc -l)" = 8 ] && break
  sleep 0.2
done

# There are two shards and three nodes, so one node owns no worker.
for PORT in 8111 8112 8113; do
  ENTRY=127.0.0.1:$PORT
  ID=n$((PORT - 8110))
  cli workers --output=json | grep -q "\"owner\" *: *\"$ID\"" || break
done
echo "entry node without workers of its own: $ID"
cli nodes
cli workers

echo "--- idempotent lookup"
cli submit --team=dock --key=lookup-1 --class=lookup --urgency=urgent \
  --run_ms=20 --payload="crate 4711"
echo "--- batch job"
cli submit --team=wash --key=plan-1 --class=batch --run_ms=300 \
  --payload="tunnel plan" --wait
echo "--- gang of four"
cli submit --team=wash --key=gang-1 --class=gang --tasks=4 --run_ms=300 \
  --payload="rinse check" --wait
echo "--- non-idempotent request"
cli submit --team=billing --key=bill-1 --class=request --non_idempotent \
  --run_ms=100 --payload="invoice 17" --wait
echo "--- long-running service, stopped again"
cli submit --team=monitors --key=monitor-1 --class=service --tasks=2 \
  --run_ms=0 --payload="workshop monitor" --output=json | tee "$RUN/service.json"
SERVICE=$(grep -o '"id" *: *"[^"]*"' "$RUN/service.json" | head -1 |
  sed 's/.*"\([^"]*\)"$/\1/')
sleep 1
cli status "$SERVICE"
cli cancel "$SERVICE"
# A canceled job makes the command exit with 1.
cli wait "$SERVICE" || [ $? = 1 ]
echo "--- configuration"
printf '[retry]\nbudget_percent = 20\n' >"$RUN/config/10-retry.ini"
cli config check "$RUN/config"
cli config push "$RUN/config" --based_on=0
sleep 3
for ENTRY in 127.0.0.1:8111 127.0.0.1:8112 127.0.0.1:8113; do
  cli config show --output=json | grep -o '"version" *: *[0-9]*'
done

if $KEEP; then
  echo "running: nodes 127.0.0.1:8111 8112 8113, table :9100, objects :9101," \
    "VM list :9102, workers :9200-9203 and :9210-9213"
  echo "process ids: ${PIDS[*]}"
  disown -a
else
  echo "done; stopping"
fi
