; A node of a fleet in three zones of two regions: keepers, limits, verdicts and regions together.
(pintally
  (node (name "n0") (listen "127.0.0.1:8080") (zone "north-1") (number 0) (of 6) (engines "engines.sexp"))
  (peers (fleet "campus") (listen "127.0.0.1:8081") (seed "127.0.0.2:8081"))
  (recovery (store "state"))
  (keepers (names "n0" "n1" "n2"))
  (shared-limits
    (limit "labs-requests" (tenant "labs") (counts requests) (most 200))
    (limit "labs-streams" (tenant "labs") (counts streams) (most 120))
    (limit "retries" (counts retries) (most 40) (bound soft)))
  (verdicts)
  (regions
    (zone "north-1" "north") (zone "north-2" "north") (zone "south-1" "south")
    (price "north-1" "south-1" 4) (price "north-2" "south-1" 6)
    (per-engine-per-s 6)
    (class-stays "graded-submit"))
  (rules (attempts 6) (cold-from 0.3) (warm-after-ms 8000) (tip-multiple 2.5) (tip-window-ms 2000)
         (release-within-ms 500) (retry-after-most-ms 2000))
  (tenant "labs")
  (class "hint" (effect safe) (aim-ms 1000) (patience-ms 5000) (worth 2) (late-share 0.2))
  (class "graded-submit" (effect unsafe) (aim-ms 1500) (patience-ms 6000) (worth 3) (late-share 0.3))
  (kind "prefill" (role reader) (slots 8))
  (kind "decode" (role writer) (slots 48)))
