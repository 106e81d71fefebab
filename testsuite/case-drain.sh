#!/bin/bash
# A planned stop under load: requests that were accepted before and during the
# drain get complete answers.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/cluster.sh
start_cluster 1

# Answers take longer than the drain delay of 300 ms, so that some run beyond it.
post "$TILL" '/fault?delay_ms=400' >/dev/null
for round in 1 2 3; do
  "$BIN/fulmarquay-load" run /v1/services/till/status --entry "127.0.0.1:${HTTP[1]}" --key $KEY \
    --rate 0 --in-flight 60 --length 1200ms >"$WORK/load$round" &
  LOAD=$!
  sleep 1
  kill -TERM "${ENTRY_PID[1]}"
  wait $LOAD
  check "round $round: no answer is cut off" [ "$(json_field cut <"$WORK/load$round")" = 0 ]
  check "round $round: no request fails" [ "$(json_field failed <"$WORK/load$round")" = 0 ]
  check "round $round: there was load" [ "$(json_field requests <"$WORK/load$round")" -ge 120 ]
  wait "${ENTRY_PID[1]}"
  check "round $round: the drained entry exits with 0" [ $? = 0 ]
  untrack "${ENTRY_PID[1]}"
  start_entry 1
  check "round $round: the next process is ready" wait_until 10 is_ready "${HTTP[1]}"
done
finish_case
