#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 without the disruption.
folder=$(dirname "$0")
exec bash "$folder/../lib-2/run-case.sh" "$folder"
