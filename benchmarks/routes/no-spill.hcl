routes { file = "benchmarks/routes/no-spill.routes.hcl" }
