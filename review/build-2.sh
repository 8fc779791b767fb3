#!/bin/sh
# Builds the stand-ins of the second review's cases. They are plain Python and use the standard library and
# nothing else, so that compiling them is all there is to build. Run after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
python=../.venv/bin/python
[ -x "$python" ] || { echo "build the program first: .venv is missing"; exit 2; }
exec "$python" -m compileall -q stand2 6 7 8 9 10
