#!/bin/bash
# Five control VMs that are replaced one after the other or suspended, then lose two
# disks: the newest acknowledged configuration is read back.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
. testsuite/control-group.sh

echo "-- five VMs are replaced, then two disks and the power are lost"
CONTROLS=(1 2 3 4 5)
start_platform 0 0
VERSION=1
check "five VMs are voters" within 15 votes_are_live
replace 1 6
replace 2 7
acknowledge_next
replace 3 8
replace 4 9
acknowledge_next
replace 5 10
check "five live VMs are voters" votes_are_live
LEADER=$(leading)
LOST=($LEADER $(others_than $LEADER | head -n 1))
acknowledge_next
kill_at_once "${CONTROLS[@]}"
for i in "${LOST[@]}"; do
  lose_disk $i
  # The platform writes the seeds at each start; the former ones are gone.
  CONTROL_SEEDS[$i]="${CONTROLS[*]:0:3}"
done
for i in "${CONTROLS[@]}"; do add_platform_control $i; done
check_read_back
check "five live VMs are voters again" within 15 votes_are_live
kill_at_once "${CONTROLS[@]}"

echo "-- two voters are suspended for 8 s, then two of the others lose their disks"
rm -rf "$WORK"/state*
CONTROLS=(1 2 3 4 5)
CONTROL_BOOTSTRAP=()
for i in "${CONTROLS[@]}"; do add_platform_control $i; done
VERSION=0
acknowledge_next
check "five VMs are voters" within 15 votes_are_live
LEADER=$(leading)
SUSPENDED=($(others_than $LEADER | head -n 2))
AWAKE=($LEADER $(others_than $LEADER "${SUSPENDED[@]}"))
for i in "${SUSPENDED[@]}"; do kill -STOP "${CONTROL_PID[$i]}"; done
CONTROLS=("${AWAKE[@]}")
sleep 8
acknowledge_next
LEADER=$(leading)
LOST=($LEADER $(others_than $LEADER | head -n 1))
kill_at_once "${AWAKE[@]}"
for i in "${LOST[@]}"; do lose_disk $i; done
for i in "${SUSPENDED[@]}"; do kill -CONT "${CONTROL_PID[$i]}"; done
for i in "${AWAKE[@]}"; do add_platform_control $i; done
CONTROLS=("${AWAKE[@]}" "${SUSPENDED[@]}")
check_read_back
check "five live VMs are voters again" within 15 votes_are_live
finish_case
