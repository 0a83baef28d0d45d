#!/bin/sh
# Builds what the scripts of the cases 4 to 6 start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/_cases2
