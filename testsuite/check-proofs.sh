#!/bin/bash
# Checks that every test and case named in docs/PROOFS.md, and every case named in
# docs/OPERATIONS.md, exists, and that docs/PROOFS.md has 9 rows.
cd "$(dirname "$0")/.." || exit 1
missing=0
for name in $(grep -oE '`[a-z_]+/[a-z_0-9]+`' docs/PROOFS.md | tr -d '`' | sort -u); do
  suite=${name%%/*} test=${name##*/}
  if ! grep -rqE "Test\($suite, *$test\)" src platform --include='*_test.cpp' &&
    ! tr -d '\n ' <<<"$(cat src/*/*_test.cpp platform/*_test.cpp)" | grep -q "Test($suite,$test)"; then
    echo "no test $name"
    missing=1
  fi
done
for name in $(grep -o '`case-[a-z-]*`' docs/PROOFS.md docs/OPERATIONS.md | sed 's/.*`\(.*\)`/\1/' | sort -u); do
  [ -f "testsuite/$name.sh" ] || {
    echo "no case $name"
    missing=1
  }
done
rows=$(grep -c '^| [1-9]\. ' docs/PROOFS.md)
[ "$rows" = 9 ] || {
  echo "docs/PROOFS.md has $rows of 9 rows"
  missing=1
}
exit $missing
