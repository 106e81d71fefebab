#!/bin/bash
# The reader of an entry's log ends while requests run: the entry goes on serving.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
RATE=${RATE:-60}
# The reader of entry 1 ends after this many bytes, some seconds of its log.
LOG_BYTES=${LOG_BYTES:-30000}

start_platform_entry() { # NUMBER
  local log=$WORK/entry$1.log
  if [ "$1" = 1 ]; then
    mkfifo "$WORK/pipe"
    head -c "$LOG_BYTES" <"$WORK/pipe" >"$log" &
    READER=$!
    PIDS+=("$READER")
    log=$WORK/pipe
  fi
  FULMARQUAY_BOOT=$WORK/entry$1.ini "$BIN/platform-entry" >"$log" 2>&1 &
  ENTRY_PID[$1]=$!
  PIDS+=("${ENTRY_PID[$1]}")
}
reader_has_ended() { ! kill -0 "$READER" 2>/dev/null; }

start_platform 2 4
set_fault "$LIST" per_second=$RATE
check "the reader of the log has ended" wait_until 10 reader_has_ended
served_before=$(count_of "$LIST" first_served_1)
sleep 3
check "the entry still runs" kill -0 "${ENTRY_PID[1]}"
# Half of its share of the load.
expected=$((RATE * 3 / 4))
served=$(($(count_of "$LIST" first_served_1) - served_before))
check "it serves first tries ($served in 3 s)" [ "$served" -ge "$expected" ]
finish_case
