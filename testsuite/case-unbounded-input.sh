#!/bin/bash
# Callers and peers that send bytes without end outside bodies, or fields longer than
# the parser can hold: real processes stay alive, within fixed bounds of memory and
# descriptors, and answer an ordinary request afterwards.
# Guards against unbounded trailers and chunk extensions, and against an exception of
# the parser that ends the process.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
# Fixed before the code was changed.
CONNECTIONS=4
MEBIBYTES=32
MAX_KIB=$((96 * 1024))
MAX_DESCRIPTORS=200
# A head field above 64 KiB is within this document's limit; the idle timeout is lowered.
ROUTES=${ROUTES/\"max-header-bytes\":16384/\"max-header-bytes\":100000}
ROUTES=${ROUTES/\"idle-timeout-ms\":15000/\"idle-timeout-ms\":3000}
start_platform 1 2

peak_kib() { # PID
  sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$1/status" 2>/dev/null
}
descriptors() { # PID
  ls "/proc/$1/fd" 2>/dev/null | wc -l
}
is_alive() { kill -0 "$1" 2>/dev/null; }
is_answered() { # ADDRESS TARGET
  case $("$BIN/raw-input" ask "$1" "$2") in "HTTP/1.1 "[1-5]*) return 0 ;; esac
  return 1
}
# is_within PID: whether memory and descriptors are within their bounds.
is_within() {
  local peak
  peak=$(peak_kib "$1")
  [ "${peak:-999999999}" -le $MAX_KIB ] && [ "$(descriptors "$1")" -le $MAX_DESCRIPTORS ]
}
# restart NAME NUMBER: starts a process that ended or exceeded a bound again, so
# that the next kind of input meets a sound one.
restart() {
  local pid
  if [ "$1" = entry ]; then pid=${ENTRY_PID[$2]}; else pid=${CONTROL_PID[$2]}; fi
  kill -KILL "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  untrack "$pid"
  "start_platform_$1" "$2"
}
# attack KIND PORT_NAME ADDRESS PROCESS TARGET
attack() {
  local pid text="$1 to the $2 port" ended
  if [ "$4" = entry ]; then pid=${ENTRY_PID[1]}; else pid=${CONTROL_PID[1]}; fi
  ended=$("$BIN/raw-input" send "$1" "$3" $CONNECTIONS $MEBIBYTES)
  text="$text (peak $(peak_kib "$pid") KiB, $(descriptors "$pid") descriptors, $ended ended by it)"
  if is_alive "$pid" && is_within "$pid"; then
    check "$text: alive and within bounds" true
    [ "$1" != slow-trailers ] || check "$text: all are ended" [ "$ended" = $CONNECTIONS ]
  else
    check "$text: alive and within bounds" false
    restart "$4" 1
  fi
  check "$text: an ordinary request is answered" wait_until 10 is_answered "$3" "$5"
}

READY=$(entry_ip 1):${PORTS[3]}
RELAY=$(entry_ip 1):${PORTS[5]}
OPERATOR=127.0.1.1:${PORTS[1]}
KINDS="trailers trailer-value trailer-name empty-trailers extensions head-field empty-lines"
for kind in $KINDS; do
  attack $kind caller "${ENTRY[1]}" entry /app/x
  attack $kind ready "$READY" entry /
  attack $kind entry-to-entry "$RELAY" entry /app/x
  attack $kind operator "$OPERATOR" control /
done
attack slow-trailers caller "${ENTRY[1]}" entry /app/x

# A control process of its own, whose VM list is a faulty peer.
BAD_LIST=127.0.3.201:${PORTS[4]}
RESPONSES="trailers trailer-value trailer-name empty-trailers extensions head-field interim"
start_process bad-list "$BIN/raw-input" serve "$BAD_LIST" $MEBIBYTES $RESPONSES
cat >"$WORK/control9.ini" <<INI
[control]
vm = 127.0.1.9
data_centre = dc1
listen = 127.0.1.9:${PORTS[0]}
data_folder = $WORK/state9
bootstrap = yes
seeds = 127.0.1.9:${PORTS[1]}
operator_http = 127.0.1.9:${PORTS[1]}

[fleet]
vm_list = $BAD_LIST
list_interval = 100ms
INI
mkdir -p "$WORK/state9"
start_platform_control 9
all_served() { [ "$(sort -u "$WORK/bad-list.log" | grep -c served)" = "$(echo $RESPONSES | wc -w)" ]; }
check "the VM list has sent each kind of response" wait_until 20 all_served
text="responses of the VM list (peak $(peak_kib "${CONTROL_PID[9]}") KiB)"
check "$text: alive" is_alive "${CONTROL_PID[9]}"
check "$text: within bounds" is_within "${CONTROL_PID[9]}"
check "$text: an ordinary request is answered" wait_until 5 is_answered "127.0.1.9:${PORTS[1]}" /
finish_case
