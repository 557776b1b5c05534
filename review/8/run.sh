#!/bin/sh
# Three controllers: one away with its disk during a planned replacement, then one disk lost: the core never comes back.
exec node "$(dirname "$0")/case.mjs"
