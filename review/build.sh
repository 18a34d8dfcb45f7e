#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build constraint
# "review" keeps them out of the default build, of vet and of the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/lab
