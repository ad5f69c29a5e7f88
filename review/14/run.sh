#!/usr/bin/env bash
# See claim.txt. Build first: the build line of deploy/system.toml, then review/build-3.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/sassafrasreach target/standin3; do
  [ -x $program ] || { echo "$program is missing"; exit 2; }
done
exec target/standin3 forget target/sassafrasreach "$folder"
