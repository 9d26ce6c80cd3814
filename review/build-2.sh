#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later: they are Python and need only
# the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp
python3 -m compileall -q review/standins_2 platform/standins \
    packages/guavalane-standins
