#!/usr/bin/env bash
# Runs case 5 and writes record.txt. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hemlockhollow ] && [ -x target/review/harness ] || { echo "not built" >&2; exit 2; }
exec target/review/harness -record review/5/record.txt -trouble "${TROUBLE:-1}" left-during-stop
