# Partners that plan routes.
app "planners" {
  owner = "partner desk"
  calls = ["portal"]
}

tenant "routes" {}
tenant "cabs" {}

expect "a planner with time is served" {
  request {
    host      = "portal.malabar.example"
    path      = "/nearby/8"
    tenant    = "routes"
    budget_ms = 900
  }
  goes_to = pool "portal"
}
