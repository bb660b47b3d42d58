"""Make the test modules of this package importable by each other."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
