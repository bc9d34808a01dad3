experiment "zones" {
  scenarios = ["zone-outage.hcl"]
  seeds     = [5, 6]
}

variant "no-routes" {}

variant "spill" { features = "benchmarks/routes/spill.hcl" }

variant "no-spill" { features = "benchmarks/routes/no-spill.hcl" }
