# Starts a small deployment on loopback addresses for review/11 to review/15.
# Source it in the root of the repository, with CASE set to the case's folder.
# Exit codes of a case: 1 the rule was broken, 0 it held, 2 it could not run.
set -u
TROUBLE=${TROUBLE:-1}
STANDIN=target/review-3/stand-in
RECORD=$CASE/record.txt
WORK=$(mktemp -d) || exit 2
PIDS=()
: >"$RECORD"

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

record() {
  echo "$(date +%s%3N) $*" | tee -a "$RECORD"
}

cannot_run() {
  record "could not run: $*"
  exit 2
}

[ -x "$STANDIN" ] && [ -x target/bin/platform-entry ] && [ -x target/bin/platform-control ] ||
  cannot_run "build target/ and review/build-3.sh first"
mapfile -t PORTS < <("$STANDIN" ports 8)

# start NAME COMMAND...: sets LAST_PID.
start() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  LAST_PID=$!
  PIDS+=("$LAST_PID")
}

# wait_for SECONDS COMMAND...
wait_for() {
  local attempts=$(($1 * 20))
  shift
  while [ $attempts -gt 0 ]; do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
    attempts=$((attempts - 1))
  done
  return 1
}

LIST=127.0.40.1:${PORTS[4]}
CONTROL_PID=()
ENTRY_PID=()

# The settings that platform/control.ini.in gives a machine of the core.
write_control() { # NUMBER [BOOTSTRAP]
  cat >"$WORK/control$1.ini" <<INI
[control]
vm = 127.0.10.$1
data_centre = zone-$1
listen = 127.0.10.$1:${PORTS[0]}
data_folder = $WORK/state$1
bootstrap = ${2:-yes}
seeds = 127.0.10.1:${PORTS[1]} 127.0.10.2:${PORTS[1]} 127.0.10.3:${PORTS[1]}
tolerated_losses = 1
operator_http = 127.0.10.$1:${PORTS[1]}
metrics_http = 127.0.10.$1:${PORTS[7]}

[fleet]
vm_list = $LIST
checks_fencing = no
order_takeover_wait = 3000ms
INI
}

start_control() { # NUMBER
  mkdir -p "$WORK/state$1"
  FULMARQUAY_BOOT=$WORK/control$1.ini start "control$1" target/bin/platform-control
  CONTROL_PID[$1]=$LAST_PID
}

# The settings that platform/entry.ini.in gives a machine of the edge.
write_entry() { # NUMBER
  cat >"$WORK/entry$1.ini" <<INI
[entry]
vm = edge-$1
data_centre = zone-$1
regions = zone-1=region zone-2=region zone-3=region
listen = 127.0.20.$1:${PORTS[0]}
http = 127.0.20.$1:${PORTS[2]}
ready_http = 127.0.20.$1:${PORTS[3]}
relay_http = 127.0.20.$1:${PORTS[5]}
metrics_http = 127.0.20.$1:${PORTS[7]}
control_seeds = 127.0.10.1:${PORTS[1]} 127.0.10.2:${PORTS[1]} 127.0.10.3:${PORTS[1]}
configuration = routes
heartbeat = 1s
key_revocation = 5000ms
weights_bound = 8000ms
retry_ratio = 0.2
retry_slack = 52
drain_delay = 3s
drain_limit = 8s
descriptors = 4100
INI
}

start_entry() { # NUMBER
  FULMARQUAY_BOOT=$WORK/entry$1.ini start "entry$1" target/bin/platform-entry
  ENTRY_PID[$1]=$LAST_PID
}

# status METHOD ADDRESS TARGET [FILE]: prints the status of an answer, whose body is
# written to $WORK/answer; 0 if there is none.
status() {
  "$STANDIN" call "$1" "$2" "$3" "$WORK/answer" ${4:+"$4"}
}

# publish FILE: sends a configuration to the core; fails without an acknowledgement.
publish() {
  local i
  for i in 1 2 3; do
    [ "$(status POST "127.0.10.$i:${PORTS[1]}" /-/config/put "$1")" = 200 ] && return 0
  done
  return 1
}

is_ready() { # NUMBER
  [ "$(status GET "127.0.20.$1:${PORTS[3]}" /-/ready)" = 200 ]
}

# start_deployment ENTRIES: a core of three, the list of instances in $WORK/list.json,
# the configuration in $WORK/config.json and entries.
start_deployment() {
  local i
  start list "$STANDIN" list "$LIST" "$WORK/list.json"
  for i in 1 2 3; do
    write_control $i
    start_control $i
  done
  for ((i = 1; i <= $1; i++)); do
    write_entry $i
    start_entry $i
  done
  wait_for 15 publish "$WORK/config.json" || cannot_run "no acknowledgement"
  for ((i = 1; i <= $1; i++)); do
    wait_for 15 is_ready $i || cannot_run "entry $i is not ready"
  done
  sleep 4 # stability-window-ms after the start of the machines, and a second
}
