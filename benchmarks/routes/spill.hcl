routes { file = "benchmarks/routes/spill.routes.hcl" }
