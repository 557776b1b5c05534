#!/bin/sh
# Five controllers, two of them away with their disks, two others lose their disks: the core never comes back.
exec node "$(dirname "$0")/case.mjs"
