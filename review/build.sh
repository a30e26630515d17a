#!/bin/sh
# The stand-ins are plain JavaScript without dependencies: nothing has to be built, only checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
	node --check "$file"
done
