# benchmarks/changes.hcl with a policy that stays.
scenario "unchanged" { duration = 60 seed = 1 }
load { rate = 120 }
proxies { count = 4 }
store {
  policy          = "serve"
  ttl_s           = 5
}
fault "kill" { at = 20 back = 5 }
fault "burst" { at = 35 lasts = 5 size = 2 }
