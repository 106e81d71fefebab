# Helpers of the whole-program cases and the demo. Source it with the build
# folder in BUILD.
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

# free_ports N: N free ports in the array PORTS.
free_ports() {
  mapfile -t PORTS < <("$BIN/fulmarquay-load" free-ports "$1")
}

# start NAME COMMAND...: runs it in the background, log in $WORK/NAME.log; its
# process id is in LAST_PID.
start() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

# forget PID: the process was ended on purpose.
forget() {
  local kept=() pid
  for pid in "${PIDS[@]}"; do
    [ "$pid" = "$1" ] || kept+=("$pid")
  done
  PIDS=("${kept[@]}")
}

# end PID SIGNAL: ends a process and waits for it.
end() {
  kill -"$2" "$1"
  wait "$1" 2>/dev/null
  forget "$1"
}

# until_true SECONDS COMMAND...: repeats a command until it succeeds.
until_true() {
  local tries=$(($1 * 20))
  shift
  while [ "$tries" -gt 0 ]; do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
    tries=$((tries - 1))
  done
  return 1
}

# explain: prints what helps to understand the first failure; cases replace it.
explain() {
  :
}

# check TEXT COMMAND...: notes a failure and goes on.
check() {
  local text=$1
  shift
  if "$@"; then
    echo "ok: $text"
  else
    echo "FAILED: $text"
    [ $FAILED = 1 ] || explain
    FAILED=1
  fi
}

# field NAME: the value of a top-level field of the JSON line on input.
field() {
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
