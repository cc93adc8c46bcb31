; A zone goes dark for ten seconds: six nodes in three zones of two regions, each a process of its own.
; Its work goes to where room is offered, the near zone first, and comes back in steps.
(day
  (name "region-day")
  (seed 17)
  (seconds 46)
  (settle-seconds 20)
  (zones "north-1" "north-2" "south-1")
  (racks 3)
  (nodes 6 (processes yes) (notice-ms 600) (front-ms 1200))
  (drain-grace-ms 1000)
  (slack-ms 100)

  (peers (fleet "region-day") (listen "127.0.0.1:0") (period-ms 200) (answer-ms 60) (indirect 2) (repair-ms 1000)
         (forget-ms 600000))
  (recovery (every-ms 100) (read-within-ms 300) (answer-within-ms 200) (rounds 2) (ask 3)
            (careful-most-ms 8000) (per-engine-per-s 5) (textless 0.9))

  (keepers (names "n0" "n1" "n2"))
  (verdicts)
  (regions
    (zone "north-1" "north") (zone "north-2" "north") (zone "south-1" "south")
    (price "north-1" "south-1" 4) (price "north-2" "south-1" 6)
    (per-engine-per-s 9) (grace-ms 1000) (hold-ms 3000) (hold-most-ms 20000) (step-ms 2500))

  (rules (attempts 6) (cold-from 0.3) (warm-after-ms 8000) (tip-multiple 2.5) (tip-window-ms 2000)
         (release-within-ms 500) (retry-after-most-ms 2000))
  (limits (connect-ms 250) (errand-ms 250) (answer-margin-ms 100) (stall-ms 15000) (stop-ms 5000))

  (class "hint" (effect safe) (aim-ms 1000) (aim-per-1000-tokens-ms 40) (patience-ms 5000) (worth 2)
         (late-share 0.2))
  (class "test-feedback" (effect keyed (group all) (window-ms 20000)) (aim-ms 2000)
         (aim-per-1000-tokens-ms 40) (patience-ms 8000) (worth 1) (late-share 0.2))
  (class "graded-submit" (effect unsafe) (aim-ms 1500) (aim-per-1000-tokens-ms 40) (patience-ms 6000)
         (worth 3) (late-share 0.3))

  (kind "prefill" (role reader) (slots 8) (memory-tokens 120000))
  (kind "decode" (role writer) (slots 48) (memory-tokens 90000))
  (engines "prefill" (count 9) (queue 40) (read-per-s 15000) (link-per-s 300000))
  (engines "decode" (count 9) (queue 24) (token-gap-ms 15))

  (traffic
    (per-second 75) (retries 2) (retry-wait-ms 250) (heed 0.8) (streamed 0.8)
    (shared-texts 12) (shared-tokens 200 900)
    (class "hint" (share 37) (turns 1 4) (adds 60 240) (answer 20 60) (shared 0.8))
    (class "test-feedback" (share 38) (turns 3 8) (adds 60 200) (answer 15 40) (shared 0.8))
    (class "graded-submit" (share 25) (turns 1 2) (adds 60 200) (answer 20 60) (shared 0.7)))

  (fault zone-dark (at 12) (for 10) (zone "north-1")))
