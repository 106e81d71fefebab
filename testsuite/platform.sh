# Starts the platform's programs around an emulated platform for the system tests.
# Source this file after lib.sh.
#
#   start_platform ENTRIES WORKERS [ENGINES]   starts a control group of the
#                                    replicas CONTROLS, entries, and the stand-in with its
#                                    workers and engines
#
# Sets CONTROL_PID[CONTROLS], ENTRY_PID[1..ENTRIES], ENTRY[1..ENTRIES],
# WORKER[0..WORKERS-1] and LIST (addresses). Replicas are told apart by addresses of
# the loopback range, as the platform names a VM by its address. ROUTES is published;
# CONTROL_SETTINGS, FLEET_SETTINGS and ENTRY_SETTINGS are added to the settings of
# replicas and entries.
# CONTROLS lists the replicas that are started and asked; CONTROL_SEEDS and
# CONTROL_BOOTSTRAP hold the seeds and the bootstrap setting of those that differ.
FLEET_SETTINGS=
ENTRY_SETTINGS=
CONTROL_SETTINGS=
CONTROLS=(1 2 3)
declare -A CONTROL_SEEDS CONTROL_BOOTSTRAP

control_seeds() { # NUMBER...
  local i seeds=
  for i in "$@"; do seeds="$seeds 127.0.1.$i:${PORTS[1]}"; done
  echo "${seeds# }"
}

write_platform_control() { # NUMBER
  cat >"$WORK/control$1.ini" <<INI
[control]
vm = 127.0.1.$1
data_centre = dc1
listen = 127.0.1.$1:${PORTS[0]}
data_folder = $WORK/state$1
bootstrap = ${CONTROL_BOOTSTRAP[$1]:-yes}
seeds = $(control_seeds ${CONTROL_SEEDS[$1]:-1 2 3})
operator_http = 127.0.1.$1:${PORTS[1]}
$CONTROL_SETTINGS

[fleet]
vm_list = $LIST
list_interval = 300ms
$FLEET_SETTINGS
INI
}

entry_ip() { # NUMBER
  echo "127.0.$((20 + $1 / 200)).$(($1 % 200 + 1))"
}

write_platform_entry() { # NUMBER
  cat >"$WORK/entry$1.ini" <<INI
[entry]
vm = e$1
data_centre = dc1
listen = $(entry_ip $1):${PORTS[0]}
http = ${ENTRY[$1]}
ready_http = $(entry_ip $1):${PORTS[3]}
relay_http = $(entry_ip $1):${PORTS[5]}
control_seeds = $(control_seeds 1 2 3)
configuration = routes
heartbeat = 1s
$ENTRY_SETTINGS
INI
}

start_platform_control() { # NUMBER
  FULMARQUAY_BOOT=$WORK/control$1.ini start_process "control$1" "$BIN/platform-control"
  CONTROL_PID[$1]=$LAST_PID
}

# add_platform_control NUMBER: starts a replica with new settings and, unless it has
# one, an empty folder.
add_platform_control() {
  write_platform_control $1
  mkdir -p "$WORK/state$1"
  start_platform_control $1
}

start_platform_entry() { # NUMBER
  FULMARQUAY_BOOT=$WORK/entry$1.ini start_process "entry$1" "$BIN/platform-entry"
  ENTRY_PID[$1]=$LAST_PID
}

ROUTES='{"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/app/","kind":"safe","timeout-ms":1000,"target-latency-ms":300,"priority":0,"backend":"app","attempts":2,"allow-anonymous":true}],"backends":[{"name":"app","health-check":"/healthz","max-connections":100,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}'
ENGINE_ROUTES='{"version":1,"routes":[{"name":"r1","host":"app.example","path-prefix":"/model/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"priority":0,"backend":"model","attempts":2,"allow-anonymous":true,"sticky":true,"resumable":true,"target-gap-ms":300}],"backends":[{"name":"model","health-check":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":100000,"kv-token-bytes":163840,"link-mbps":260000.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}'

