experiment "subsets" {
  scenarios = ["fleet.hcl"]
}

variant "all" { features = "benchmarks/routes/all.hcl" }

variant "subset-30" { features = "benchmarks/routes/subset-30.hcl" }

variant "subset-10" { features = "benchmarks/routes/subset-10.hcl" }
