#!/bin/bash
# TROUBLE=0 plays the same without the disruption; TROUBLE=bright plays it without the
# machine that is dark; TROUBLE=elections plays another order of events.
CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
STAND_IN=lost_voters
. "$CASE/../stand-in-2/run.sh"
