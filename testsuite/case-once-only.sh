#!/bin/bash
# Once-only calls when an entry is killed, an answer is lost, or a caller repeats
# a call at another entry.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 2

# The same call at two entries concurrently.
post "$TILL" '/fault?delay_ms=600' >/dev/null
deposit 1 both >"$WORK/a" &
A=$!
deposit 2 both >"$WORK/b" &
B=$!
wait $A $B
body() { sed 's/.*"body"://' "$1"; }
check "concurrent calls at two entries get the same answer" [ "$(body "$WORK/a")" = "$(body "$WORK/b")" ]
check "the concurrent call was executed once" [ "$(execution_count both)" = 1 ]

check "another body with a used Idempotency-Key is refused" grep -q '"status":422' <(deposit 1 both '{"other":1}')
check "a call without an Idempotency-Key is refused" grep -q '"status":400' <(post "${HTTP[1]}" /v1/services/till/deposit --key $KEY)
check "another account may use the same Idempotency-Key" grep -q '"earlier":false' \
  <(post "${HTTP[1]}" /v1/services/till/deposit --key $OTHER_KEY --idempotency-key both --body '{}')
post "$TILL" '/fault?delay_ms=2' >/dev/null

# The entry is killed while its call is in flight; the caller repeats the call at
# another entry.
post "$TILL" '/fault?delay_ms=1500' >/dev/null
deposit 1 dying >/dev/null &
CALLER=$!
sleep 0.4
stop_process "${ENTRY_PID[1]}" KILL
wait $CALLER
ANSWER=$(deposit 2 dying)
check "a call repeated after its entry was killed has an unknown outcome" grep -q '\\"outcome\\":\\"unknown\\"' <<<"$ANSWER"
check "the call whose entry was killed was executed once" [ "$(execution_count dying)" = 1 ]
check "a second repetition has an unknown outcome too" grep -q '\\"outcome\\":\\"unknown\\"' <(deposit 2 dying)
check "it was still executed once" [ "$(execution_count dying)" = 1 ]
post "$TILL" '/fault?delay_ms=2' >/dev/null
start_entry 1
check "the restarted entry becomes ready" wait_until 10 is_ready "${HTTP[1]}"

# The service executes the call and its answer is lost.
post "$TILL" '/fault?drop=1' >/dev/null
check "a call with a lost answer has an unknown outcome" grep -q '\\"outcome\\":\\"unknown\\"' <(deposit 1 lost)
post "$TILL" '/fault?drop=0' >/dev/null
check "the call repeated at another entry has an unknown outcome" grep -q '\\"outcome\\":\\"unknown\\"' <(deposit 2 lost)
check "the call with a lost answer was executed once" [ "$(execution_count lost)" = 1 ]

# The leader is suspended while calls are in flight.
OLD=$(leader)
for i in 1 2 3 4 5; do
  deposit $((i % 2 + 1)) "freeze$i" >"$WORK/freeze$i" &
  CALLERS[$i]=$!
done
kill -STOP "${CONTROL_PID[$OLD]}"
wait "${CALLERS[@]}"
kill -CONT "${CONTROL_PID[$OLD]}"
for i in 1 2 3 4 5; do
  status=$(json_field status <"$WORK/freeze$i")
  count=$(execution_count "freeze$i")
  status_matches_executions() {
    if [ "$status" = 200 ]; then
      [ "$count" = 1 ]
    else
      [ "$count" = 0 ] && grep -q not_run "$WORK/freeze$i"
    fi
  }
  check "call $i with a suspended leader: status $status, executed $count times" status_matches_executions
done

# The entries are partitioned from the control group.
disconnect_control 1 2
sleep 2.5
check "during the partition a once-only call is refused as not run" grep -q not_run <(deposit 1 cut)
check "the refused call was not executed" [ "$(execution_count cut)" = 0 ]
check "during the partition prompts are served" prompt 1 --tokens 300
reconnect_control 1 2
deposit_succeeds() { deposit 1 healed | grep -q '"status":200'; }
check "a once-only call succeeds after the partition" wait_until 8 deposit_succeeds
check "that call was executed once" [ "$(execution_count healed)" = 1 ]
finish_case
