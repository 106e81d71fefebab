#!/bin/bash
# Malformed entries among those of the VM list: in real processes, checked by what
# callers get while workers and the leader change. ENTRIES sets the number of entries.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
ENTRIES=${ENTRIES:-2}
WORKERS=${WORKERS:-4}
RATE=${RATE:-60}
start_platform "$ENTRIES" "$WORKERS"

is_served() { [ $(($(count_of "$LIST" served) * 100)) -ge $(($(count_of "$LIST" sent) * 95)) ]; }
# runs_each: whether each process that was started still runs.
runs_each() {
  local pid
  for pid in "$@"; do kill -0 "$pid" 2>/dev/null || return 1; done
}

set_fault "$LIST" per_second=$RATE
sleep 2
set_fault "$LIST" malformed_list=1
# Crashed workers return under other ids, which callers reach by the list alone.
set_fault "$LIST" crash_per_second=2
sleep 4
set_fault "$LIST" crash_per_second=0
sleep 4
set_fault "$LIST" per_second=$RATE
sleep 4
check "workers have crashed ($(count_of "$LIST" crashes))" [ "$(count_of "$LIST" crashes)" -ge 1 ]
check "callers are served by the workers' successors ($(count_of "$LIST" served) of $(count_of "$LIST" sent))" is_served
check "no process has ended" runs_each "${CONTROL_PID[@]}" "${ENTRY_PID[@]}"
check "the list was never refused" [ "$(cat "$WORK"/control*.log | grep -c VmListFailed)" = 0 ]

LEADER=$(platform_leader)
stop_process "${CONTROL_PID[$LEADER]}" KILL
unset "CONTROL_PID[$LEADER]"
sleep 4
set_fault "$LIST" per_second=$RATE
sleep 4
check "callers are served under the next leader ($(count_of "$LIST" served) of $(count_of "$LIST" sent))" is_served
check "no other process has ended" runs_each "${CONTROL_PID[@]}" "${ENTRY_PID[@]}"
finish_case
