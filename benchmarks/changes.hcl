# A policy that changes every 3 s under load, with a node that dies: `gladegw rig run`. benchmarks/unchanged.hcl is the
# same without changes, for pairs: `gladegw rig experiment benchmarks/policy.hcl`.
scenario "changes" { duration = 60 seed = 1 }
load { rate = 120 }
proxies { count = 4 }
store {
  policy          = "serve"
  ttl_s           = 5
  changes_every_s = 3
}
fault "kill" { at = 20 back = 5 }
fault "burst" { at = 35 lasts = 5 size = 2 }
