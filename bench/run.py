"""Runs all benchmarks, or those named on the command line."""

from __future__ import annotations

import importlib
import pathlib
import sys

from bench.report import BENCHES, Report


def main() -> int:
    """Runs benchmarks; returns 1 if a bound fails."""
    for path in sorted(pathlib.Path(__file__).parent.glob("bench_*.py")):
        importlib.import_module(f"bench.{path.stem}")
    failed = []
    for name in sys.argv[1:] or BENCHES.names:
        report = Report(name)
        BENCHES.get(name)(report)
        failed += report.failed
    print(f"benches: {len(failed)} failed bounds")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