# publish TARGET BODY: sends an order of the operator to any replica that accepts it.
publish() {
  local i
  for i in "${CONTROLS[@]}"; do
    "$BIN/fulmarquay-load" post "$1" --entry "127.0.1.$i:${PORTS[1]}" \
      --body "$2" >/dev/null && return 0
  done
  return 1
}

publish_routes() {
  publish /-/config/put "$ROUTES"
}

entry_is_ready() { # NUMBER
  "$BIN/fulmarquay-load" get / --entry "$(entry_ip $1):${PORTS[3]}" >/dev/null
}

start_platform() {
  local i entries="" workers="" engines=""
  free_ports 6
  LIST=127.0.3.200:${PORTS[4]}
  for ((i = 1; i <= $1; i++)); do
    ENTRY[$i]=$(entry_ip $i):${PORTS[2]}
    entries="$entries,${ENTRY[$i]}"
  done
  for ((i = 0; i < $2; i++)); do
    WORKER[$i]=127.0.3.$((i + 1)):${PORTS[4]}
    workers="$workers,${WORKER[$i]}"
  done
  for ((i = 0; i < ${3:-0}; i++)); do
    engines="$engines,127.0.4.$((i + 1)):${PORTS[4]}"
  done
  start_process standin "$BIN/platform-standin" "$LIST" "${entries#,}" "${workers#,}" \
    "${engines#,}"
  for i in "${CONTROLS[@]}"; do
    add_platform_control $i
  done
  for ((i = 1; i <= $1; i++)); do
    write_platform_entry $i
    start_platform_entry $i
  done
  check "routes are published" wait_until 10 publish_routes
  for ((i = 1; i <= $1; i++)); do
    check "entry $i is ready" wait_until 10 entry_is_ready $i
  done
}

# set_fault ADDRESS NAME=VALUE
set_fault() {
  "$BIN/fulmarquay-load" post "/fault?$2" --entry "$1" >/dev/null
}

# count_of ADDRESS NAME: a figure of a stand-in's report; 0 if it is missing.
count_of() {
  local value
  value=$("$BIN/fulmarquay-load" get /report --entry "$1" | json_field "$2")
  echo "${value:-0}"
}

# platform_leader: the number of the leading replica.
platform_leader() {
  local i last=0 term=0 line
  for i in "${CONTROLS[@]}"; do
    line=$(grep -o 'name=BecameLeader.*term="[0-9]*"' "$WORK/control$i.log" | tail -n 1)
    line=${line##*term=\"}
    line=${line%\"}
    if [ -n "$line" ] && [ "$line" -gt "$term" ]; then
      term=$line
      last=$i
    fi
  done
  echo $last
}

# Functions for cases with engines.

# count NAME: a figure of the stand-in's engines and their callers.
count() {
  count_of "$LIST" "$1"
}

# command_all NAME ARGUMENT: a command to all engines.
command_all() {
  set_fault "$LIST" "$1=all:$2"
}

# are_served PERCENT: whether this share of the requests that ended since the last
# reset was served.
are_served() {
  local served
  served=$(count stream_served)
  [ "$served" -gt 0 ] &&
    [ $((served * 100)) -ge $(((served + $(count stream_refused) + $(count stream_failed)) * $1)) ]
}

served_text() {
  echo "$(count stream_served) of $(count stream_sent), $(count stream_refused) refused"
}

# name_weights VERSION: names a version of the weights to the group and the stand-in.
name_weights() {
  wait_until 10 publish /-/version-put "{\"model\":\"m\",\"version\":$1}" &&
    set_fault "$LIST" "acknowledged=$1"
}

has_new_leader() {
  [ "$(platform_leader)" != "$OLD_LEADER" ]
}

# kill_leader: kills the leading replica, OLD_LEADER. The group counts as disrupted
# until it has another one.
kill_leader() {
  OLD_LEADER=$(platform_leader)
  set_fault "$LIST" disrupted=1
  stop_process "${CONTROL_PID[$OLD_LEADER]}" KILL
  wait_until 10 has_new_leader || check "another replica leads" false
  set_fault "$LIST" disrupted=0
}
