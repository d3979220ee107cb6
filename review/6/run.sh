#!/bin/sh
# Case 6 with real processes; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-lab-2 snapshot target/waxwingcart review/6
