#!/bin/bash
# Callers are served while a share of the engines loads weights and refuses requests: in
# real processes, checked by what callers get.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
ENTRIES=${ENTRIES:-6}
ENGINES=${ENGINES:-8}
RATE=${RATE:-60}
ROUTES=$ENGINE_ROUTES
FLEET_SETTINGS="checks_fencing = yes"

is_complete() { [ "$(count engines_up_to_date)" = "$ENGINES" ]; }

start_platform "$ENTRIES" 0 "$ENGINES"
command_all start v1
sleep 1
set_fault "$LIST" streams_per_second=$RATE
sleep 1
check "version 2 is named" name_weights 2
set_fault "$LIST" reset=1
sleep 1.5
check "requests are served while the first engines load weights ($(served_text))" are_served 90
check "all engines have version 2 soon" wait_until 10 is_complete

check "version 3 is named" name_weights 3
set_fault "$LIST" reset=1
kill_leader
sleep 2
check "requests are served while the leader changes during a rollout ($(served_text))" are_served 90
check "all engines have version 3 soon" wait_until 10 is_complete
set_fault "$LIST" reset=1
sleep 1
check "requests are served after the rollout ($(served_text))" are_served 90
finish_case
