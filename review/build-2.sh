#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the program of the deploy file: their stand-ins are Python
# modules, which are compiled here to see that this machine's Python reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").glob("lib2/*.py")) + sorted(pathlib.Path(".").glob("[6-9]/*.py")) + sorted(pathlib.Path(".").glob("10/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("read", path)
PY
