#!/bin/bash
# Workers that state how many requests a second they accept from all entries
# together: in real processes, checked by what the workers count. ENTRIES sets the
# number of entries, RATE the requests a second.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
ENTRIES=${ENTRIES:-6}
RATE=${RATE:-90}
SECONDS_EACH=8
start_platform "$ENTRIES" 3

# Allowed in any 4 s: one and a half times the limit, and 5 more.
holds() { # WORKER LIMIT
  [ "$(count_of "${WORKER[$1]}" worst_window)" -le $(($2 * 6 + 5)) ]
}
# Most of the limit over SECONDS_EACH.
is_used() { # WORKER LIMIT
  [ $(($(count_of "${WORKER[$1]}" arrivals) * 10)) -ge $(($2 * SECONDS_EACH * 9)) ]
}
count_for() { # SECONDS
  local i
  for i in 0 1 2; do set_fault "${WORKER[$i]}" reset=1; done
  sleep "$1"
}

set_fault "$LIST" per_second=$RATE
sleep 3
set_fault "${WORKER[0]}" limit=4
sleep 3
set_fault "$LIST" per_second=$RATE
count_for $SECONDS_EACH
check "a limited worker gets no more than it accepts ($(count_of "${WORKER[0]}" worst_window) in 4 s)" holds 0 4
check "it gets most of what it accepts ($(count_of "${WORKER[0]}" arrivals) in $SECONDS_EACH s)" is_used 0 4
check "callers are served by the other workers ($(count_of "$LIST" served) of $(count_of "$LIST" sent))" \
  [ $(($(count_of "$LIST" served) * 100)) -ge $(($(count_of "$LIST" sent) * 98)) ]
check "no caller is refused" [ "$(count_of "$LIST" refused)" = 0 ]

stop_process "${CONTROL_PID[$(platform_leader)]}" KILL
count_for $SECONDS_EACH
check "the limit holds while the leader changes ($(count_of "${WORKER[0]}" worst_window) in 4 s)" holds 0 4
check "it is used while the leader changes ($(count_of "${WORKER[0]}" arrivals) in $SECONDS_EACH s)" \
  [ "$(count_of "${WORKER[0]}" arrivals)" -ge $((2 * SECONDS_EACH)) ]

kill -STOP "${ENTRY_PID[1]}"
stop_process "${ENTRY_PID[2]}" KILL
start_platform_entry 2
sleep 3
kill -CONT "${ENTRY_PID[1]}"
count_for $SECONDS_EACH
check "the limit holds after an entry was suspended and another was killed ($(count_of "${WORKER[0]}" worst_window) in 4 s)" holds 0 4
check "it is used afterwards ($(count_of "${WORKER[0]}" arrivals) in $SECONDS_EACH s)" is_used 0 4

for i in 0 1 2; do set_fault "${WORKER[$i]}" limit=4; done
sleep 4
set_fault "$LIST" per_second=$RATE
count_for $SECONDS_EACH
for i in 0 1 2; do
  check "with all workers limited, worker $i gets no more than it accepts ($(count_of "${WORKER[$i]}" worst_window) in 4 s)" holds $i 4
  check "worker $i gets most of it ($(count_of "${WORKER[$i]}" arrivals) in $SECONDS_EACH s)" is_used $i 4
done
check "callers beyond the limits are refused as not run ($(count_of "$LIST" refused)), none fails ($(count_of "$LIST" failed))" \
  [ "$(count_of "$LIST" failed)" = 0 ]

for i in 0 1 2; do set_fault "${WORKER[$i]}" limit=; done
sleep 3
set_fault "$LIST" per_second=$RATE
sleep 4
check "without limits all callers are served ($(count_of "$LIST" served) of $(count_of "$LIST" sent))" \
  [ $(($(count_of "$LIST" served) * 100)) -ge $(($(count_of "$LIST" sent) * 95)) ]
finish_case
