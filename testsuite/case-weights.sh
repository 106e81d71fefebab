#!/bin/bash
# A change of the weights in stages, with the leader killed during it, while
# prompts are sent.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 1

weights() { get "${ENGINE[$1]}" '/report?after=0' | json_field weights; }
both_engines_have() { [ "$(weights 1)" = "$1" ] && [ "$(weights 2)" = "$1" ]; }
revision_in_force() { "$BIN/fulmarquay" dump "127.0.0.1:${PEER[1]}" --json | json_field revision_in_force; }

check "a prompt is served with w1" prompt 1 --tokens 8192 --conversation c --seed 5
sleep 0.8
sed 's/weights = w1/weights = w2/; s/^model = m$/model = m\nchecks_fencing = yes/' \
  "$WORK/case.answers" >"$WORK/swap.answers"
check "the change of the weights is accepted" "$BIN/fulmarquay" submit "$WORK/swap.answers" --operator swap
OLD=$(leader)
stop_process "${CONTROL_PID[$OLD]}" KILL
FAILED_PROMPTS=0
for i in $(seq 12); do
  prompt 1 --tokens 300 --seed 6$i >/dev/null || FAILED_PROMPTS=$((FAILED_PROMPTS + 1))
  sleep 0.2
done
check "prompts are served during the change ($FAILED_PROMPTS of 12 failed)" [ $FAILED_PROMPTS = 0 ]
check "both engines have w2" wait_until 20 both_engines_have w2
is_swap_in_force() { [ "$(revision_in_force)" = 3 ]; }
check "w2 is in force at the entry" wait_until 5 is_swap_in_force
RESULT=$(prompt 1 --tokens 8192 --conversation c --seed 5)
check "a prompt after the change uses no block of w1" [ "$(echo "$RESULT" | json_field recomputed_tokens)" = 8194 ]
check "the answer after the change matches its prompt" [ "$(echo "$RESULT" | json_field own)" = true ]
ORDERS=$(cat "$WORK"/control*.log | grep -c OrderIssued)
check "each engine got at most one order per leader: $ORDERS" [ "$ORDERS" -le 4 ]
NUMBERS=$(cat "$WORK"/control*.log | sed -n 's/.*OrderIssued.* number="\([0-9]*\)".*/\1/p' | sort -n)
check "no order number was used twice" [ "$(uniq <<<"$NUMBERS")" = "$NUMBERS" ]
start_control "$OLD"
finish_case
