#!/bin/sh
# Builds the stand-ins of the scripts. They are Python 3.11 (standard library only) and need no
# compiler: this checks that the interpreter is there and that all of them compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    { echo "Python 3.11 or later is needed" >&2; exit 1; }
for file in lib/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
