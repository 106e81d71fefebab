#!/bin/sh
# Prints docs/PROGRAMS.md, the --help text of each program: programs-page.sh BUILD.
build=$1
echo "# Programs"
echo
echo "Written by \`make pages\` from each program's \`--help\`."
for program in fulmarquay fulmarquay-control fulmarquay-entry fulmarquay-standin fulmarquay-load; do
  echo
  echo "## $program"
  echo
  echo '```'
  "$build/bin/$program" --help
  echo '```'
done
