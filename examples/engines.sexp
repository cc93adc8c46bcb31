; The list of engines that a node watches. Raise the version with each change.
(engines (version 1)
  (engine "prefill-0" (address "127.0.0.1:9001") (zone "a") (kind "prefill") (rack 0) (state serving))
  (engine "decode-0" (address "127.0.0.1:9002") (zone "a") (kind "decode") (rack 0) (state serving)))
