# The demo: the charger finder's three tiers in two centres, each application behind its own proxy with the routes
# that examples/malabar describes, through a rolling deploy and a spell of fast errors.

scenario "demo" {
  duration = 30
  seed     = 20
}

tier "portal" {
  nodes    = 8
  work     = 0.7
  zones    = ["north", "south"]
  host     = "portal.malabar.example"
  features = "examples/malabar/clients.hcl"
}

tier "chargers" {
  nodes    = 4
  work     = 0.2
  zones    = ["north", "south"]
  host     = "chargers.malabar.example"
  features = "examples/malabar/portal.hcl"
}

tier "sessions" {
  nodes    = 4
  work     = 0.1
  zones    = ["north", "south"]
  host     = "sessions.malabar.example"
  features = "examples/malabar/chargers.hcl"
}

tenant "own-app" { share = 0.49 }
tenant "cabs"    { share = 0.2 }
tenant "routes"  { share = 0.2 }
tenant "dash"    { share = 0.11 }

load {
  rate     = 120
  arrivals = "poisson"
}

proxies {
  count    = 2
}

fault "deploy" {
  at      = 6
  lasts   = 18
  share   = 0.6
  at_once = 0.15
  drain   = 4
}

fault "fast_errors" {
  at    = 12
  lasts = 6
  share = 0.12
  fails = 0.7
}
