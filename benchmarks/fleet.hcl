# 300 nodes before four proxies: what a subset costs. Run: gladegw experiment benchmarks/subsets.hcl

scenario "fleet" {
  duration = 20
  seed     = 9
}

tier "gateway" {
  nodes = 300
  zones = ["north", "south"]
}

load {
  rate = 400
}

proxies {
  count = 4
}

fault "fast_errors" {
  at    = 6
  lasts = 6
  share = 0.1
  fails = 0.7
}
