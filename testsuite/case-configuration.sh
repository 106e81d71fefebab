#!/bin/bash
# Configuration: races, resends, restarts of a cut-off entry.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 2

in_force() { # REVISION: at every entry
  [ "$(status | grep -o "\"revision_in_force\":$1," | wc -l)" = 2 ]
}
check "revision 1 is in force everywhere" until_true 5 in_force 1

# Two operators under one number.
write_answers "$WORK/a.answers" first-operator
write_answers "$WORK/b.answers" second-operator
submit() { "$BIN/fulmarquay" submit "$WORK/$1.answers" --operator "$1" --base 1 >"$WORK/$1.out" 2>&1; }
submit a &
A=$!
submit b &
B=$!
wait $A; A=$?
wait $B; B=$?
check "of two operators exactly one is accepted" [ $((A + B)) = 3 ]
LOSER=$([ $A = 0 ] && echo b || echo a)
WINNER=$([ $A = 0 ] && echo a || echo b)
check "the other is told by whom" grep -q "by $WINNER came first" "$WORK/$LOSER.out"
check "and what changed" grep -q '\[deployment\]' "$WORK/$LOSER.out"
submit $WINNER
check "a resend of the accepted one gets its first result" grep -q 'accepted as revision 2' "$WORK/$WINNER.out"
check "revision 2 is in force everywhere" until_true 5 in_force 2

echo "[account.wrong]" >>"$WORK/a.answers"
"$BIN/fulmarquay" submit "$WORK/a.answers" 2>"$WORK/wrong.out"
check "wrong answers exit with 3" [ $? = 3 ]
check "and are named" grep -q 'account.wrong\] key_hash: missing' "$WORK/wrong.out"

# An entry restarts while its data centre is cut off: the other one, which
# was confirmed until the cut, gives it the configuration.
dump_field() { "$BIN/fulmarquay" dump "127.0.0.1:${PEER[$1]}" --json | field "$2"; }
cut_control 1 2
sleep 0.5
end "${ENTRY_PID[1]}" KILL
start_entry 1
check "restarted in a cut-off data centre it gets ready" until_true 10 is_ready "${HTTP[1]}"
check "with the newest revision" [ "$(dump_field 1 revision_in_force)" = 2 ]
check "and serves prompts" until_true 5 prompt 1 --tokens 300

# Both restart: nobody knows what was in force, so neither may serve.
end "${ENTRY_PID[1]}" KILL
end "${ENTRY_PID[2]}" KILL
start_entry 1
start_entry 2
sleep 4
check "without a source entry 1 does not serve" [ "$(get "${HTTP[1]}" /readyz)" = "not ready" ]
check "its refusal is truthful" grep -q not_run <(deposit 1 k1)
mend_control 1 2
check "after the cut entry 1 serves" until_true 10 is_ready "${HTTP[1]}"
check "after the cut entry 2 serves" until_true 10 is_ready "${HTTP[2]}"
check "with revision 2" until_true 5 in_force 2

# An entry cut off from its peer and the group may have been passed over: it
# goes on serving, but a restarted entry does not learn from it. Its link is cut
# before the change: what reached a frozen process's socket it may still use.
cut_control 2
kill -STOP "${ENTRY_PID[2]}"
write_answers "$WORK/c.answers" third
"$BIN/fulmarquay" submit "$WORK/c.answers" --operator c >/dev/null
newest() { [ "$(dump_field 1 revision_in_force)" = 3 ]; }
check "a silent peer does not hold up revision 3" until_true 9 newest
cut_control 1
sleep 0.3
kill -CONT "${ENTRY_PID[2]}"
end "${ENTRY_PID[1]}" KILL
start_entry 1
sleep 4
check "entry 2 still has revision 2" [ "$(dump_field 2 revision_in_force)" = 2 ]
check "and is not a fresh source" [ "$(dump_field 2 configuration_fresh)" = false ]
check "entry 1 does not come back with revision 2" [ "$(dump_field 1 revision_in_force)" = 0 ]
check "entry 2 goes on serving" prompt 2 --tokens 300
mend_control 1 2
check "after the cut revision 3 is in force everywhere" until_true 10 in_force 3
finish_case
