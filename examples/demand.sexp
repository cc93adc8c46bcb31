; What tenants demand and engines can do, in tokens a second, for `pintally cells plan`.
(demand (margin 0.2) (zone-share 1) (tenant-cost 3)
  (capacity "prefill" (reads 15000))
  (capacity "decode" (writes 1600))
  (tenant "north" (reads 9000) (writes 900)))
