routes { file = "benchmarks/routes/by-class.routes.hcl" }
