#!/bin/sh
# Builds what the script of case 5 starts beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/_cases2
