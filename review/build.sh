#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: those of the project, into build/. The others run as they
# are. The program itself comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
npx tsc -p tsconfig.json
