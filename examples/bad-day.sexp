; A bad day for three nodes and sixteen small engines, all on loopback: troubles of many kinds that
; overlap. The engines are simulated; their speeds are settings.
(day
  (name "bad-day")
  (seed 7)
  (seconds 56)
  (settle-seconds 20)
  (zones "hall-a" "hall-b")
  (racks 4)
  (nodes 3 (notice-ms 600) (front-ms 1200))
  (drain-grace-ms 1000)
  (slack-ms 100)

  (rules (attempts 6) (cold-from 0.3) (warm-after-ms 8000) (tip-multiple 2.5) (tip-window-ms 2000)
         (release-within-ms 500) (retry-after-most-ms 2000))
  (limits (connect-ms 250) (errand-ms 250) (answer-margin-ms 100) (stall-ms 15000))

  (class "hint" (effect safe) (aim-ms 1000) (aim-per-1000-tokens-ms 40) (patience-ms 5000) (worth 2)
         (late-share 0.2))
  (class "test-feedback" (effect keyed (group all) (window-ms 20000)) (aim-ms 2000)
         (aim-per-1000-tokens-ms 40) (patience-ms 8000) (worth 1) (late-share 0.2))
  (class "graded-submit" (effect unsafe) (aim-ms 1500) (aim-per-1000-tokens-ms 40) (patience-ms 6000)
         (worth 3) (late-share 0.3))
  (tenant "north" (quota-per-s 60))
  (tenant "south" (quota-per-s 40))

  (kind "prefill" (role reader) (slots 8) (memory-tokens 120000))
  (kind "decode" (role writer) (slots 48) (memory-tokens 90000))
  (kind "mixed" (role mixed) (slots 24) (memory-tokens 90000))
  (engines "prefill" (count 6) (queue 40) (read-per-s 15000) (link-per-s 300000))
  (engines "decode" (count 8) (queue 24) (token-gap-ms 15))
  (engines "mixed" (count 2) (queue 16) (read-per-s 9000) (token-gap-ms 18))

  (traffic
    (per-second 95) (retries 2) (retry-wait-ms 250) (heed 0.7) (streamed 0.8)
    (shared-texts 12) (shared-tokens 200 900)
    (class "hint" (share 37) (turns 1 4) (adds 60 240) (answer 20 60) (shared 0.8))
    (class "test-feedback" (share 38) (turns 3 8) (adds 60 200) (answer 15 40) (shared 0.8))
    (class "graded-submit" (share 25) (turns 1 2) (adds 60 200) (answer 20 60) (shared 0.7))
    (tenant "north" (share 60))
    (tenant "south" (share 40)))

  ; Engines die, hang, fall silent, slow down.
  (fault crash (at 4) (for 8) (part 0.15) (of "prefill"))
  (fault slow (at 6) (for 10) (part 0.2) (size 5))
  (fault hang (at 9) (for 3) (part 0.1) (of "decode"))
  (fault silent (at 30) (for 4) (part 0.15) (of "decode"))
  (fault restart (at 26) (for 6) (part 0.2))
  (fault slow-connect (at 15) (for 6) (part 0.2) (size 150))
  (fault slow-links (at 12) (for 8) (part 0.5) (size 6))
  (fault forget (at 20) (for 4) (part 0.5))
  (fault full-for-tenant (at 33) (for 6) (part 0.3) (of "decode") (tenant "south"))
  (fault stale-reports (at 8) (for 12) (part 0.3))
  (fault lying-reports (at 36) (for 6) (part 0.2) (of "decode"))
  ; The fleet changes.
  (fault replace (at 16) (for 10) (part 0.33) (batch 1) (size 1500))
  (fault drain (at 38) (for 6) (part 0.25))
  (fault late-list (at 37) (for 4) (size 1500))
  (fault zone-cut (at 42) (for 5) (zone "hall-b"))
  ; Nodes die.
  (fault node-kill (at 11) (for 3) (part 0.34))
  (fault node-roll (at 46) (for 6) (size 400))
  ; Clients misbehave.
  (fault burst (at 22) (for 4) (size 2.5))
  (fault hot-text (at 28) (for 6) (size 0.4))
  (fault heedless-retries (at 32) (for 8))
  (fault leave-early (at 24) (for 10) (size 0.2)))
