#!/bin/sh
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec node case.mjs
