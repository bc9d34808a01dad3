# The proxy's own zone, whatever becomes of it.
pool "near" {
  local       = true
  spill_below = 0
}

route "all" { pool = "near" }
