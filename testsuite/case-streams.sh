#!/bin/bash
# Answers when streams break, cross, and when stores and engines fail.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 1

fault() { post "$1" "/fault?$2" >/dev/null; }
both_engines() { fault "${ENGINE[1]}" "$1"; fault "${ENGINE[2]}" "$1"; }
metric() { get "${HTTP[1]}" /metrics | sed -n "s/^fulmarquay_$1 //p"; }

fault "${ENGINE[1]}" break_after=3
for i in 1 2 3 4; do
  check "prompt $i is whole and its own though engine 1 breaks streams" \
    prompt 1 --tokens 300 --seed $i --max-tokens 12
done
fault "${ENGINE[1]}" break_after=

both_engines cross=1
check "crossed parts are dropped" prompt 1 --tokens 300 --seed 9
check "and counted" [ "$(metric answer_mismatches_total)" -gt 0 ]
both_engines cross=0

# A conversation whose blocks are in the store, and evicted.
returning() { # NAME STORE-FAULT
  prompt 1 --conversation "$1" --seed "$1" --tokens 8192 >/dev/null
  sleep 0.8
  both_engines evict=1
  fault "$STORE" "$2"
  sleep 0.5
  RESULT=$(prompt 1 --conversation "$1" --seed "$1" --tokens 8192)
  fault "$STORE" "${2%%=*}=0"
}
returning 101 none=1
check "evicted blocks come back from the store" [ "$(echo "$RESULT" | field imported_tokens)" = 8192 ]
returning 102 damage=1
check "a damaged block is never used" [ "$(echo "$RESULT" | field imported_tokens)" = 0 ]
check "the prompt is recomputed and right" [ "$(echo "$RESULT" | field own)" = true ]
returning 103 cut=1
check "a partly read block is never used" [ "$(echo "$RESULT" | field imported_tokens)" = 0 ]
returning 104 dead=1
check "with a dead store the prompt is recomputed" [ "$(echo "$RESULT" | field own)" = true ]

# Accounts stay apart: the same text under another account shares nothing.
KEY=$OTHER_KEY
RESULT=$(prompt 1 --conversation 101 --seed 101 --tokens 8192)
check "another account's blocks are not used" [ "$(echo "$RESULT" | field recomputed_tokens)" = 8194 ]
KEY=village-key

fault "${ENGINE[1]}" leaving=1
sleep 1
BEFORE=$(get "${ENGINE[1]}" '/report?after=0' | field running)
for i in 1 2 3 4 5 6; do
  check "prompt $i is served while engine 1 leaves" prompt 1 --tokens 300 --seed 2$i
done
check "the leaving engine got nothing" [ "$BEFORE" = 0 ]
fault "${ENGINE[1]}" leaving=0
both_engines full=1
ANSWER=$(prompt 1 --tokens 300 --seed 31)
check "with no engine the refusal is truthful" grep -q 'not_run' <<<"$ANSWER"
both_engines full=0
check "and prompts run again" until_true 5 prompt 1 --tokens 300 --seed 32

check "a wrong key is refused" grep -q 401 <(post "${HTTP[1]}" /v1/chat/completions --key wrong)
check "a broken body is refused" grep -q '"status":400' <(post "${HTTP[1]}" /v1/chat/completions --key $KEY --body '{')

# Drain: a running answer is finished, nothing new is taken.
prompt 1 --tokens 300 --seed 41 --max-tokens 300 >"$WORK/last" &
LAST=$!
sleep 0.3
kill -TERM "${ENTRY_PID[1]}"
sleep 0.1
check "draining, it is not ready" [ "$(get "${HTTP[1]}" /readyz)" = "not ready" ]
wait $LAST
check "the running answer is whole" grep -q '"whole":true,"own":true' "$WORK/last"
wait "${ENTRY_PID[1]}"
check "the drained entry ends with 0" [ $? = 0 ]
forget "${ENTRY_PID[1]}"
finish_case
