# Features of the proxies that route for portal, for the demo.
figures {}

capture {}

routes {
  file = "examples/malabar/sidecars/portal.routes.hcl"
}
