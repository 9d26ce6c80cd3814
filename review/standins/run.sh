# Sourced by the scripts of the cases, in the folder of a case.
set -eu
cd "$(dirname "$0")"
root="$PWD"
while [ ! -d "$root/review/standins" ]; do root="$(dirname "$root")"; done
[ -d "$root/target/deps/aiohttp" ] || { echo "the build is missing"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$root/target/deps:$root/review/standins:$root/platform:$root/platform/standins:$root/packages/guavalane-core/src:$root/packages/guavalane-entry/src:$root/packages/guavalane-standins/src"
exec timeout -k 3 118 python3 case.py
