#!/bin/sh
# Builds every stand-in that a script of the review starts: all are plain JavaScript, so there is nothing to build. It
# looks whether they can be read.
set -e
cd "$(dirname "$0")"
for file in lib/site.mjs */case.mjs; do node --check "$file"; done
