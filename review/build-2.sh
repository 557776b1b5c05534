#!/bin/sh
# The stand-ins of cases 6 to 10 are plain Node.js without dependencies: nothing is built, their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
