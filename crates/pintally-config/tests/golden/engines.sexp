; Every key and word of a list of engines.
(engines (version 4)
  (engine "s-1" (address "127.0.0.1:3001") (zone "a") (kind "prefill") (rack 3) (cell "blue") (state serving)
          (weight 1.5) (started-unix-ms 1700000000000))
  (engine "s-2" (address "[::1]:3002") (zone "b") (kind "decode") (state draining))
  (engine "s-3" (address "127.0.0.1:3003") (state gone)))
