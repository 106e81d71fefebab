#!/bin/bash
# Configuration: concurrent and repeated submissions, restarts of entries without
# a connection to the control group.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 2

in_force() { # REVISION: succeeds if both entries have it in force
  [ "$(status | grep -o "\"revision_in_force\":$1," | wc -l)" = 2 ]
}
check "revision 1 is in force everywhere" wait_until 5 in_force 1

# Two operators submit different answers with the same base revision.
write_answers "$WORK/a.answers" first-operator
write_answers "$WORK/b.answers" second-operator
submit() { "$BIN/fulmarquay" submit "$WORK/$1.answers" --operator "$1" --base 1 >"$WORK/$1.out" 2>&1; }
submit a &
A_PID=$!
submit b &
B_PID=$!
wait $A_PID; A_STATUS=$?
wait $B_PID; B_STATUS=$?
check "exactly one of two concurrent submissions is accepted" [ $((A_STATUS + B_STATUS)) = 3 ]
REJECTED=$([ $A_STATUS = 0 ] && echo b || echo a)
ACCEPTED=$([ $A_STATUS = 0 ] && echo a || echo b)
check "the rejected operator sees who submitted first" grep -q "by $ACCEPTED came first" "$WORK/$REJECTED.out"
check "the rejected operator sees the changed sections" grep -q '\[deployment\]' "$WORK/$REJECTED.out"
submit $ACCEPTED
check "the accepted submission sent again gets the same result" grep -q 'accepted as revision 2' "$WORK/$ACCEPTED.out"
check "revision 2 is in force everywhere" wait_until 5 in_force 2

echo "[account.wrong]" >>"$WORK/a.answers"
"$BIN/fulmarquay" submit "$WORK/a.answers" 2>"$WORK/wrong.out"
check "invalid answers exit with 3" [ $? = 3 ]
check "the error names the invalid section and key" grep -q 'account.wrong\] key_hash: missing' "$WORK/wrong.out"

# An entry restarts while no entry of its data centre reaches the control group.
# The other entry, which was confirmed until the partition, sends it the
# configuration.
dump_field() { "$BIN/fulmarquay" dump "127.0.0.1:${PEER[$1]}" --json | json_field "$2"; }
disconnect_control 1 2
sleep 0.5
stop_process "${ENTRY_PID[1]}" KILL
start_entry 1
check "an entry restarted during the partition becomes ready" wait_until 10 is_ready "${HTTP[1]}"
check "the restarted entry has the newest revision" [ "$(dump_field 1 revision_in_force)" = 2 ]
check "the restarted entry serves prompts" wait_until 5 prompt 1 --tokens 300

# Both entries restart during the partition: neither has a confirmed
# configuration, so neither may serve.
stop_process "${ENTRY_PID[1]}" KILL
stop_process "${ENTRY_PID[2]}" KILL
start_entry 1
start_entry 2
sleep 4
check "without a confirmed configuration entry 1 is not ready" [ "$(get "${HTTP[1]}" /readyz)" = "not ready" ]
check "its refusal says that the call was not run" grep -q not_run <(deposit 1 k1)
reconnect_control 1 2
check "entry 1 is ready after the partition" wait_until 10 is_ready "${HTTP[1]}"
check "entry 2 is ready after the partition" wait_until 10 is_ready "${HTTP[2]}"
check "revision 2 is in force at both entries after the partition" wait_until 5 in_force 2

# An entry that is partitioned from its peer and the control group may have missed
# a revision. It continues to serve, but a restarted entry must not take the
# configuration from it. Its connections are cut before the change, because a
# resumed process still reads the data in its socket buffers.
disconnect_control 2
kill -STOP "${ENTRY_PID[2]}"
write_answers "$WORK/c.answers" third
"$BIN/fulmarquay" submit "$WORK/c.answers" --operator c >/dev/null
has_revision_3() { [ "$(dump_field 1 revision_in_force)" = 3 ]; }
check "an unresponsive peer does not block revision 3" wait_until 9 has_revision_3
disconnect_control 1
sleep 0.3
kill -CONT "${ENTRY_PID[2]}"
stop_process "${ENTRY_PID[1]}" KILL
start_entry 1
sleep 4
check "entry 2 still has revision 2" [ "$(dump_field 2 revision_in_force)" = 2 ]
check "entry 2 reports its configuration as not fresh" [ "$(dump_field 2 configuration_fresh)" = false ]
check "restarted entry 1 does not take revision 2 from entry 2" [ "$(dump_field 1 revision_in_force)" = 0 ]
check "entry 2 continues to serve" prompt 2 --tokens 300
reconnect_control 1 2
check "revision 3 is in force everywhere after the partition" wait_until 10 in_force 3
finish_case
