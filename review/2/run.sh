#!/bin/sh
# Plays case 2. TROUBLE=0 plays the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../play.sh" 2
