; The forms by which nodes act together with as little as each must hold; the default of
; `step-ms` does not go with that of `warm-after-ms`.
(pintally
  (node (engines "engines.sexp"))
  (class "hint" (effect safe))
  (kind "both" (role mixed))
  (rules (warm-after-ms 8000))
  (peers (fleet "golden") (listen "127.0.0.1:7000"))
  (recovery)
  (keepers (names "n0"))
  (shared-limits)
  (verdicts)
  (regions (zone "a" "north")))
