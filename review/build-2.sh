#!/bin/sh
# Builds the stand-ins of the second review: checks that they can be compiled.
# They need Python and its standard library only, and read the program's
# dependencies from target/deps, where the build of the deploy file puts them.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "build the deploy file first"; exit 2; }
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path("review").glob("[4-8]/*.py")) + [
    *pathlib.Path("review/lib2").glob("*.py")
]:
    compile(path.read_text(), str(path), "exec")
CHECK
