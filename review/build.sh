#!/bin/sh
# Builds what the cases start: the project's programs, by the build command of deploy/balancer.toml. The stand-ins
# are Python 3 programs of the standard library alone; here they are only checked to compile.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print(f"checked {path}")
PYTHON
