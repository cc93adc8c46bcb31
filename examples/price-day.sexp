; One pool for `pintally measure price examples/price-day.sexp`, which divides it into 2, 4 and 8 cells.
; Sixteen tenants with texts of their own; 18 readers and 26 writers, of which 2 and 2 are spare.
; The engines are simulated.
(day
  (name "price-day") (seed 1) (seconds 14) (settle-seconds 10)
  (zones "hall-a" "hall-b") (racks 4)
  (nodes 2 (notice-ms 300))
  (slack-ms 400)
  (rules (warm-after-ms 2000) (tip-window-ms 500))
  (limits (held 1200) (answer-margin-ms 150))
  (class "hint" (effect safe) (aim-ms 700) (patience-ms 3000) (worth 2))
  (class "graded-submit" (effect unsafe) (aim-ms 1000) (patience-ms 4000) (worth 3))
  (tenant "t01") (tenant "t02") (tenant "t03") (tenant "t04") (tenant "t05") (tenant "t06") (tenant "t07")
  (tenant "t08") (tenant "t09") (tenant "t10") (tenant "t11") (tenant "t12") (tenant "t13") (tenant "t14")
  (tenant "t15") (tenant "t16")
  (kind "prefill" (role reader) (slots 8) (memory-tokens 40000))
  (kind "decode" (role writer) (slots 6) (memory-tokens 30000))
  (engines "prefill" (count 18) (queue 30) (read-per-s 5000))
  (engines "decode" (count 26) (queue 8) (token-gap-ms 20))
  (traffic
    (per-second 180) (retries 1) (retry-wait-ms 250) (shared-texts 6) (own-texts 1) (shared-tokens 200 500)
    (class "hint" (share 60) (answer 20 50) (patience-percent 90 100))
    (class "graded-submit" (share 40) (answer 20 50) (patience-percent 90 100))
    (tenant "t01" (share 10)) (tenant "t02" (share 9)) (tenant "t03" (share 9)) (tenant "t04" (share 8))
    (tenant "t05" (share 8)) (tenant "t06" (share 7)) (tenant "t07" (share 7)) (tenant "t08" (share 6))
    (tenant "t09" (share 6)) (tenant "t10" (share 6)) (tenant "t11" (share 5)) (tenant "t12" (share 5))
    (tenant "t13" (share 4)) (tenant "t14" (share 4)) (tenant "t15" (share 3)) (tenant "t16" (share 3))))
