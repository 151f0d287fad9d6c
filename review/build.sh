#!/bin/sh
# Compiles the stand-ins and the scripts of the cases. They use only the
# standard library; the programs under test come from the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins seen 1 2 3 4 5
