#!/bin/bash
# A rollout of the engines' software with open streams, whose callers resume them at
# other entries while entries and engines fail: in real processes, checked by what
# callers get.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
ENTRIES=${ENTRIES:-6}
RATE=${RATE:-30}
ROUTES=$ENGINE_ROUTES

engine() { set_fault "$LIST" "$1=$2:$3"; } # COMMAND NUMBER ARGUMENT

# check_streams TEXT: since the previous check, no stream has events of two versions
# of the software, and of the streams that were resumed while two engines of their
# version served, at least half of the share of new streams that began was continued.
MIXED=0
check_streams() {
  local mixed sent begun servable continued
  mixed=$(count faulty_mixed)
  sent=$(count stream_sent) begun=$(count stream_begun)
  servable=$(count stream_servable) continued=$(count stream_servable_continued)
  check "no stream has events of two versions $1 ($((mixed - MIXED)) have)" [ "$mixed" = "$MIXED" ]
  check "streams are resumed $1 ($continued of $servable; $begun of $sent new ones began)" \
    [ $((continued * 2 * sent)) -ge $((servable * begun)) ]
  check "streams were resumed $1" [ "$servable" -ge 12 ]
  MIXED=$mixed
  set_fault "$LIST" reset=1
}

start_platform "$ENTRIES" 0 11
for i in 0 1 2 3 4 5; do engine start $i v1; done
sleep 1
set_fault "$LIST" events=30
set_fault "$LIST" pace_ms=80
set_fault "$LIST" cut_every=4
set_fault "$LIST" streams_per_second=$RATE
sleep 3
check_streams "with one version"

engine start 6 v2
engine start 7 v2
sleep 3
check_streams "with two versions"

stop_process "${ENTRY_PID[1]}" KILL
sleep 1
start_platform_entry 1
sleep 2
check_streams "when an entry is killed"

kill -STOP "${ENTRY_PID[2]}"
sleep 3
kill -CONT "${ENTRY_PID[2]}"
sleep 1
check_streams "when an entry is suspended"

engine crash 0
engine stop 1
engine start 1 v2
sleep 3
check_streams "when an engine crashes and another is replaced at its address"

for i in 8 9 10; do engine start $i v2; done
sleep 1
for i in 2 3; do engine drain $i; done
sleep 2
for i in 2 3; do engine stop $i; done
stop_process "${ENTRY_PID[3]}" KILL
start_platform_entry 3
kill_leader
sleep 3
start_platform_control "$OLD_LEADER"
check_streams "during a rollout, with an entry and the leader killed"

for i in 0 4 5; do engine drain $i; done
sleep 1
for i in 0 4 5; do engine stop $i; done
sleep 4
check "streams of a version that no engine has are refused ($(count stream_resume_refused))" \
  [ "$(count stream_resume_refused)" -ge 3 ]
check "no resumed stream fails otherwise ($(count stream_resume_failed))" \
  [ "$(count stream_resume_failed)" = 0 ]
check_streams "after the last engine of a version has left"
check "each refusal came at once ($(count faulty_slow_refusals) did not)" [ "$(count faulty_slow_refusals)" = 0 ]

for i in 0 2 3; do engine start $i v3; done
sleep 2
set_fault "$LIST" reset=1
for i in 1 2 3; do kill -KILL "${CONTROL_PID[$i]}"; done
for ((i = 1; i <= ENTRIES; i++)); do kill -KILL "${ENTRY_PID[$i]}"; done
for i in 1 6 7 8 9 10; do engine stop $i; done
wait "${CONTROL_PID[@]}" "${ENTRY_PID[@]}" 2>/dev/null
for pid in "${CONTROL_PID[@]}" "${ENTRY_PID[@]}"; do untrack "$pid"; done
for i in 1 2 3; do
  sed -i 's/^bootstrap = yes/bootstrap = no/' "$WORK/control$i.ini"
  start_platform_control $i
done
for ((i = 1; i <= ENTRIES; i++)); do start_platform_entry $i; done
for ((i = 1; i <= ENTRIES; i++)); do
  wait_until 10 entry_is_ready $i || check "entry $i is ready again" false
done
sleep 4
MIXED_AFTER=$(count faulty_mixed)
check "no stream has events of two versions after all processes were killed ($((MIXED_AFTER - MIXED)) have)" \
  [ "$MIXED_AFTER" = "$MIXED" ]
check "streams of a version that left meanwhile are refused ($(count stream_resume_refused))" \
  [ "$(count stream_resume_refused)" -ge 12 ]

set_fault "$LIST" reset=1
sleep 1
check "new streams begin ($(count stream_begun) of $(count stream_sent))" \
  [ $(($(count stream_begun) * 100)) -ge $(($(count stream_sent) * 90)) ]
for fault in foreign misordered short; do
  check "no stream is $fault ($(count faulty_$fault))" [ "$(count faulty_$fault)" = 0 ]
done
finish_case
