#!/usr/bin/env bash
# Plays this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption. Before it: the deploy file's build, and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
program=$here/../../bin/review/standin-2
[ -x "$program" ] || exit 2
exec "$program" answers-behind-a-slow-value "$here"
