; The forms of the fleet, each with only its required keys. `warm-after-ms` is set because its default does not
; go with that of `step-ms`.
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
