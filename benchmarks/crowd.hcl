# A crowd that stays, in three manners one after another, before proxies with few descriptors:
#   gladegw rig run benchmarks/crowd.hcl

scenario "crowd" {
  duration = 24
  seed     = 4
}

tier "gateway" { nodes = 6 }

load {
  rate        = 100
  connections = 512
}

proxies {
  count   = 1
  sockets = 256
}

fault "flood" {
  at     = 3
  lasts  = 5
  manner = "silent"
  count  = 3000
}

fault "flood" {
  at     = 10
  lasts  = 5
  manner = "drip"
  count  = 3000
}

fault "flood" {
  at     = 17
  lasts  = 5
  manner = "churn"
  count  = 200
}
