#!/bin/bash
# Answers when engine streams are aborted or mixed up, and when stores or engines
# fail.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 1

fault() { post "$1" "/fault?$2" >/dev/null; }
fault_engines() { fault "${ENGINE[1]}" "$1"; fault "${ENGINE[2]}" "$1"; }
metric() { get "${HTTP[1]}" /metrics | sed -n "s/^fulmarquay_$1 //p"; }

fault "${ENGINE[1]}" break_after=3
for i in 1 2 3 4; do
  check "prompt $i gets its complete answer while engine 1 aborts streams" \
    prompt 1 --tokens 300 --seed $i --max-tokens 12
done
fault "${ENGINE[1]}" break_after=

fault_engines cross=1
check "tokens of another request are dropped" prompt 1 --tokens 300 --seed 9
check "dropped tokens are counted" [ "$(metric answer_mismatches_total)" -gt 0 ]
fault_engines cross=0

# Runs a prompt, evicts its blocks from both engines, sets a fault of the store and
# runs the prompt again; its result is in RESULT.
prompt_after_eviction() { # CONVERSATION-AND-SEED STORE-FAULT
  prompt 1 --conversation "$1" --seed "$1" --tokens 8192 >/dev/null
  sleep 0.8
  fault_engines evict=1
  fault "$STORE" "$2"
  sleep 0.5
  RESULT=$(prompt 1 --conversation "$1" --seed "$1" --tokens 8192)
  fault "$STORE" "${2%%=*}=0"
}
prompt_after_eviction 101 none=1
check "evicted blocks are imported from the store" [ "$(echo "$RESULT" | json_field imported_tokens)" = 8192 ]
prompt_after_eviction 102 damage=1
check "a damaged block is not used" [ "$(echo "$RESULT" | json_field imported_tokens)" = 0 ]
check "the prompt is recomputed and its answer matches" [ "$(echo "$RESULT" | json_field own)" = true ]
prompt_after_eviction 103 cut=1
check "a truncated block is not used" [ "$(echo "$RESULT" | json_field imported_tokens)" = 0 ]
prompt_after_eviction 104 dead=1
check "with an unavailable store the answer matches too" [ "$(echo "$RESULT" | json_field own)" = true ]

# Accounts are isolated: the same text under another account shares no blocks.
KEY=$OTHER_KEY
RESULT=$(prompt 1 --conversation 101 --seed 101 --tokens 8192)
check "another account's blocks are not used" [ "$(echo "$RESULT" | json_field recomputed_tokens)" = 8194 ]
KEY=village-key

fault "${ENGINE[1]}" leaving=1
sleep 1
BEFORE=$(get "${ENGINE[1]}" '/report?after=0' | json_field running)
for i in 1 2 3 4 5 6; do
  check "prompt $i is served while engine 1 is leaving" prompt 1 --tokens 300 --seed 2$i
done
check "the leaving engine had no running prompt" [ "$BEFORE" = 0 ]
fault "${ENGINE[1]}" leaving=0
fault_engines full=1
ANSWER=$(prompt 1 --tokens 300 --seed 31)
check "without an available engine the prompt is refused as not run" grep -q 'not_run' <<<"$ANSWER"
fault_engines full=0
check "prompts are served again" wait_until 5 prompt 1 --tokens 300 --seed 32

check "an unknown bearer key is refused" grep -q 401 <(post "${HTTP[1]}" /v1/chat/completions --key wrong)
check "a malformed body is refused" grep -q '"status":400' <(post "${HTTP[1]}" /v1/chat/completions --key $KEY --body '{')

# Drain: the answer in progress is completed, and the entry is not ready.
prompt 1 --tokens 300 --seed 41 --max-tokens 300 >"$WORK/last" &
LAST_PROMPT=$!
sleep 0.3
kill -TERM "${ENTRY_PID[1]}"
sleep 0.1
check "a draining entry is not ready" [ "$(get "${HTTP[1]}" /readyz)" = "not ready" ]
wait $LAST_PROMPT
check "the answer in progress is complete and matches its prompt" grep -q '"whole":true,"own":true' "$WORK/last"
wait "${ENTRY_PID[1]}"
check "the drained entry exits with 0" [ $? = 0 ]
untrack "${ENTRY_PID[1]}"
finish_case
