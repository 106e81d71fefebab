#!/bin/bash
# The control group with killed and suspended replicas and a lost disk: calls
# continue, and no call is executed twice.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 1

deposit_succeeds() { deposit 1 "$1" | grep -q '"status":200'; }

check "a deposit succeeds" deposit_succeeds k1
FIRST=$(deposit 1 k1)

OLD=$(leader)
stop_process "${CONTROL_PID[$OLD]}" KILL
check "a deposit succeeds after the leader was killed" wait_until 5 deposit_succeeds k2
check "another replica leads" [ "$(leader)" != "$OLD" ]
check "a repeated deposit gets its first answer" [ "$(deposit 1 k1)" = "$FIRST" ]
start_control "$OLD"

OLD=$(leader)
kill -STOP "${CONTROL_PID[$OLD]}"
check "a deposit succeeds while the leader is suspended" wait_until 5 deposit_succeeds k3
NEW=$(leader)
check "another replica leads while the old leader is suspended" [ "$NEW" != "$OLD" ]
kill -CONT "${CONTROL_PID[$OLD]}"
check "the resumed replica does not become leader again" [ "$(leader)" = "$NEW" ]

LOST=$((NEW % 3 + 1))
stop_process "${CONTROL_PID[$LOST]}" KILL
rm -rf "$WORK/state$LOST"
for i in $(seq 120); do wait_until 5 deposit_succeeds "many$i"; done
start_control $LOST
wait_until 5 grep -q ReplicaJoining "$WORK/control$LOST.log"
NEW_ID=$(sed -n 's/.*name=ReplicaJoining.*replica="\([0-9a-f]*\)".*/\1/p' "$WORK/control$LOST.log")
check "the replica without its disk joins with a new id" [ -n "$NEW_ID" ]
# The old id of the replica counts as a voter until it is replaced; the repair is
# complete only then.
is_repaired() {
  local now
  now=$(status)
  [ "$(grep -o '"role":"\(leader\|voter\)"' <<<"$now" | wc -l)" = 3 ] &&
    ! grep -q '"role":"learner"' <<<"$now" &&
    grep -q "\"id\":\"$NEW_ID\"" <<<"$now"
}
check "a replica that lost its disk becomes a voter again" wait_until 10 is_repaired

OTHER=$((LOST % 3 + 1))
stop_process "${CONTROL_PID[$OTHER]}" KILL
check "a deposit succeeds after another VM is lost right after the repair" wait_until 5 deposit_succeeds k4
check "a repeated deposit still gets its first answer" [ "$(deposit 1 k1)" = "$FIRST" ]

start_control $OTHER
for i in 1 2 3; do stop_process "${CONTROL_PID[$i]}" KILL; done
check "without a quorum a deposit is refused as not run" grep -q not_run <(deposit 1 k5)
check "prompts are served without a quorum" prompt 1 --tokens 300
for i in 1 2 3; do start_control $i; done
check "a deposit succeeds after all replicas were restarted" wait_until 10 deposit_succeeds k6
check "the record of a deposit survives the restart" [ "$(deposit 1 k1)" = "$FIRST" ]

for key in k1 k2 k3 k4 k6 many7; do
  check "the call $key was executed once" [ "$(execution_count $key)" = 1 ]
done
check "the refused call k5 was not executed" [ "$(execution_count k5)" = 0 ]
finish_case
