#!/bin/bash
# The demo: one VM with one control replica; prints a table and exits non-zero
# when a figure contradicts a promise.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh

free_ports 7
CONTROL=${PORTS[0]} ENTRY_PEER=${PORTS[1]} HTTP=${PORTS[2]}
ENGINE1=${PORTS[3]} ENGINE2=${PORTS[4]} STORE=${PORTS[5]} TILL=${PORTS[6]}
KEY=demo-key

cat >"$WORK/standin.ini" <<INI
[engine.e1]
listen = 127.0.0.1:$ENGINE1
prefill_per_second = 20000
[engine.e2]
listen = 127.0.0.1:$ENGINE2
prefill_per_second = 20000
[store.s1]
listen = 127.0.0.1:$STORE
link_per_second = 64MiB
[service.till]
listen = 127.0.0.1:$TILL
INI
cat >"$WORK/control.ini" <<INI
[control]
vm = vm1
data_centre = dc1
listen = 127.0.0.1:$CONTROL
data_folder = $WORK/state
[replica.vm1]
address = 127.0.0.1:$CONTROL
INI
cat >"$WORK/entry.ini" <<INI
[entry]
vm = vm1
data_centre = dc1
listen = 127.0.0.1:$ENTRY_PEER
http = 127.0.0.1:$HTTP
control = 127.0.0.1:$CONTROL
INI
cat >"$WORK/demo.answers" <<INI
[deployment]
name = demo
first_token_weight = 0.8
[account.village]
key_hash = $("$BIN/fulmarquay" hash-key $KEY)
tokens_per_second = 1000000
[model.m]
weights = w1
[engine.e1]
address = 127.0.0.1:$ENGINE1
data_centre = dc1
model = m
[engine.e2]
address = 127.0.0.1:$ENGINE2
data_centre = dc1
model = m
[store.s1]
address = 127.0.0.1:$STORE
data_centre = dc1
capacity = 256MiB
link_per_second = 64MiB
[service.till]
addresses = 127.0.0.1:$TILL
once_calls = deposit
INI
export FULMARQUAY_CONTROL=127.0.0.1:$CONTROL

start standin "$BIN/fulmarquay-standin" --settings "$WORK/standin.ini"
"$BIN/fulmarquay-control" --settings "$WORK/control.ini" --bootstrap >>"$WORK/control.log" 2>&1
start control "$BIN/fulmarquay-control" --settings "$WORK/control.ini"
start entry "$BIN/fulmarquay-entry" --settings "$WORK/entry.ini"
check "answers accepted" "$BIN/fulmarquay" submit "$WORK/demo.answers" --operator demo
check "configuration in force at the entry" until_true 10 is_ready "$HTTP"
sleep 0.5

evict() {
  post "$ENGINE1" '/fault?evict=1' >/dev/null
  post "$ENGINE2" '/fault?evict=1' >/dev/null
}

# The conversation's first turn, then both engines evict it, then it returns.
mkfifo "$WORK/turns"
"$BIN/fulmarquay-load" prompt --entry "127.0.0.1:$HTTP" --key $KEY \
  --turns 2 --tokens 8192 --later-tokens 256 --max-tokens 16 --pause 1s \
  --fault "127.0.0.1:$ENGINE1" --between '/fault?evict=1' >"$WORK/turns" &
PROMPT=$!
exec 3<"$WORK/turns"
read -r COLD <&3
sleep 0.5
evict
read -r BACK <&3
wait $PROMPT
check "both answers whole and the caller's own" [ $? = 0 ]

FIRST=$(post "$HTTP" /v1/services/till/deposit --key $KEY --idempotency-key d1 --body '{"euro":40}')
SECOND=$(post "$HTTP" /v1/services/till/deposit --key $KEY --idempotency-key d1 --body '{"euro":40}')
RUNS=$(get "$TILL" /journal | grep -o '"key":"d1"' | wc -l)
LINK=$(get "$STORE" /stats | field link_bytes)

share() { # recomputed share of a turn, in percent
  local done all
  done=$(echo "$1" | field recomputed_tokens)
  all=$(echo "$1" | field prompt_tokens)
  echo $((100 * done / all))
}
printf '\n%-28s %12s %12s\n' "" cold returning
printf '%-28s %12s %12s\n' "time to first token (ms)" \
  "$(echo "$COLD" | field first_token_ms)" "$(echo "$BACK" | field first_token_ms)"
printf '%-28s %12s %12s\n' "prompt tokens" \
  "$(echo "$COLD" | field prompt_tokens)" "$(echo "$BACK" | field prompt_tokens)"
printf '%-28s %12s %12s\n' "recomputed share (%)" "$(share "$COLD")" "$(share "$BACK")"
printf '%-28s %12s %12s\n' "imported tokens" \
  "$(echo "$COLD" | field imported_tokens)" "$(echo "$BACK" | field imported_tokens)"
printf '%-28s %12s\n' "link bytes" "$LINK"
printf '%-28s %s\n' "deposit, first answer" "$(echo "$FIRST" | sed 's/.*"body"://')"
printf '%-28s %s\n' "deposit, second answer" "$(echo "$SECOND" | sed 's/.*"body"://')"
printf '%-28s %s\n\n' "deposit, times run" "$RUNS"

check "the returning turn imported blocks" [ "$(echo "$BACK" | field imported_tokens)" -gt 0 ]
check "the returning turn recomputed less" [ "$(share "$BACK")" -lt "$(share "$COLD")" ]
check "the deposit ran once" [ "$RUNS" = 1 ]
check "both deposit answers are equal" [ "${FIRST##*\"body\"}" = "${SECOND##*\"body\"}" ]
check "the second deposit answer is marked as earlier" [ "$(echo "$SECOND" | field earlier)" = true ]
end "${PIDS[2]}" TERM
check "the entry drains and ends" [ $? = 0 ]
[ $FAILED = 0 ] || tail -n 5 "$WORK"/*.log
exit $FAILED
