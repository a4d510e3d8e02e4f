#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python programs that
# use nothing but its standard library, so this only checks that they can be
# read. The program under test comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in standins-3/mesh.py 11/case.py 12/case.py 13/case.py 14/case.py \
  15/case.py; do
  [ ! -e "$file" ] || python3 -B -c 'import ast, sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
