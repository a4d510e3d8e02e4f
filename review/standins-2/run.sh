#!/usr/bin/env bash
# Runs one stand-in: run.sh CASE_FOLDER STANDIN [ARGUMENT]. Exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run.
set -u
case_folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/../.."
# The program that the deploy file starts.
node="$(sed -n 's/^run = "\([^" ]*\)"$/\1/p' deploy/system.toml)"
standin="build/review-2/$2"
[ -x "$node" ] && [ -x "$standin" ] || {
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
}
folder="$(mktemp -d)"
timeout -k 2 110 "$standin" "$node" "$case_folder/record.txt" "$folder" "${@:3}"
code=$?
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
