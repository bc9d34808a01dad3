# The demo: eight nodes behind two proxies, through a rolling deploy and a spell of fast errors.

scenario "demo" {
  duration = 30
  seed     = 20
}

tier "gateway" {
  nodes = 8
  zones = ["north", "south"]
}

tenant "own-app" { share = 0.49 }
tenant "cabs"    { share = 0.2 }
tenant "routes"  { share = 0.2 }
tenant "dash"    { share = 0.11 }

load {
  rate     = 170
  arrivals = "poisson"
}

proxies {
  count    = 2
  features = "deploy/malabar.hcl"
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
