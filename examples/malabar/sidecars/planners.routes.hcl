# The routes of planners's sidecar, built by gladegw apps build; change the descriptions instead.
# source e1b4eb04a63f7499
routes {
  app = "planners"
  source = "e1b4eb04a63f7499"
}

pool "portal" {
  local = true
  spill_below = 0.5
  spill_until = 0.7
}

route "portal.book-slot" {
  hosts = ["portal.malabar.example"]
  prefix = "/book-slot"
  pool = "portal"
  attempts = 1
}

route "portal.nearby" {
  hosts = ["portal.malabar.example"]
  prefix = "/nearby"
  pool = "portal"
  attempts = 2
}

route "portal.nearby-hopeless" {
  hosts = ["portal.malabar.example"]
  prefix = "/nearby"
  tenants = ["routes"]
  budget_ms = [0, 40]
  answer {
    code = 429
    body = "no time left to look around"
    retry_after = 1
  }
}

route "portal.status" {
  hosts = ["portal.malabar.example"]
  prefix = "/status"
  pool = "portal"
  attempts = 2
}
