#!/usr/bin/env bash
# Case 3: clients that stand still for 3.6 s while they read a stream. Exits with 1 if LOST
# was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 they read at once.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-driver ] && [ -x target/springgate ] && [ -x target/springgate-agent ] || {
	echo "run the deploy file's build and review/build.sh first"
	exit 2
}
exec target/review-driver readers review/3/record.txt
