#!/usr/bin/env bash
# Plays the days of a deployment with each mechanism switched off alone, and prints the mean
# worth of the standard days with trouble and of three drawn ones.
#
#   tools/ablation.sh KIT FLEETBENCH OUT SITE [MECHANISM...]
#
# KIT is the folder of the users' pages, SITE a site file below it. Each mechanism is edited
# out of a copy of the sources below OUT; reports and journal entries stay there.
set -euo pipefail
kit=$1 bench=$2 out=$3 site=$4
shift 4
root=$(cd "$(dirname "$0")/.." && pwd)
jobs=${JOBS:-5}

# One line each: name | file | sed expression. The expression must change the file.
mechanisms() {
  cat <<'LIST'
none|internal/core/gddispatch/doc.go|
unreachable-hosts|internal/core/gddispatch/reach.go|s/return r.Idempotent && /return false \&\& /
pacing|internal/process/gdentry/entry.go|s/pacedShare\*e.LinkBytesPerSecond/0*pacedShare*e.LinkBytesPerSecond/
offers-in-turn|internal/core/gddispatch/offer.go|s/maxBusyOffers = 3/maxBusyOffers = 1/
least-loaded|internal/core/gddispatch/offer.go|s/if t := l.leastLoaded(); t != nil {/if t := l.leastLoaded(); t != nil \&\& false {/
depth-bound|internal/core/gdguard/admission.go|s/\(forced\|urgent\)Depth = [0-9]*/\1Depth = 99/
early-packets|internal/core/gddispatch/dispatcher.go|s/maxEarly = 256/maxEarly = 0/
cut-off|internal/core/gddispatch/cutoff.go|s/return silent >= minSilentAgents/return false \&\& silent >= minSilentAgents/
beacons-at-once|internal/core/gdreaders/election.go|s/{ e.sendNow = e.sendNow .. e.reading }/{}/
silent-upstream-probe|internal/core/gdguard/admission.go|s/!g.answers.probe(now)/!(g.answers.probe(now) \&\& false)/
query-batches|internal/core/gddispatch/dispatcher.go|s/batchDelay = 15/batchDelay = 1/
bulk-lookups|internal/core/gddispatch/lookup.go|s/maxQueryPacket = 300/maxQueryPacket = 30000/
stop-offers|internal/core/gddispatch/offer.go|s/l.unanswered && d.mostAreSilent()/false \&\& d.mostAreSilent()/
refuse-without-view|internal/core/gddispatch/dispatcher.go|s/firstViewWait = 300/firstViewWait = 300000/
LIST
}

days=("trouble-1" "trouble-2" "trouble-3" "scale-1" "scale-2"
  "trouble-1 --vary --seed 51" "trouble-2 --vary --seed 52" "scale-1 --vary --seed 53")

play() { # play NAME FILE EXPRESSION
  local copy=$out/$1
  rm -rf "$copy" && mkdir -p "$copy"
  git -C "$root" archive HEAD | tar -x -C "$copy"
  git -C "$copy" init -q && git -C "$copy" add -A
  if [ -n "$3" ]; then
    sed -i "$3" "$copy/$2"
    if git -C "$copy" diff --quiet; then echo "$1: the expression does not match $2" >&2; exit 1; fi
  fi
  (cd "$copy" && "$bench" build >/dev/null 2>&1)
  printf '%s\n' "${!days[@]}" | xargs -P $jobs -I{} bash -c '
    cd "$1" && days=("${@:5}") && "$2" run "$3" ${days[{}]} --no-cpu --report "$1/day-{}.json" --why "ablation: $4" >"$1/day-{}.txt" 2>&1' \
    _ "$copy" "$bench" "$kit/$site" "$1" "${days[@]}"
  local means
  means=$(for i in "${!days[@]}"; do sed -n 's/^  "G": \([0-9.]*\),.*/\1/p' "$copy/day-$i.json"; done |
    awk 'NR<=5 {s+=$1} NR>5 {d+=$1} END {printf "%.4f | %.4f", s/5, d/(NR-5)}')
  echo "| $1 | $means | $(grep -L '"breaks": {}' "$copy"/day-*.json | wc -l) |"
}

echo "| off | standard days | drawn days | days with a broken rule |"
echo "|---|--:|--:|--:|"
mechanisms | while IFS='|' read -r name file expression; do
  if [ $# -gt 0 ] && ! printf '%s\n' "$@" | grep -qx "$name"; then continue; fi
  play "$name" "$file" "$expression" </dev/null
done
