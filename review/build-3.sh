#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the program of the deploy file. Their stand-ins (review/lib-3) are
# plain JavaScript for Node.js and need no build; this checks that they and the program are there.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
	node --check "$file"
done
test -f target/turmericbay.js
