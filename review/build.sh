#!/bin/sh
# Builds the clients, servers and the platform that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-lab ./review/lab
