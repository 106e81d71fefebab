#!/bin/bash
# Evacuation of a data centre in real processes, through a killed leader and a kill of
# all replicas: checked by which workers get requests.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
start_platform 3 2
set_fault "$LIST" move_worker0=dc2

start_order() { publish "/-/evacuate/$1/start" ""; }
end_order() { publish "/-/evacuate/$1/end" ""; }
reset_counts() {
  set_fault "${WORKER[0]}" reset=1
  set_fault "${WORKER[1]}" reset=1
}
arrivals() { count_of "${WORKER[$1]}" arrivals; }
gets_requests() { [ "$(arrivals "$1")" -gt 0 ]; }
lists_dc2() { "$BIN/fulmarquay" dump "127.0.1.$1:${PORTS[0]}" --json | grep -q '"evacuated":\["dc2"\]'; }
entry_lists_dc2() { "$BIN/fulmarquay" dump "$(entry_ip "$1"):${PORTS[0]}" --json | grep -q '"evacuated":\["dc2"\]'; }

# check_evacuated TEXT: for two seconds, requests go to the other data centre only.
check_evacuated() {
  reset_counts
  sleep 2
  check "no request reaches a worker of the data centre $1 ($(arrivals 0))" [ "$(arrivals 0)" = 0 ]
  check "the other worker gets requests $1 ($(arrivals 1))" gets_requests 1
}

set_fault "$LIST" per_second=40
check "both workers get requests" wait_until 10 gets_requests 0
check "a name with a slash is refused" eval '! start_order a/b'
check "the order is acknowledged" wait_until 5 start_order dc2
check "the order is acknowledged again" wait_until 5 start_order dc2
sleep 5
check_evacuated "after the order"
check "an entry shows the data centre as evacuated" entry_lists_dc2 1

kill_leader
sleep 5
check_evacuated "after a change of leader"
start_platform_control "$OLD_LEADER"

for i in 1 2 3; do kill -KILL "${CONTROL_PID[$i]}"; done
wait "${CONTROL_PID[@]}" 2>/dev/null
for i in 1 2 3; do
  untrack "${CONTROL_PID[$i]}"
  sed -i 's/^bootstrap = yes/bootstrap = no/' "$WORK/control$i.ini"
  start_platform_control $i
done
check "the replicas keep the order" wait_until 10 lists_dc2 1
sleep 5
check_evacuated "after all replicas were killed"

reset_counts
check "the end is acknowledged" wait_until 5 end_order dc2
check "the worker gets requests again" wait_until 10 gets_requests 0
check "no caller failed ($(count_of "$LIST" failed))" [ "$(count_of "$LIST" failed)" = 0 ]

check "the evacuation of all data centres is acknowledged" wait_until 5 start_order dc1
wait_until 5 start_order dc2
sleep 5
reset_counts
REFUSED=$(count_of "$LIST" refused)
sleep 1
check "no worker gets a request ($(arrivals 0), $(arrivals 1))" [ "$(($(arrivals 0) + $(arrivals 1)))" = 0 ]
check "callers are refused" [ "$(count_of "$LIST" refused)" -gt "$REFUSED" ]
finish_case
