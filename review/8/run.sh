#!/bin/sh
# GONE: clients leave streams that the gateway takes to another replica. TROUBLE=0: no replica crashes;
# CRASHES=1: only the first one does.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2/stand_ins ] && [ -x target/release/zinniahatchd ] || exit 2
exec target/review-2/stand_ins gone "$folder/record.txt"
