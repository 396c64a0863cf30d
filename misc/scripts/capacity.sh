#!/usr/bin/env bash
# Measures what a node costs at several sizes: share of a core, resident memory
# and bytes a second on loopback. Prints one JSON object a line on stdout.
#
# Usage: capacity.sh NODES:WORKERS:TASKS[:LOOKUPS_PER_S] ...
# Needs a finished build, and loopback without other traffic, since bytes are
# those of the whole interface divided by the number of nodes.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$PWD/build
RUN=$PWD/.run/capacity
SECONDS_MEASURED=${SECONDS_MEASURED:-20}
TICKS=$(getconf CLK_TCK)
TABLE=9600 OBJECTS=9601 VMLIST=9602 NODE_PORT=8600 WORKER_PORT=20000

lo_bytes() { awk '$1 == "lo:" { print $2 }' /proc/net/dev; }
cpu_ticks() { awk '{ sum += $14 + $15 } END { print sum }' "${@/%//stat}"; }
rss_kb() { awk '/VmRSS/ { if ($2 > max) max = $2 } END { print max }' "${@/%//status}"; }

stop_all() {
  for ((I = ${#PIDS[@]} - 1; I >= 0; --I)); do kill "${PIDS[I]}" 2>/dev/null || true; done
  for ((I = ${#PIDS[@]} - 1; I >= 0; --I)); do wait "${PIDS[I]}" 2>/dev/null || true; done
  PIDS=()
}

# Submits services of one task each, spread over the nodes.
start_tasks() { # COUNT
  local I
  for ((I = 0; I < $1; ++I)); do
    curl -s -o /dev/null -X POST "127.0.0.1:$((NODE_PORT + I % NODES))/v1/jobs" -d \
      "{\"team\":\"t$((I % 110))\",\"key\":\"s$I\",\"class\":\"service\",\"run_ms\":0,\"size\":{\"milli_cpus\":100,\"memory_mib\":64,\"slots\":1,\"connections\":1}}"
  done
}

# Sends lookups at a steady rate from one process for each node.
start_lookups() { # RATE
  local N PER
  PER=$(($1 / NODES))
  [ "$PER" -gt 0 ] || return 0
  for ((N = 0; N < NODES; ++N)); do
    (
      I=0
      END=$((SECONDS + SECONDS_MEASURED + 3))
      while [ $SECONDS -lt $END ]; do
        curl -s -o /dev/null -X POST "127.0.0.1:$((NODE_PORT + N))/v1/jobs" -d \
          "{\"team\":\"t\",\"key\":\"l$N-$((I++))\",\"class\":\"lookup\",\"run_ms\":5}"
        sleep "$(awk "BEGIN { print 1 / $PER }")"
      done
    ) &
    PIDS+=($!)
  done
}

PIDS=()
trap stop_all EXIT
for SIZE in "$@"; do
  IFS=: read -r NODES WORKERS TASKS LOOKUPS _ <<<"$SIZE:0:0:0"
  rm -rf "$RUN" && mkdir -p "$RUN"
  "$BIN/tests/stand_ins/stand_in_platform" --table_port=$TABLE \
    --objects_port=$OBJECTS --vms_port=$VMLIST >"$RUN/platform.log" 2>&1 &
  PIDS+=($!)
  RACKS=$(((WORKERS + 7) / 8))
  ZONES=$((NODES >= 18 ? 6 : 3))
  VMS=""
  for ((R = 0; R < RACKS; ++R)); do
    COUNT=$((WORKERS - R * 8 < 8 ? WORKERS - R * 8 : 8))
    "$BIN/tests/stand_ins/stand_in_worker" --id="r$R" --port=$((WORKER_PORT + R * 8)) \
      --count=$COUNT >"$RUN/r$R.log" 2>&1 &
    PIDS+=($!)
    for ((W = 0; W < COUNT; ++W)); do
      VMS+="{\"id\":\"r$R-$W\",\"zone\":\"z$((R % ZONES))\",\"rack\":\"r$R\",\"address\":\"127.0.0.1:$((WORKER_PORT + R * 8 + W))\",\"role\":\"worker\",\"state\":\"live\"},"
    done
  done
  for ((N = 0; N < NODES; ++N)); do
    VMS+="{\"id\":\"n$N\",\"zone\":\"z$((N % ZONES))\",\"rack\":\"e\",\"address\":\"127.0.0.1:$((NODE_PORT + N))\",\"role\":\"node\",\"state\":\"live\"},"
  done
  until curl -sf -o /dev/null -X POST 127.0.0.1:$VMLIST/_vms -H 'Content-Type: application/json' -d "[${VMS%,}]"; do sleep 0.1; done
  NODE_PIDS=()
  for ((N = 0; N < NODES; ++N)); do
    printf '[node]\nid = n%d\nzone = z%d\nregion = r\nlisten = 127.0.0.1:%d\n[platform]\ntable_url = http://127.0.0.1:%d\nobjects_url = http://127.0.0.1:%d\nvm_list_url = http://127.0.0.1:%d\n' \
      $N $((N % ZONES)) $((NODE_PORT + N)) $TABLE $OBJECTS $VMLIST >"$RUN/n$N.ini"
    "$BIN/main/damaskgladed" --config="$RUN/n$N.ini" >"$RUN/n$N.log" 2>&1 &
    PIDS+=($!)
    NODE_PIDS+=("/proc/$!")
  done
  for _ in $(seq 60); do
    READY=$(curl -s 127.0.0.1:$NODE_PORT/v1/workers | grep -o '"reachable":true' | wc -l) || true
    [ "$READY" -ge "$WORKERS" ] && break
    sleep 1
  done
  start_tasks "$TASKS"
  sleep 12
  start_lookups "$LOOKUPS"
  sleep 2
  BYTES=$(lo_bytes) CPU=$(cpu_ticks "${NODE_PIDS[@]}")
  sleep "$SECONDS_MEASURED"
  BYTES=$(($(lo_bytes) - BYTES)) CPU=$(($(cpu_ticks "${NODE_PIDS[@]}") - CPU))
  awk -v n="$NODES" -v w="$WORKERS" -v t="$TASKS" -v l="$LOOKUPS" -v b="$BYTES" \
    -v c="$CPU" -v s="$SECONDS_MEASURED" -v hz="$TICKS" -v r="$READY" \
    -v m="$(rss_kb "${NODE_PIDS[@]}")" 'BEGIN {
      printf "{\"nodes\":%d,\"workers\":%d,\"reachable\":%d,\"tasks\":%d,\"lookups_per_s\":%d,", n, w, r, t, l
      printf "\"core_percent\":%.2f,\"max_rss_mb\":%.1f,\"bytes_per_s\":%.0f}\n", 100 * c / hz / s / n, m / 1024, b / s / n }'
  stop_all
done
