# The store without a majority for a minute, then slow by 2 s, before proxies whose clocks run apart and one whose loop
# stalls: `gladegw rig run`. Serving goes on untouched, duties rest and come back.
scenario "majority" { duration = 90 seed = 1 }
load { rate = 120 }
proxies {
  count = 4
  does  = ["none", "slow clock", "fast clock", "stalls"]
}
store { members = 3 ttl_s = 1 }

fault "store_kill" { at = 5 back = 60 manner = "leader" }
fault "store_kill" { at = 5.2 back = 60 manner = "follower" }
fault "store_slow" { at = 74 lasts = 6 size = 2 }
fault "proxy_kill" { at = 76 count = 1 back = 1 }
