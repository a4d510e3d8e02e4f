#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER STANDIN. Needs the build of the deploy file
# and review/build.sh. Exit code: 1 if the rule was broken, 0 if it held, 2 if
# the case could not be run. With TROUBLE=0 the disruption is left out.
set -u
folder="$(cd "$1" && pwd)" || exit 2
standin="$(cd "$(dirname "$0")" && pwd)/bin/$2"
cd "$(dirname "$0")/.." || exit 2
# The program that the deploy file starts.
program="$(sed -n 's/^run = "\([^" ]*\)"$/\1/p' deploy/system.toml)"
[ -x "$program" ] && [ -x "$standin" ] || {
  echo "not built: $program or review/bin/$2" >&2
  exit 2
}
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 115 "$standin" "$folder/record.txt" "$program" "$temporary"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
