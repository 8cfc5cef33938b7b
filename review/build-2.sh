#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run it from the root of the repository,
# after the build of the deploy file.
set -e
mkdir -p target
go build -o target/ ./cmd/oriolestandin ./review/review2
