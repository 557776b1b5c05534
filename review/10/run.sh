#!/bin/sh
# A service with a name of Object.prototype: once the controllers have been killed, the registry knows no proxy.
exec node "$(dirname "$0")/case.mjs"
