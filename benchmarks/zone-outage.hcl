# A centre goes dark for 20 s, with and without spill-over. Run: gladegw experiment benchmarks/zones.hcl

scenario "zone-outage" {
  duration = 45
  seed     = 5
}

tier "gateway" {
  nodes = 16
  zones = ["north", "south"]
}

load {
  rate = 130
}

proxies {
  count = 2
}

fault "vanish" {
  at    = 12
  lasts = 20
  zone  = "north"
}
