#!/bin/bash
# Once-only calls when entries die, answers are lost, callers resend elsewhere.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 2

# The same call at two entries at the same moment.
post "$TILL" '/fault?delay_ms=600' >/dev/null
deposit 1 both >"$WORK/a" &
A=$!
deposit 2 both >"$WORK/b" &
B=$!
wait $A $B
body() { sed 's/.*"body"://' "$1"; }
check "two callers at two entries get one equal answer" [ "$(body "$WORK/a")" = "$(body "$WORK/b")" ]
check "their call ran once" [ "$(runs both)" = 1 ]

check "another body under a used key is refused" grep -q '"status":422' <(deposit 1 both '{"other":1}')
check "a key is needed" grep -q '"status":400' <(post "${HTTP[1]}" /v1/services/till/deposit --key $KEY)
check "an account's key is its own" grep -q '"earlier":false' \
  <(post "${HTTP[1]}" /v1/services/till/deposit --key $OTHER_KEY --idempotency-key both --body '{}')
post "$TILL" '/fault?delay_ms=2' >/dev/null

# The entry dies while its call is under way; the caller resends at another.
post "$TILL" '/fault?delay_ms=1500' >/dev/null
deposit 1 dying >/dev/null &
CALLER=$!
sleep 0.4
end "${ENTRY_PID[1]}" KILL
wait $CALLER
ANSWER=$(deposit 2 dying)
check "a resend after the entry died says unknown" grep -q '\\"outcome\\":\\"unknown\\"' <<<"$ANSWER"
check "the call whose entry died ran once" [ "$(runs dying)" = 1 ]
check "a later resend is not sent either" grep -q '\\"outcome\\":\\"unknown\\"' <(deposit 2 dying)
check "it still ran once" [ "$(runs dying)" = 1 ]
post "$TILL" '/fault?delay_ms=2' >/dev/null
start_entry 1
check "the restarted entry gets ready" until_true 10 is_ready "${HTTP[1]}"

# The service runs the call and its answer is lost.
post "$TILL" '/fault?drop=1' >/dev/null
check "a lost answer is unknown" grep -q '\\"outcome\\":\\"unknown\\"' <(deposit 1 lost)
post "$TILL" '/fault?drop=0' >/dev/null
check "a resend elsewhere is not sent" grep -q '\\"outcome\\":\\"unknown\\"' <(deposit 2 lost)
check "the call whose answer was lost ran once" [ "$(runs lost)" = 1 ]

# The leader is frozen while calls are under way.
OLD=$(leader)
for i in 1 2 3 4 5; do
  deposit $((i % 2 + 1)) "freeze$i" >"$WORK/freeze$i" &
  CALLERS[$i]=$!
done
kill -STOP "${CONTROL_PID[$OLD]}"
wait "${CALLERS[@]}"
kill -CONT "${CONTROL_PID[$OLD]}"
for i in 1 2 3 4 5; do
  status=$(field status <"$WORK/freeze$i")
  count=$(runs "freeze$i")
  truthful() {
    if [ "$status" = 200 ]; then
      [ "$count" = 1 ]
    else
      [ "$count" = 0 ] && grep -q not_run "$WORK/freeze$i"
    fi
  }
  check "call $i under a frozen leader: status $status, ran $count" truthful
done

# The entries are cut off from the control group.
cut_control 1 2
sleep 2.5
check "cut off, a once-only call is refused as not run" grep -q not_run <(deposit 1 cut)
check "and did not run" [ "$(runs cut)" = 0 ]
check "cut off, prompts go on" prompt 1 --tokens 300
mend_control 1 2
works() { deposit 1 healed | grep -q '"status":200'; }
check "after the cut it runs" until_true 8 works
check "once" [ "$(runs healed)" = 1 ]
finish_case
