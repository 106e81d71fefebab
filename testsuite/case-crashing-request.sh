#!/bin/bash
# A request that crashes each worker that runs it and that callers send again and
# again: in real processes, checked by what the workers count. ENTRIES sets the
# number of entries.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
ENTRIES=${ENTRIES:-6}
WORKERS=${WORKERS:-6}
RATE=${RATE:-60}
start_platform "$ENTRIES" "$WORKERS"

stays_known() { [ "$(count_of "$LIST" repeats)" -le 3 ]; }
crashes() { count_of "$LIST" crashes; }
is_served() { [ $(($(count_of "$LIST" served) * 100)) -ge $(($(count_of "$LIST" sent) * 95)) ]; }

set_fault "$LIST" per_second=$RATE
sleep 2
set_fault "$LIST" crash_per_second=2
sleep 8
check "the request is known after $(crashes) crashes" [ "$(crashes)" -ge 3 ]
check "it is sent to workers no more ($(count_of "$LIST" repeats) times after the third crash and 3 s)" stays_known
check "it is refused as not run ($(count_of "$LIST" crash_refused))" [ "$(count_of "$LIST" crash_refused)" -ge 5 ]
set_fault "$LIST" per_second=$RATE
sleep 4
check "sound requests beside it are served ($(count_of "$LIST" served) of $(count_of "$LIST" sent))" is_served

stop_process "${ENTRY_PID[1]}" KILL
start_platform_entry 1
check "the restarted entry is ready" wait_until 10 entry_is_ready 1
stop_process "${CONTROL_PID[$(platform_leader)]}" KILL
sleep 6
check "it stays known when an entry and the leader are killed ($(count_of "$LIST" repeats) times)" stays_known

for i in 1 2 3; do
  kill -KILL "${CONTROL_PID[$i]}" 2>/dev/null
done
for ((i = 1; i <= ENTRIES; i++)); do
  kill -KILL "${ENTRY_PID[$i]}"
done
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
check "it stays known when all processes are killed ($(count_of "$LIST" repeats) times)" stays_known
set_fault "$LIST" per_second=$RATE
sleep 4
check "sound requests are served afterwards ($(count_of "$LIST" served) of $(count_of "$LIST" sent))" is_served
finish_case
