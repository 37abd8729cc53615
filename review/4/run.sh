#!/bin/sh
# RECOVER: the store turns the machines of one region away while all processes are killed and started again. TROUBLE=0:
# neither; AWAY=0: they are killed, and the store serves all of them.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2/stand_ins ] && [ -x target/release/zinniahatchd ] || exit 2
exec target/review-2/stand_ins recover "$folder/record.txt"
