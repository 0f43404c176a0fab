#!/bin/bash
# Runs this case; see claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ -z "$run" ] || [ ! -f target/stileferry.jar ] || [ ! -f target/review-2/GangSpread.class ]; then
    echo "not built" >&2
    exit 2
fi
java -Xmx256m -XX:+UseSerialGC -cp target/review-2:target/stileferry.jar GangSpread "$run" review/7 2> /dev/null &
pid=$!
trap 'kill $pid 2> /dev/null' EXIT
trap 'exit 2' INT TERM
wait $pid
code=$?
[ $code -le 1 ] || code=2
exit $code
