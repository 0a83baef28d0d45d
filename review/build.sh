#!/usr/bin/env bash
# Builds the program that the cases of the review start: it runs the stand-ins of the platform and
# starts and ends the project's own programs. The deploy file's build has to run first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-driver ./review/_driver
