#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: those of the project. review/lib-2 needs no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
