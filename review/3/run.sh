#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: the limit is the same in both versions.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec java -cp target/review RaisedLimit "$here/record.txt"
