# The dashboards of the cars: they only call.
app "dashboards" {
  owner   = "in-car team"
  calls   = ["portal"]
  retries = { nearby = 2, status = 2 }
}

tenant "dash" {}
tenant "own-app" {}

expect "a booking goes to the portal and is tried once" {
  request {
    method    = "POST"
    host      = "portal.malabar.example"
    path      = "/book-slot/12"
    tenant    = "dash"
    budget_ms = 6000
  }
  goes_to  = pool "portal"
  attempts = 1
}

expect "planners are kept from looking around when they have no time" {
  all {
    host      = "portal.malabar.example"
    prefix    = "/nearby"
    tenant    = "routes"
    budget_ms = [0, 40]
  }
  answers = 429
}

expect "nobody reaches the sessions but through the chargers" {
  all { host = "sessions.malabar.example" }
  refused = true
}
