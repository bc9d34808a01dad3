# More than the nodes can do, for a while: one module for all, or one a class.
# Run: gladegw experiment run benchmarks/modules.hcl
scenario "divided" {
  duration = 30
  seed     = 3
}

tier "gateway" {
  nodes = 8
}

tenant "own-app" { share = 0.5 }
tenant "cabs"    { share = 0.5 }

load {
  rate = 160
}

proxies {
  count = 2
}

fault "burst" {
  at    = 8
  lasts = 12
  size  = 2.5
}
