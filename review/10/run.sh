#!/bin/bash
# TROUBLE=0 plays the same without the disruption.
CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
STAND_IN=isolated_tenant
. "$CASE/../stand-in-2/run.sh"
