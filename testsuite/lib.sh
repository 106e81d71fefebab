# Shell functions for the system tests (case-*.sh), the benchmarks and the demo.
# Source this file with the build folder in BUILD.
BIN=$BUILD/bin
WORK=$(mktemp -d)
PIDS=()
FAILED=0

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap stop_all EXIT

# free_ports N: stores N free ports in the array PORTS.
free_ports() {
  mapfile -t PORTS < <("$BIN/fulmarquay-load" free-ports "$1")
}

# start_process NAME COMMAND...: runs a command in the background with its output
# in $WORK/NAME.log; stores the process id in LAST_PID.
start_process() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

# untrack PID: removes a process from those that stop_all ends.
untrack() {
  local remaining=() pid
  for pid in "${PIDS[@]}"; do
    [ "$pid" = "$1" ] || remaining+=("$pid")
  done
  PIDS=("${remaining[@]}")
}

# stop_process PID SIGNAL: sends the signal and waits until the process has ended.
stop_process() {
  kill -"$2" "$1"
  wait "$1" 2>/dev/null
  untrack "$1"
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds, with pauses
# of 50 ms; fails after 20 attempts for each of the SECONDS.
wait_until() {
  local attempts=$(($1 * 20))
  shift
  while [ "$attempts" -gt 0 ]; do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
    attempts=$((attempts - 1))
  done
  return 1
}

# print_diagnostics: called at the first failed check; cluster.sh redefines it.
print_diagnostics() {
  :
}

# check TEXT COMMAND...: prints the result of a check; a failure sets FAILED and
# does not end the script.
check() {
  local text=$1
  shift
  if "$@"; then
    echo "ok: $text"
  else
    echo "FAILED: $text"
    [ $FAILED = 1 ] || print_diagnostics
    FAILED=1
  fi
}

# json_field NAME: prints a top-level field of the JSON line on standard input.
json_field() {
  sed -n "s/.*\"$1\":\"\{0,1\}\([^,\"}]*\).*/\1/p"
}

post() {
  "$BIN/fulmarquay-load" post "$2" --entry "127.0.0.1:$1" "${@:3}"
}

get() {
  "$BIN/fulmarquay-load" get "$2" --entry "127.0.0.1:$1"
}

is_ready() {
  [ "$(get "$1" /readyz)" = ready ]
}

finish_case() {
  if [ $FAILED != 0 ]; then
    for log in "$WORK"/*.log; do
      echo "--- $(basename "$log")"
      tail -n 8 "$log"
    done
  fi
  exit $FAILED
}
