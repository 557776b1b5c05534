#!/bin/sh
# A machine of the core that has a successor is switched off, then one disk is lost: the core never comes back.
exec node "$(dirname "$0")/case.mjs"
