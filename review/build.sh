#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS="-mod=mod -buildvcs=false" GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standin .
