#!/bin/bash
# A control VM whose seeds have all been replaced loses its disk: it becomes a voter
# again, as the members know its address.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh
. testsuite/control-group.sh

CONTROLS=(1 2 3 4 5)
start_platform 0 0
VERSION=1
check "five VMs are voters" within 15 votes_are_live
replace 1 6
replace 2 7
replace 3 8
acknowledge_next
kill_at_once 4
lose_disk 4
add_platform_control 4
check "VM 4, which knows seeds 1 2 3 only, is a voter again" within 15 votes_are_live
check_read_back
finish_case
