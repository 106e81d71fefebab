#!/bin/bash
# Demo on one VM with one control replica. Prints a table; exits non-zero if a
# result is not as expected.
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

start_process standin "$BIN/fulmarquay-standin" --settings "$WORK/standin.ini"
"$BIN/fulmarquay-control" --settings "$WORK/control.ini" --bootstrap >>"$WORK/control.log" 2>&1
start_process control "$BIN/fulmarquay-control" --settings "$WORK/control.ini"
start_process entry "$BIN/fulmarquay-entry" --settings "$WORK/entry.ini"
check "the answers are accepted" "$BIN/fulmarquay" submit "$WORK/demo.answers" --operator demo
check "the configuration is in force at the entry" wait_until 10 is_ready "$HTTP"
sleep 0.5

evict() {
  post "$ENGINE1" '/fault?evict=1' >/dev/null
  post "$ENGINE2" '/fault?evict=1' >/dev/null
}

# A conversation of two turns; both engines evict its blocks between them.
mkfifo "$WORK/turns"
"$BIN/fulmarquay-load" prompt --entry "127.0.0.1:$HTTP" --key $KEY \
  --turns 2 --tokens 8192 --later-tokens 256 --max-tokens 16 --pause 1s \
  --fault "127.0.0.1:$ENGINE1" --between '/fault?evict=1' >"$WORK/turns" &
PROMPT_PID=$!
exec 3<"$WORK/turns"
read -r COLD <&3
sleep 0.5
evict
read -r RETURNING <&3
wait $PROMPT_PID
check "both answers are complete and match their prompts" [ $? = 0 ]

FIRST=$(post "$HTTP" /v1/services/till/deposit --key $KEY --idempotency-key d1 --body '{"euro":40}')
SECOND=$(post "$HTTP" /v1/services/till/deposit --key $KEY --idempotency-key d1 --body '{"euro":40}')
EXECUTIONS=$(get "$TILL" /journal | grep -o '"key":"d1"' | wc -l)
LINK=$(get "$STORE" /stats | json_field link_bytes)

recomputed_percent() { # JSON-LINE
  local recomputed total
  recomputed=$(echo "$1" | json_field recomputed_tokens)
  total=$(echo "$1" | json_field prompt_tokens)
  echo $((100 * recomputed / total))
}
printf '\n%-28s %12s %12s\n' "" cold returning
printf '%-28s %12s %12s\n' "time to first token (ms)" \
  "$(echo "$COLD" | json_field first_token_ms)" "$(echo "$RETURNING" | json_field first_token_ms)"
printf '%-28s %12s %12s\n' "prompt tokens" \
  "$(echo "$COLD" | json_field prompt_tokens)" "$(echo "$RETURNING" | json_field prompt_tokens)"
printf '%-28s %12s %12s\n' "recomputed share (%)" "$(recomputed_percent "$COLD")" "$(recomputed_percent "$RETURNING")"
printf '%-28s %12s %12s\n' "imported tokens" \
  "$(echo "$COLD" | json_field imported_tokens)" "$(echo "$RETURNING" | json_field imported_tokens)"
printf '%-28s %12s\n' "link bytes" "$LINK"
printf '%-28s %s\n' "deposit, first answer" "$(echo "$FIRST" | sed 's/.*"body"://')"
printf '%-28s %s\n' "deposit, second answer" "$(echo "$SECOND" | sed 's/.*"body"://')"
printf '%-28s %s\n\n' "deposit, times run" "$EXECUTIONS"

check "the second turn imported blocks" [ "$(echo "$RETURNING" | json_field imported_tokens)" -gt 0 ]
check "the second turn recomputed a smaller share" [ "$(recomputed_percent "$RETURNING")" -lt "$(recomputed_percent "$COLD")" ]
check "the deposit was executed once" [ "$EXECUTIONS" = 1 ]
check "both deposit answers are equal" [ "${FIRST##*\"body\"}" = "${SECOND##*\"body\"}" ]
check "the second deposit answer is marked as an earlier result" [ "$(echo "$SECOND" | json_field earlier)" = true ]
stop_process "${PIDS[2]}" TERM
check "the entry drains and ends" [ $? = 0 ]
[ $FAILED = 0 ] || tail -n 5 "$WORK"/*.log
exit $FAILED
