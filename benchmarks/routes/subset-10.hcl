routes { file = "benchmarks/routes/subset-10.routes.hcl" }
