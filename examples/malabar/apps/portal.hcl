# The first tier: takes the clients' requests, in the centre that they come to.
app "portal" {
  owner   = "locator team"
  calls   = ["chargers"]
  retries = { nearby = 2, status = 2 }
}

class "nearby" {
  worth      = 1
  aim_ms     = 600
  timeout_ms = 2500
  attempts   = 2
}

class "status" {
  worth      = 3
  aim_ms     = 600
  timeout_ms = 2500
  attempts   = 2
}

class "book-slot" {
  worth      = 5
  aim_ms     = 2500
  timeout_ms = 6000
  effect     = "by_key"
  attempts   = 1
}

# Of the proxy's own centre, as long as half of what should be there is usable.
pool "portal" {
  local       = true
  spill_below = 0.5
}

route "nearby" {
  host   = "portal.malabar.example"
  prefix = "/nearby"
  pool   = "portal"
}

route "nearby-hopeless" {
  host      = "portal.malabar.example"
  prefix    = "/nearby"
  tenants   = ["routes"]
  budget_ms = [0, 40]
  answer {
    code        = 429
    body        = "no time left to look around"
    retry_after = 1
  }
}

route "status" {
  host   = "portal.malabar.example"
  prefix = "/status"
  pool   = "portal"
}

route "book-slot" {
  host   = "portal.malabar.example"
  prefix = "/book-slot"
  pool   = "portal"
}

expect "a portal asks the chargers, never the sessions" {
  all { host = "chargers.malabar.example" }
  never = pool "sessions"
}
