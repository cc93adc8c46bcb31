; One node of many before engines of another build: they tell no load, may not be probed, and their writers read a
; prompt that comes without a state. `pintally check examples/node-silent.sexp` reads it; docs/migration.md has the steps.
(pintally
  (node (name "n7") (listen "127.0.0.1:8080") (model "default") (zone "a") (number 7) (of 160)
        (engines "examples/engines.sexp" (every-ms 100))
        (kept-list "state/engines-n7.sexp"))
  (limits (connect-ms 250) (errand-ms 250) (answer-margin-ms 50))
  (rules (reports off) (probes no) (writers-read yes)
         (attempts 5) (cold-from 0.3) (warm-after-ms 14000) (tip-multiple 2.5) (tip-window-ms 2000)
         (release-within-ms 500) (retry-after-most-ms 1000))
  (class "quick-reply" (effect safe) (aim-ms 1200) (aim-per-1000-tokens-ms 60) (token-aim-ms 50) (patience-ms 5000)
         (worth 1) (late-share 0.1))
  (class "long-context" (effect safe) (aim-ms 2500) (aim-per-1000-tokens-ms 120) (token-aim-ms 80)
         (patience-ms 10000) (worth 3) (late-share 0.1))
  (tenant "north" (quota-per-s 60))
  (kind "prefill" (role reader) (slots 8) (memory-tokens 240000))
  (kind "decode" (role writer) (slots 80) (memory-tokens 150000))
  (kind "mixed" (role mixed) (slots 70) (memory-tokens 230000)))
