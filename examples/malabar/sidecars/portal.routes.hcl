# The routes of portal's sidecar, built by gladegw apps build; change the descriptions instead.
# source dbd1a99efdd35a6f
routes {
  app = "portal"
  source = "dbd1a99efdd35a6f"
}

pool "chargers" {
  local = true
  spill_below = 0.5
  spill_until = 0.7
}

route "chargers.book" {
  hosts = ["chargers.malabar.example"]
  prefix = "/book-slot"
  pool = "chargers"
  attempts = 1
}

route "chargers.look" {
  hosts = ["chargers.malabar.example"]
  classes = ["nearby", "status"]
  pool = "chargers"
  attempts = 2
}
