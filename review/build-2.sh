#!/usr/bin/env bash
# The stand-ins that the scripts of this review start are in Python; there is nothing to build.
# This only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for each in [0-9]*/*.py; do
  case "${each%%/*}" in
    [6-9] | 10) python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$each" ;;
  esac
done
