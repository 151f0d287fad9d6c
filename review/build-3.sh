#!/bin/sh
# Prepares the stand-ins of the cases 11 and 12, after the deploy file's build.
# They are Python programs that use the standard library alone, so this only
# checks that they and the built libraries can be loaded. Needs no network.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review/standins-3 python3 -B -c "import site3"
PYTHONPATH=src:target/deps python3 -B -c \
    "import cardamomfork._internal.gateway.daemon"
