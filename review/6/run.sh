#!/bin/sh
# A controller is killed while it proposes a change of a large configuration: the core can never write its log again.
exec node "$(dirname "$0")/case.mjs"
