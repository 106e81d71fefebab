#!/bin/bash
# The client of the system tests reports no status for an exchange without an answer.
BUILD=$1
cd "$(dirname "$0")/.." || exit 1
. testsuite/lib.sh
. testsuite/platform.sh

free_ports 2
ANSWER=$("$BIN/fulmarquay-load" post /-/config/put --entry "127.0.1.1:${PORTS[1]}")
check "a failed exchange exits with an error" [ $? != 0 ]
check "it has no status ($ANSWER)" [ "$(json_field status <<<"$ANSWER")" = 0 ]
publish_to_none() { ! publish /-/config/put "$ROUTES"; }
check "an order that no replica answers is not taken as accepted" publish_to_none
finish_case
