# What one proxy on one core can do, and what it adds. Run: gladegw experiment benchmarks/capacity.hcl

experiment "capacity" {}

variant "in-service" {
  features = "deploy/malabar.hcl"
}

capacity {
  schedule_rates = [500, 2000, 8000]
  first_rate     = 1000
  bound_ms       = 20
  duration       = 4
  nodes          = 6
}
