#!/bin/sh
# Checks that the stand-ins of the cases from 6 on can be started. They use only the
# standard library of Python 3.11, and the gateways come from the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py [6-9]/*.py 10/*.py <<'CHECK'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), sys.version
for name in sys.argv[1:]:
    if Path(name).is_file():
        compile(Path(name).read_text(), name, "exec")
CHECK
