#!/bin/bash
# Entries that are cut off from all workers, in real processes: first tries of their
# callers are served as often as those at the other entries, for each kind of request and
# of cut, and by their own entry again afterwards.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
ENTRIES=${ENTRIES:-6}
CUT=${CUT:-3}
STABILITY_WINDOW=3
ROUTES='{"version":1,"routes":[
{"name":"r1","host":"app.example","path-prefix":"/safe/","kind":"safe","timeout-ms":1000,"target-latency-ms":300,"priority":0,"backend":"app","attempts":2,"allow-anonymous":true},
{"name":"r2","host":"app.example","path-prefix":"/once/","kind":"unsafe","timeout-ms":1000,"target-latency-ms":300,"priority":0,"backend":"app","attempts":1,"allow-anonymous":true},
{"name":"r3","host":"app.example","path-prefix":"/model/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"priority":0,"backend":"model","attempts":2,"allow-anonymous":true,"sticky":true,"resumable":true,"target-gap-ms":300}],
"backends":[{"name":"app","health-check":"/healthz","max-connections":100,"protocol":"h1","tls":false},
{"name":"model","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":100000,"kv-token-bytes":163840,"link-mbps":260000.0,"models":[{"name":"m"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}'

start_platform_entry() { # NUMBER
  CUT_LINKS=$WORK/links$1 LD_PRELOAD=$BUILD/platform/libcut-links.so \
    FULMARQUAY_BOOT=$WORK/entry$1.ini start_process "entry$1" "$BIN/platform-entry"
  ENTRY_PID[$1]=$LAST_PID
}

set_links() { # STATE
  local i
  for ((i = 1; i <= CUT; i++)); do echo "$1" >"$WORK/links$i"; done
}

# first_tries PREFIX NAME FROM TO: a sum over entries of the counts in REPORT, which are
# of one moment.
first_tries() {
  local i sum=0 value
  for ((i = $3; i <= $4; i++)); do
    value=$(echo "$REPORT" | json_field "$1first_$2_$i")
    sum=$((sum + ${value:-0}))
  done
  echo $sum
}

# check_first_tries TEXT PREFIX NAME: at least 97 in 100 as many as at other entries, and
# those as before.
check_first_tries() {
  local sent served others_sent others REPORT
  REPORT=$("$BIN/fulmarquay-load" get /report --entry "$LIST")
  sent=$(first_tries "$2" ended 1 "$CUT") served=$(first_tries "$2" "$3" 1 "$CUT")
  others_sent=$(first_tries "$2" ended $((CUT + 1)) "$ENTRIES")
  others=$(first_tries "$2" "$3" $((CUT + 1)) "$ENTRIES")
  check "$1: first tries at cut-off entries ($served of $sent; $others of $others_sent at others)" \
    [ $((served * others_sent * 100)) -ge $((sent * others * 97)) ]
  check "$1: first tries at the others" [ $((others * 100)) -ge $((others_sent * 97)) ]
  check "$1: enough were sent" [ "$sent" -ge 50 ]
}

# passed: requests that the cut-off entries have passed on.
passed() {
  local i sum=0
  for ((i = 1; i <= CUT; i++)); do
    sum=$((sum + $(grep -c "name=RequestPassed" "$WORK/entry$i.log")))
  done
  echo $sum
}

start_platform "$ENTRIES" 4 4
for i in 0 1 2 3; do set_fault "$LIST" "start=$i:v1"; done
sleep 1
set_fault "$LIST" events=5
set_fault "$LIST" pace_ms=20
set_fault "$LIST" target=/safe/call
set_fault "$LIST" per_second=60
set_fault "$LIST" streams_per_second=40
sleep 2
check "nothing is passed on without a cut ($(passed))" [ "$(passed)" = 0 ]

for state in refused reset silent; do
  set_links $state
  sleep $STABILITY_WINDOW
  for kind in safe once; do
    set_fault "$LIST" target=/$kind/call
    sleep 0.3
    set_fault "$LIST" per_second=60
    set_fault "$LIST" reset=1
    sleep 3
    check_first_tries "$state, $kind" "" served
  done
  check_first_tries "$state, streams" stream_ begun
  set_links up
  sleep 2
done
PASSED=$(passed)
check "requests were passed on ($PASSED)" [ "$PASSED" -ge 200 ]
sleep 2
check "nothing is passed on afterwards ($(($(passed) - PASSED)))" [ "$(passed)" = "$PASSED" ]
for fault in foreign misordered short; do
  check "no stream is $fault ($(count faulty_$fault))" [ "$(count faulty_$fault)" = 0 ]
done
finish_case
