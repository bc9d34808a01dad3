# The proxy's own zone, until half of it is lost.
pool "near" {
  local       = true
  spill_below = 0.5
}

route "all" { pool = "near" }
