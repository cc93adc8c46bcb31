; The least that a file must hold: all else has its default.
(pintally
  (node (engines "engines.sexp"))
  (class "hint" (effect safe))
  (kind "both" (role mixed)))
