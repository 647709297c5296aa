#!/usr/bin/env bash
# demo.sh runs one deployment as plain processes on loopback: 3 control+entry
# VMs, 2 entry VMs, 13 fake engines, 2 fake runners of a plain service and the
# platform's list. It declares an event, sends a burst of callers, kills an
# engine and drains a VM in the middle, and checks every answer.
set -euo pipefail
cd "$(dirname "$0")/.."

requests=${DEMO_REQUESTS:-600}
spread=${DEMO_SPREAD:-4s}
tokens=${DEMO_TOKENS:-24}
base=${DEMO_PORT:-21000}
run=demo-run
rm -rf "$run" && mkdir -p "$run"

pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap cleanup EXIT

start() { # start NAME COMMAND...
  local name=$1; shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$run/$name.pid"
}

halls=(walu-bay laucala nabua)
control='"vm-1": "127.0.0.1:'$((base+101))'", "vm-2": "127.0.0.1:'$((base+102))'", "vm-3": "127.0.0.1:'$((base+103))'"'

settings() { # settings NUMBER ROLES
  cat >"$run/vm-$1.jsonc" <<EOF
{
  // Written by scripts/demo.sh.
  "name": "vm-$1",
  "hall": "${halls[$(( ($1-1) % 3 ))]}",
  "roles": [$2],
  "data": "$run/vm-$1",
  "listen": {
    "callers": "127.0.0.1:$((base+$1))",
    "peers": "127.0.0.1:$((base+100+$1))",
    "metrics": "127.0.0.1:$((base+200+$1))",
  },
  "control": {"vms": {$control}},
  "platform": "http://127.0.0.1:$((base+400))",
  "tls": {"plain_text": true},
  "timing": {"keep_entries": "2s"},
}
EOF
}

cli() { bin/spoolbank --plain-text --peers "127.0.0.1:$((base+101))" --peers "127.0.0.1:$((base+102))" --peers "127.0.0.1:$((base+103))" "$@"; }

for n in 1 2 3; do settings $n '"control", "entry"'; done
for n in 4 5; do settings $n '"entry"'; done

start platform bin/spoolfake platform --listen "127.0.0.1:$((base+400))"
for n in $(seq 1 13); do
  start "engine-$n" bin/spoolfake engine --name "e$n" --listen "127.0.0.1:$((base+300+n))" --speed 4800 --batch 8 --slots 32 --fence
done
for n in 1 2; do
  start "runner-$n" bin/spoolfake service --name "s$n" --listen "127.0.0.1:$((base+350+n))"
done

bin/spoolbankd --settings "$run/vm-1.jsonc" --bootstrap
for n in 1 2 3 4 5; do start "vm-$n" bin/spoolbankd --settings "$run/vm-$n.jsonc"; done

{
  echo 'declare service sign-portal class=0 repeatable=["GET /"]'
  for n in $(seq 1 13); do
    echo "declare target e$n address=\"127.0.0.1:$((base+300+n))\" hall=${halls[$(( (n-1) % 3 ))]} accelerator=demo speed=4800 memory=8 slots=32 fence=true"
  done
  for n in 1 2; do
    echo "declare target s$n address=\"127.0.0.1:$((base+350+n))\" hall=${halls[$((n-1))]} service=sign-portal slots=32"
  done
  echo 'declare model fiji layers=24 versions=[v3]'
  echo "declare pipeline digest model=fiji version=v3 class=1 max_tokens=$tokens"
  for n in $(seq 0 9); do
    echo "declare organisation org-$n key=\"$(bin/spoolbank key hash key-$n)\" weight=1"
  done
  echo 'declare event open start=2026-12-03T22:00:00Z end=2026-12-03T23:00:00Z pipelines=[digest]'
} >"$run/declare.txt"
cli apply --operator demo --wait 8s "$run/declare.txt" | tail -n 1

# The burst begins once the chains are ready.
for _ in $(seq 1 200); do
  [ "$(cli run 'show pipelines where chains >= 4' | wc -l)" -ge 2 ] && break
done
cli run show pipelines
cli run show replicas

entries=$(for n in 1 2 3 4 5; do printf '127.0.0.1:%d,' $((base+n)); done)
bin/spoolfake load --entries "${entries%,}" --organisations 10 --pipeline digest \
  --requests "$requests" --spread "$spread" --max-tokens "$tokens" --layers 24 >"$run/load.txt" &
load=$!
sleep 1.5
echo "demo: killing engine e2, which holds a range of layers"
kill -9 "$(cat "$run/engine-2.pid")"
sleep 1
echo "demo: draining vm-4 and stopping it as planned"
cli run --operator demo --wait 8s drain vm vm-4
kill -TERM "$(cat "$run/vm-4.pid")"
status=0
wait "$load" || status=$?
cli run 'show targets where state != up'
cli run show vms
cat "$run/load.txt"
exit "$status"
