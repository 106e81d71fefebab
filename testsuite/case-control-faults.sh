#!/bin/bash
# The control group under kills, freezes and lost disks: calls go on, and no
# call runs twice.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 1

works() { deposit 1 "$1" | grep -q '"status":200'; }

check "a deposit runs" works k1
FIRST=$(deposit 1 k1)

OLD=$(leader)
end "${CONTROL_PID[$OLD]}" KILL
check "a deposit runs after the leader was killed" until_true 5 works k2
check "another replica leads" [ "$(leader)" != "$OLD" ]
check "an earlier deposit keeps its answer" [ "$(deposit 1 k1)" = "$FIRST" ]
start_control "$OLD"

OLD=$(leader)
kill -STOP "${CONTROL_PID[$OLD]}"
check "a deposit runs while the leader is frozen" until_true 5 works k3
NEW=$(leader)
check "another replica leads during the freeze" [ "$NEW" != "$OLD" ]
kill -CONT "${CONTROL_PID[$OLD]}"
check "the frozen leader does not lead again by itself" [ "$(leader)" = "$NEW" ]

LOST=$((NEW % 3 + 1))
end "${CONTROL_PID[$LOST]}" KILL
rm -rf "$WORK/state$LOST"
for i in $(seq 120); do until_true 5 works "many$i"; done
start_control $LOST
until_true 5 grep -q ReplicaJoining "$WORK/control$LOST.log"
NEW_ID=$(sed -n 's/.*name=ReplicaJoining.*replica="\([0-9a-f]*\)".*/\1/p' "$WORK/control$LOST.log")
check "it asks to join under a new id" [ -n "$NEW_ID" ]
# The lost incarnation counts as a voter until it is replaced: only then is
# the repair complete.
is_repaired() {
  local now
  now=$(status)
  [ "$(grep -o '"role":"\(leader\|voter\)"' <<<"$now" | wc -l)" = 3 ] &&
    ! grep -q '"role":"learner"' <<<"$now" &&
    grep -q "\"id\":\"$NEW_ID\"" <<<"$now"
}
check "a replica that lost its disk becomes a voter again" until_true 10 is_repaired

OTHER=$((LOST % 3 + 1))
end "${CONTROL_PID[$OTHER]}" KILL
check "a deposit runs after a second VM is lost right after the repair" until_true 5 works k4
check "an earlier deposit still keeps its answer" [ "$(deposit 1 k1)" = "$FIRST" ]

start_control $OTHER
for i in 1 2 3; do end "${CONTROL_PID[$i]}" KILL; done
check "without a quorum a deposit is refused at once" grep -q not_run <(deposit 1 k5)
check "prompts go on without a quorum" prompt 1 --tokens 300
for i in 1 2 3; do start_control $i; done
check "a deposit runs after all were restarted" until_true 10 works k6
check "records survive the restart" [ "$(deposit 1 k1)" = "$FIRST" ]

for key in k1 k2 k3 k4 k6 many7; do
  check "$key ran once" [ "$(runs $key)" = 1 ]
done
check "k5 was not run" [ "$(runs k5)" = 0 ]
finish_case
