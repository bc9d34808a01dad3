# Features of the proxies that route for chargers, for the demo.
figures {}

capture {}

routes {
  file = "examples/malabar/sidecars/chargers.routes.hcl"
}
