#!/usr/bin/env bash
# Runs the case in the given folder. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run, for whatever reason.
# The case and all that it starts are one process group, which is ended with the case, however that ends.
set -um
folder=$1
# The harness ends with this code if the rule was broken; node itself uses 1 for errors of its own.
broken=11
REVIEW_WORK=$(mktemp -d "${TMPDIR:-/tmp}/turmericbay-review-XXXXXX") || exit 2
export REVIEW_WORK
node "$folder/case.mjs" &
group=$!
finish() {
	trap - EXIT
	kill -KILL -- "-$group" 2> /dev/null
	wait "$group" 2> /dev/null
	rm -rf "$REVIEW_WORK"
	exit "$1"
}
trap 'finish 2' EXIT TERM INT HUP
wait "$group"
code=$?
case $code in
	"$broken") finish 1 ;;
	0) finish 0 ;;
	*) finish 2 ;;
esac
