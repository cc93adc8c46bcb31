; Cells for the tenants of examples/node.sexp: `pintally cells show --config examples/node.sexp
; --cells examples/cells.sexp`. A keyed class of a zone cannot live in two cells: see docs/cells.md.
(cells (version 1)
  (cell "blue" (weight 1) (readers 3) (writers 4) (fallback "green"))
  (cell "green" (weight 1) (readers 3) (writers 4))
  (tenant "north" (cells "blue")))
