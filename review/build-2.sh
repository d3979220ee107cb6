#!/bin/sh
# Builds the program that the scripts of cases 6 to 10 start: their operators, clients, servers and the platform.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-lab-2 ./review/lab-2
