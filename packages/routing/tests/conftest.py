"""Let the tests of this package import each other's helpers."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
