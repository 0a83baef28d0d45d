#!/usr/bin/env bash
# Case 2: one target answers 1 of 50 requests with bytes that are not a response. Exits with 1 if LOST
# was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 all answers are sound.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-driver ] && [ -x target/springgate ] && [ -x target/springgate-agent ] || {
	echo "run the deploy file's build and review/build.sh first"
	exit 2
}
exec target/review-driver garbage review/2/record.txt
