#!/bin/sh
# DRAIN: a replica drains while the store turns the machines of its region away. TROUBLE=0: the store serves all
# machines.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2/stand_ins ] && [ -x target/release/zinniahatchd ] || exit 2
exec target/review-2/stand_ins drain "$folder/record.txt"
