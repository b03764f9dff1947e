#!/usr/bin/env bash
# Prints, for fleets of several sizes as real processes on loopback, what an idle owner and an idle entry use for control.
# Usage: scripts/capacity.sh [SECONDS]; each row is measured over that time (default 30).
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-30}
work=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; rm -rf "$work"' EXIT
go build -o "$work/snipelift" .
go build -o "$work/standin" ./cmd/snipelift-standin

# value FILE NAME prints one metric.
value() { sed -n "s/.*\"$2\":{\"\(count\|value\)\":\([0-9.e+]*\)}.*/\2/p" "$1"; }

# run WORKERS ENTRIES prints the rows of one fleet.
run() {
  local workers=$1 entries=$2 port=$((10000 + RANDOM % 8000)) peers=() i pids=()
  for i in $(seq 1 "$entries"); do peers+=(--entry "127.0.0.1:$((port + 100 + i))"); done
  "$work/standin" --platform "127.0.0.1:$port" --workers "127.0.0.1:$((port + 200))" \
    --racks "$((workers / 8))" --workers-per-rack 8 "${peers[@]}" >/dev/null &
  pids+=($!)
  sleep 0.5
  for i in $(seq 1 "$entries"); do
    cat >"$work/entry$i.json" <<JSON
{"entry":"entry-$i","zone":"zone-a","service":"tabulator","httpAddress":"127.0.0.1:$((port + i))","peerAddress":"127.0.0.1:$((port + 100 + i))",
"platform":{"tableUrl":"http://127.0.0.1:$port","objectUrl":"http://127.0.0.1:$port","listUrl":"http://127.0.0.1:$port/vms"},"logLevel":"error"}
JSON
    "$work/snipelift" serve --settings "$work/entry$i.json" 2>/dev/null &
    pids+=($!)
  done
  sleep 1
  "$work/snipelift" document put examples/berkep.json --base 0 --entry "http://127.0.0.1:$((port + 1))" >/dev/null
  sleep 10
  for i in $(seq 1 "$entries"); do curl -s "http://127.0.0.1:$((port + i))/metrics" >"$work/before$i"; done
  sleep "$seconds"
  for i in $(seq 1 "$entries"); do curl -s "http://127.0.0.1:$((port + i))/metrics" >"$work/after$i"; done
  for i in $(seq 1 "$entries"); do
    local role=entry
    [ "$(value "$work/after$i" workers.bytesSent)" -gt 0 ] && role=owner
    awk -v w="$workers" -v n="$entries" -v role="$role" -v s="$seconds" \
      -v wb="$(value "$work/before$i" workers.bytesSent) $(value "$work/before$i" workers.bytesReceived)" \
      -v wa="$(value "$work/after$i" workers.bytesSent) $(value "$work/after$i" workers.bytesReceived)" \
      -v pb="$(value "$work/before$i" peers.bytesSent) $(value "$work/before$i" peers.bytesReceived)" \
      -v pa="$(value "$work/after$i" peers.bytesSent) $(value "$work/after$i" peers.bytesReceived)" \
      -v tb="$(value "$work/before$i" platform.bytesSent) $(value "$work/before$i" platform.bytesReceived)" \
      -v ta="$(value "$work/after$i" platform.bytesSent) $(value "$work/after$i" platform.bytesReceived)" \
      -v cb="$(value "$work/before$i" process.cpuSeconds)" -v ca="$(value "$work/after$i" process.cpuSeconds)" \
      -v mem="$(value "$work/after$i" process.residentBytes)" '
      function rate(a, b,   x, y) { split(a, x, " "); split(b, y, " "); return (x[1] + x[2] - y[1] - y[2]) / s }
      BEGIN {
        printf "%4d workers %2d entries %-5s  workers %7.0f B/s  peers %6.0f B/s  platform %6.0f B/s  processor %5.2f%%  memory %5.1f MB\n",
          w, n, role, rate(wa, wb), rate(pa, pb), rate(ta, tb), 100 * (ca - cb) / s, mem / 1048576
      }'
  done | sort -r -k5,5 | awk '$5 != last { print; last = $5 }'
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
}

if [ $# -gt 1 ]; then
  run "$2" "$3"
  exit
fi
for workers in 24 48 96 192; do run "$workers" 3; done
for entries in 9 30; do run 48 "$entries"; done
