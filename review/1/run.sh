#!/bin/sh
# Exit 1: a rule was broken; 0: both held; 2: the case could not run. TROUBLE=0: the same without a crash of a host.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec java -cp target/review CrashedUpload "$here/record.txt"
