(engines (version 4)
  (engine "s-1" (address "127.0.0.1:3001") (zone "a") (kind "prefill") (rack 3) (state serving) (weight 1.5) (cell "blue") (started-unix-ms 1700000000000))
  (engine "s-2" (address "[::1]:3002") (zone "b") (kind "decode") (rack 0) (state draining))
  (engine "s-3" (address "127.0.0.1:3003") (zone "") (kind "") (rack 0) (state gone)))
