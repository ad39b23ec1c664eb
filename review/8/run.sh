#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. See claim.txt.
exec "$(dirname "$0")/../run-case.sh" stale-wall "review/8/record.txt"
