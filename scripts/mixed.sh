#!/usr/bin/env bash
# mixed.sh runs two builds together on loopback: 3 control and entry VMs, 13 fake engines.
# Each phase sends a burst of streams and checks every answer:
#
#   1. OLD alone writes the data folders;
#   2. vm-1 runs OLD, vm-2 and vm-3 run NEW on that data; the leader is killed twice, the
#      others elect one, and a change of the configuration comes into force on all;
#   3. NEW alone; 4. OLD alone, on data that NEW wrote.
#
#   scripts/mixed.sh OLD/bin NEW/bin
set -euo pipefail
[[ $# -eq 2 ]] || { echo "usage: scripts/mixed.sh OLD/bin NEW/bin" >&2; exit 2; }
old=$(realpath "$1") new=$(realpath "$2")
base=${MIXED_PORT:-24000}
run=$(mktemp -d)

declare -A pids
cleanup() {
  local status=$?
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [[ $status -eq 0 ]]; then rm -rf "$run"; else echo "mixed: logs are in $run"; fi
}
trap cleanup EXIT

start() { # start NAME COMMAND...
  local name=$1; shift
  "$@" >>"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

stop() { # stop SIGNAL NAME...
  local signal=$1 name; shift
  for name in "$@"; do kill "-$signal" "${pids[$name]}"; done
  for name in "$@"; do wait "${pids[$name]}" 2>/dev/null || true; unset "pids[$name]"; done
}

vm() { start "vm-$1" "$2/spoolbankd" --settings "$run/vm-$1.jsonc"; }

cli() { "$new/spoolbank" --plain-text --peers "127.0.0.1:$((base+101))" --peers "127.0.0.1:$((base+102))" --peers "127.0.0.1:$((base+103))" "$@"; }

settle() { # settle waits until chains are ready and three VMs hold leases.
  local _
  for _ in $(seq 1 200); do
    if [[ $(cli run 'show pipelines where chains >= 4' | wc -l) -ge 2 && $(cli run 'show vms where state = up' | grep -c '^vm-') -eq 3 ]]; then return; fi
    sleep 0.2
  done
  echo "mixed: the deployment does not settle" >&2
  return 1
}

load() { # load PHASE
  echo "mixed: $1"
  "$new/spoolfake" load --entries "127.0.0.1:$((base+1)),127.0.0.1:$((base+2)),127.0.0.1:$((base+3))" \
    --organisations 4 --pipeline digest --requests "${MIXED_REQUESTS:-200}" --spread 3s --max-tokens 24 --layers 24 >"$run/load.txt" || { cat "$run/load.txt"; return 1; }
  tail -n 1 "$run/load.txt"
}

leader() { cli run 'show replicas' | awk '/leader/ {sub(/#.*/, "", $1); print $1; exit}'; }

halls=(walu-bay laucala nabua)
control=$(for n in 1 2 3; do printf '"vm-%d": "127.0.0.1:%d", ' $n $((base+100+n)); done)
for n in 1 2 3; do
  cat >"$run/vm-$n.jsonc" <<EOF
{"name": "vm-$n", "hall": "${halls[n-1]}", "roles": ["control", "entry"], "data": "$run/vm-$n",
 "listen": {"callers": "127.0.0.1:$((base+n))", "peers": "127.0.0.1:$((base+100+n))", "metrics": "127.0.0.1:$((base+200+n))"},
 "control": {"vms": {$control}}, "tls": {"plain_text": true}, "timing": {"keep_entries": "2s"}}
EOF
done
for n in $(seq 1 13); do
  start "engine-$n" "$new/spoolfake" engine --name "e$n" --listen "127.0.0.1:$((base+300+n))" --speed 4800 --batch 8 --slots 32 --fence
done

"$old/spoolbankd" --settings "$run/vm-1.jsonc" --bootstrap >/dev/null
for n in 1 2 3; do vm $n "$old"; done
{
  for n in $(seq 1 13); do
    echo "declare target e$n address=\"127.0.0.1:$((base+300+n))\" hall=${halls[$(( (n-1) % 3 ))]} accelerator=demo speed=4800 memory=8 slots=32 fence=true"
  done
  echo 'declare model fiji layers=24 versions=[v3]'
  echo 'declare pipeline digest model=fiji version=v3 class=1 max_tokens=24'
  for n in 0 1 2 3; do echo "declare organisation org-$n key=\"$("$old/spoolbank" key hash key-$n)\" weight=1"; done
} >"$run/declare.txt"
for _ in $(seq 1 50); do cli apply --operator mixed --wait 8s "$run/declare.txt" >/dev/null 2>&1 && break; sleep 0.2; done
settle
load "the old build alone"
stop TERM vm-1 vm-2 vm-3

vm 1 "$old"; vm 2 "$new"; vm 3 "$new"
settle
load "one old VM and two new, on data of the old build"
for _ in 1 2; do
  led=$(leader)
  echo "mixed: killing the leader $led"
  stop KILL "$led"
  for _ in $(seq 1 100); do
    next=$(leader || true)
    [[ -n $next && $next != "$led" ]] && break
    sleep 0.1
  done
  [[ -n $next && $next != "$led" ]] || { echo "mixed: no other VM leads" >&2; exit 1; }
  echo "mixed: leader is now $next"
  case $led in vm-1) vm 1 "$old" ;; *) vm "${led#vm-}" "$new" ;; esac
  settle
done
cli run --operator mixed --wait 8s 'declare organisation org-9 key="'"$("$new/spoolbank" key hash key-9)"'" weight=2'
load "after the election and a change of the configuration"
stop TERM vm-1 vm-2 vm-3

for n in 1 2 3; do vm $n "$new"; done
settle
load "the new build alone"
stop TERM vm-1 vm-2 vm-3

for n in 1 2 3; do vm $n "$old"; done
settle
cli run 'show organisations' | grep -q org-9 || { echo "mixed: the change is lost" >&2; exit 1; }
load "the old build on data of the new one"
echo "mixed: unreadable messages in logs: $(cat "$run"/vm-*.log | grep -cE 'undecodable|malformed message' || true)"
