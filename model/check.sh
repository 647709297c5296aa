#!/usr/bin/env bash
# check.sh checks each specification exhaustively within its bounds, and then
# each of its mutants, which must be refuted.
set -euo pipefail
cd "$(dirname "$0")"
if ! command -v spin >/dev/null; then
  apt-get update -qq && apt-get install -y -qq spin >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

check() { # check SPEC DEFINES EXPECTED, the defines separated by colons
  local spec=$1 mutant=$2 expected=$3 dir="$work/$1-${2:-whole}"
  mkdir -p "$dir" && cp "$spec.pml" "$dir/" && cd "$dir"
  spin ${mutant:+-D${mutant//:/ -D}} -a "$spec.pml" >spin.log 2>&1 || { cat spin.log; exit 1; }
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c 2>gcc.log || { cat gcc.log; exit 1; }
  ./pan -m200000 -w22 >pan.log 2>&1
  cd - >/dev/null
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.log")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.log")
  if grep -q 'max search depth too small' "$dir/pan.log"; then
    echo "model $spec ${mutant:-whole}: the search was cut short"; exit 1
  fi
  if [ "$expected" = holds ] && [ "$errors" != 0 ]; then
    echo "model $spec: broken"; cat "$dir/pan.log"; exit 1
  fi
  if [ "$expected" = refuted ] && [ "$errors" = 0 ]; then
    echo "model $spec without its guard ($mutant): NOT refuted"; exit 1
  fi
  echo "model $spec ${mutant:-whole}: $expected ($states states)"
}

pids=()
begin() { check "$@" & pids+=($!); }
begin control "" holds
for m in NO_DENY NO_WAIT NO_RECHECK NO_IDENTITY NO_LOGCHECK NO_FENCE NO_OWNTERM; do begin control $m refuted; done
begin control COMMON holds
for m in NO_ALL NO_SECOND NO_LIFE NO_UNHEARD; do begin control COMMON:$m refuted; done
begin claim "" holds
for m in NO_CLAIM NO_UNKNOWN NO_ATTEMPT NO_PEEK NO_PENDING; do begin claim $m refuted; done
begin stream "" holds
for m in NO_EPOCH NO_REPEAT NO_MATCH NO_KEEP NO_FENCEDKEEP; do begin stream $m refuted; done
begin lease "" holds
for m in NO_NUMBER NO_APPLIED NO_PUSHNUMBER; do begin lease $m refuted; done
begin permits "" holds
for m in NO_TAKEN NO_ONWAY NO_BURST NO_WAIT NO_LATER; do begin permits $m refuted; done
status=0
for pid in "${pids[@]}"; do wait "$pid" || status=1; done
exit $status
