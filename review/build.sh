#!/usr/bin/env bash
# The stand-ins of the scripts need nothing but Python's standard library; this
# checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-3]
