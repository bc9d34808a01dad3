# Features of the proxies that route for dashboards, for the demo.
figures {}

capture {}

routes {
  file = "examples/malabar/sidecars/dashboards.routes.hcl"
}
