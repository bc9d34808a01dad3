experiment "modules" {
  scenarios = ["divided.hcl"]
  seeds     = [3, 4]
}

variant "one-module" {}

variant "one-a-class" { features = "benchmarks/routes/by-class.hcl" }
