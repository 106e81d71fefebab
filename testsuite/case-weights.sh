#!/bin/bash
# A weight swap by stages, under a killed leader, with a conversation running.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 1

weights() { get "${ENGINE[$1]}" '/report?after=0' | field weights; }
both_have() { [ "$(weights 1)" = "$1" ] && [ "$(weights 2)" = "$1" ]; }
serving() { "$BIN/fulmarquay" dump "127.0.0.1:${PEER[1]}" --json | field revision_in_force; }

check "a conversation runs under w1" prompt 1 --tokens 8192 --conversation c --seed 5
sleep 0.8
sed 's/weights = w1/weights = w2/; s/^model = m$/model = m\nchecks_fencing = yes/' \
  "$WORK/case.answers" >"$WORK/swap.answers"
check "the swap is accepted" "$BIN/fulmarquay" submit "$WORK/swap.answers" --operator swap
OLD=$(leader)
end "${CONTROL_PID[$OLD]}" KILL
FAILS=0
for i in $(seq 12); do
  prompt 1 --tokens 300 --seed 6$i >/dev/null || FAILS=$((FAILS + 1))
  sleep 0.2
done
check "prompts are served during the swap ($FAILS of 12 failed)" [ $FAILS = 0 ]
check "both engines have w2" until_true 20 both_have w2
is_switched() { [ "$(serving)" = 3 ]; }
check "w2 is in force at the entry" until_true 5 is_switched
RESULT=$(prompt 1 --tokens 8192 --conversation c --seed 5)
check "a new request uses no block of w1" [ "$(echo "$RESULT" | field recomputed_tokens)" = 8194 ]
check "its answer is whole and its own" [ "$(echo "$RESULT" | field own)" = true ]
ORDERS=$(cat "$WORK"/control*.log | grep -c OrderIssued)
check "each engine got one order for each leader at the most: $ORDERS" [ "$ORDERS" -le 4 ]
NUMBERS=$(cat "$WORK"/control*.log | sed -n 's/.*OrderIssued.* number="\([0-9]*\)".*/\1/p' | sort -n)
check "no order number was used twice" [ "$(uniq <<<"$NUMBERS")" = "$NUMBERS" ]
start_control "$OLD"
finish_case
