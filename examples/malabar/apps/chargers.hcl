# The second tier: what a charger is and where.
app "chargers" {
  owner   = "station team"
  calls   = ["sessions"]
  retries = { nearby = 2, status = 1 }
}

pool "chargers" {
  local       = true
  spill_below = 0.5
}

route "look" {
  host    = "chargers.malabar.example"
  classes = ["nearby", "status"]
  pool    = "chargers"
}

route "book" {
  host   = "chargers.malabar.example"
  prefix = "/book-slot"
  pool   = "chargers"
}
