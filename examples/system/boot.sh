#!/usr/bin/env bash
# Settings files of three core machines and one edge machine on loopback addresses, in the folder given.
set -euo pipefail
folder=$1
mkdir -p "$folder"
for n in 1 2 3 4; do
  mkdir -p "$folder/disk-$n"
  listen='"ctl": "127.0.0.'$n':7801", "dir": "127.0.0.'$n':7802"'
  [ "$n" -lt 4 ] || listen='"http": "127.0.0.4:7800", "readyz": "127.0.0.4:7803"'
  cat >"$folder/boot-$n.json" <<JSON
{
  "hostname": "machine-$n", "ip": "127.0.0.$n", "az": "zone-$n", "region": "region-$n",
  "zones": { "zone-1": "region-1", "zone-2": "region-2", "zone-3": "region-3", "zone-4": "region-1" },
  "listen": { $listen }, "portRange": [7810, 7815],
  "seeds": ["127.0.0.1:7801", "127.0.0.2:7801", "127.0.0.3:7801"],
  "bootstrap": true, "voting": true, "datadir": "$folder/disk-$n",
  "bounds": ["retryRatio=0.2", "retryExtra=60", "ttl_max_s=5"]
}
JSON
done
