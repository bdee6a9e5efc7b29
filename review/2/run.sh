#!/usr/bin/env bash
# Shows the case of claim.txt; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." && exec node review/2/run.mjs
