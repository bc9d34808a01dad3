routes { file = "benchmarks/routes/all.routes.hcl" }
