# Runs the stand-in of a case. Source this file with the folder of the case in CASE
# and the name of the stand-in in STAND_IN. Ends the shell with 1 if the rule was
# broken, with 0 if it held, with 2 if the case couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/bin/platform-entry ] && [ -x target/bin/platform-control ] &&
  [ -x "target/review-2/$STAND_IN" ] || exit 2
FOLDER=$(mktemp -d) || exit 2
# The processes that the stand-in starts end with it.
timeout -k 2 117 "target/review-2/$STAND_IN" "$FOLDER" "$CASE/record.txt"
RESULT=$?
[ -z "$KEEP" ] || cp "$FOLDER"/*.log "$KEEP"
rm -rf "$FOLDER"
[ $RESULT = 0 ] || [ $RESULT = 1 ] || RESULT=2
exit $RESULT
