#!/usr/bin/env bash
# cost.sh measures what a token costs an entry VM as a process: processor time,
# from /proc, and resident memory. Two VMs (each the other's keeper), four
# engines that take no time, a burst.
set -euo pipefail
cd "$(dirname "$0")/.."
requests=${COST_REQUESTS:-1000}
tokens=${COST_TOKENS:-64}
base=${COST_PORT:-23000}
run=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap cleanup EXIT
start() { "$@" >"$run/log.$#" 2>&1 & pids+=($!); }

for n in 1 2; do
  roles='"entry"'; [ $n = 1 ] && roles='"control", "entry"'
  cat >"$run/vm-$n.jsonc" <<EOF
{"name": "vm-$n", "hall": "h", "roles": [$roles], "data": "$run/vm-$n",
 "listen": {"callers": "127.0.0.1:$((base+n))", "peers": "127.0.0.1:$((base+100+n))", "metrics": "127.0.0.1:$((base+300+n))"},
 "control": {"vms": {"vm-1": "127.0.0.1:$((base+101))"}, "voters": 1},
 "tls": {"plain_text": true}}
EOF
done
for n in 1 2 3 4; do start bin/spoolfake engine --name e$n --listen "127.0.0.1:$((base+200+n))" --slots 2000 --fence; done
bin/spoolbankd --settings "$run/vm-1.jsonc" --bootstrap >/dev/null
start bin/spoolbankd --settings "$run/vm-1.jsonc"
start bin/spoolbankd --settings "$run/vm-2.jsonc"
cli() { bin/spoolbank --plain-text --peers "127.0.0.1:$((base+101))" "$@"; }
{
  echo "declare model m layers=4 versions=[v1]"
  echo "declare pipeline p model=m version=v1 class=1 max_tokens=$tokens"
  echo "declare organisation o key=$(bin/spoolbank key hash key-0) weight=1"
  for n in 1 2 3 4; do echo "declare target e$n address=\"127.0.0.1:$((base+200+n))\" hall=h speed=100 memory=2 slots=2000 fence=true"; done
} >"$run/declare.txt"
cli apply --wait 8s "$run/declare.txt" >/dev/null
until [ "$(cli run 'show pipelines where chains >= 2' | wc -l)" -ge 2 ]; do :; done
until [ "$(cli run 'show vms where state = up' | wc -l)" -ge 3 ]; do :; done
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
vm1=${pids[4]} vm2=${pids[5]}
before=$(( $(ticks $vm1) + $(ticks $vm2) ))
if [ -n "${COST_PROFILE:-}" ]; then curl -s "http://127.0.0.1:$((base+301))/debug/pprof/profile?seconds=3" -o "$COST_PROFILE" & fi
bin/spoolfake load --entries "127.0.0.1:$((base+1)),127.0.0.1:$((base+2))" --organisations 1 --pipeline p \
  --requests "$requests" --spread 2s --max-tokens "$tokens" --layers 4 | tee "$run/load.txt"
after=$(( $(ticks $vm1) + $(ticks $vm2) ))
made=$(awk '/tokens\/s/ {print $4}' "$run/load.txt")
echo "processor time: $(( (after - before) * 10 )) ms for $made tokens on two entry VMs: $(( (after - before) * 10000 / made )) us a token"
for pid in $vm1 $vm2; do awk '/VmHWM/ {print "resident at most:", $2, $3}' "/proc/$pid/status"; done
