#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec timeout -k 2 118 java -Xmx256m -cp target/review:target/stileferry.jar review.Case3 "$here"
