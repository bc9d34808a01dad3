routes { file = "benchmarks/routes/subset-30.routes.hcl" }
