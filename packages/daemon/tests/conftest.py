"""Let tests of this package share their helpers."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
