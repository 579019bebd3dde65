#!/usr/bin/env bash
# TROUBLE=0 does the same without the disruption.
exec "$(dirname "$0")/../run-case.sh" 3 wrong-count
