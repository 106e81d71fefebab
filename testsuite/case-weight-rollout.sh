#!/bin/bash
# Versions of the weights that are named while earlier ones are being loaded, with
# replicas and entries killed: in real processes, checked by what the engines begin
# and what callers get.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
ENTRIES=${ENTRIES:-6}
ENGINES=${ENGINES:-8}
RATE=${RATE:-60}
ROUTES=$ENGINE_ROUTES
FLEET_SETTINGS="checks_fencing = yes"
ENTRY_SETTINGS="weights_bound = 3s"

# Whether the last engines of a rollout are loading.
has_started_last() {
  [ "$(count engines_up_to_date)" -ge $((ENGINES - 2)) ] && [ "$(count engines_loading)" -gt 0 ]
}
is_complete() { [ "$(count engines_up_to_date)" = "$ENGINES" ]; }
# check_weights TEXT: no request began on weights that were superseded for longer than
# the bound, since the previous check.
TOO_LATE=0
check_weights() {
  local total
  total=$(count begun_too_late)
  check "no request began on superseded weights $1 ($((total - TOO_LATE)); at worst $(count worst_age_ms) ms)" \
    [ "$total" = "$TOO_LATE" ]
  TOO_LATE=$total
}

start_platform "$ENTRIES" 0 "$ENGINES"
set_fault "$LIST" bound_ms=3000
command_all start v1
sleep 1
set_fault "$LIST" streams_per_second=$RATE
sleep 1

check "version 2 is named" name_weights 2
check "the last engines load version 2" wait_until 10 has_started_last
check "version 3 is named while they load version 2" name_weights 3
check "all engines have version 3 soon" wait_until 8 is_complete
check_weights "in a rollout"

set_fault "$LIST" orders=0:lose
check "version 4 is named" name_weights 4
kill_leader
sleep 2
set_fault "$LIST" orders=0:run
check "all engines have version 4 soon" wait_until 10 is_complete
start_platform_control "$OLD_LEADER"
check_weights "after a change of the leader"

# Engine 0 has version 4 from here on.
set_fault "$LIST" orders=0:refuse
check "version 5 is named" name_weights 5
stop_process "${ENTRY_PID[1]}" KILL
start_platform_entry 1
set_fault "$LIST" crash_same_id=1:
sleep 4
check_weights "at a restarted entry"

set_fault "$LIST" disrupted=1
for i in 1 2 3; do kill -KILL "${CONTROL_PID[$i]}"; done
for ((i = 1; i <= ENTRIES; i++)); do kill -KILL "${ENTRY_PID[$i]}"; done
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
set_fault "$LIST" disrupted=0
set_fault "$LIST" reset=1
sleep 3
check_weights "after all processes were killed"
check "requests are served after all processes were killed ($(served_text))" are_served 90

command_all orders refuse
check "version 6 is named" name_weights 6
sleep 4
set_fault "$LIST" reset=1
sleep 2
check "without an engine that has the weights, requests are refused ($(served_text))" \
  [ "$(count stream_refused)" -gt 0 ]
check_weights "without an engine that has newer ones"
check "each refusal came at once ($(count faulty_slow_refusals) did not)" [ "$(count faulty_slow_refusals)" = 0 ]
command_all orders run
check "all engines have version 6 soon" wait_until 10 is_complete
set_fault "$LIST" reset=1
sleep 1
check "requests are served again ($(served_text))" are_served 90
for fault in mixed foreign misordered short; do
  check "no answer is $fault ($(count faulty_$fault))" [ "$(count faulty_$fault)" = 0 ]
done
finish_case
