#!/bin/bash
# Builds the stand-ins of the scripts: they need the packages of the build of
# the deploy file only, so that it is enough to see that all modules load.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:review/standins:platform:platform/standins:packages/guavalane-core/src:packages/guavalane-entry/src:packages/guavalane-standins/src" \
    python3 -c "import harness"
echo "stand-ins load"
