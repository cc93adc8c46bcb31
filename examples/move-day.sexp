; A deployment on the move: four nodes, two of them already in the new shape, before the same engines. The
; racks of the new build hold readers or writers, its engines report nothing and its writers read.
; Simulated engines, all on loopback.
(day
  (name "move-day")
  (seed 11)
  (seconds 24)
  (settle-seconds 20)
  (racks 3)
  (nodes 4 (notice-ms 400) (front-ms 800)
         (moved 2 (reports off) (probes no) (writers-read yes)))
  (drain-grace-ms 1000)
  (slack-ms 100)

  (rules (attempts 6) (cold-from 0.3) (warm-after-ms 5000) (tip-multiple 2.5) (tip-window-ms 1000)
         (release-within-ms 500) (retry-after-most-ms 1000))
  (limits (connect-ms 250) (errand-ms 250) (answer-margin-ms 100) (stall-ms 15000))

  (class "quick-reply" (effect safe) (aim-ms 1200) (aim-per-1000-tokens-ms 60) (patience-ms 5000) (worth 1)
         (late-share 0.1))
  (class "long-context" (effect safe) (aim-ms 2500) (aim-per-1000-tokens-ms 120) (patience-ms 8000) (worth 3)
         (late-share 0.1))

  (kind "prefill" (role reader) (slots 8) (memory-tokens 120000))
  (kind "decode" (role writer) (slots 32) (memory-tokens 90000))
  (kind "mixed" (role mixed) (slots 24) (memory-tokens 90000))
  (engines "prefill" (count 5) (queue 40) (read-per-s 15000) (link-per-s 300000))
  (engines "decode" (count 5) (queue 24) (token-gap-ms 15))
  (engines "mixed" (count 2) (queue 16) (read-per-s 9000) (token-gap-ms 18))

  (traffic
    (per-second 60) (retries 2) (retry-wait-ms 250) (heed 0.7) (streamed 0.8)
    (shared-texts 10) (shared-tokens 300 900)
    (class "quick-reply" (share 81) (turns 1 2) (adds 40 120) (answer 15 40) (shared 0.95))
    (class "long-context" (share 19) (turns 1 2) (adds 600 1500) (answer 20 60) (shared 0.15)))

  (fault slow (at 3) (for 5) (part 0.2) (size 4))
  (fault crash (at 6) (for 6) (part 0.2) (of "decode"))
  (fault silent (at 9) (for 4) (part 0.2) (of "prefill"))
  (fault slow-links (at 11) (for 5) (part 0.5) (size 6))
  (fault drain (at 14) (for 5) (part 0.25))
  (fault forget (at 17) (for 2) (part 0.6))
  (fault late-list (at 13) (for 4) (size 1000))
  (fault node-kill (at 19) (for 2) (part 0.25)))
