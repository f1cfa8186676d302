#!/usr/bin/env bash
# Plays the case; the scenario is review/stand-in/role.rs. Needs the build of deploy/system.toml and review/build.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand-in ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/stand-in role review/1
