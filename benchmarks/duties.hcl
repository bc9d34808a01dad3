# Proxies that hold duties while the store and the links to it break: played by `gladegw rig run`.
scenario "duties" { duration = 40 seed = 1 }
load { rate = 120 }
proxies { count = 4 }
store { members = 3 ttl_s = 1 }

fault "cut" { at = 3 lasts = 4 manner = "there" count = 2 }
fault "store_kill" { at = 9 back = 4 manner = "leader" }
fault "proxy_kill" { at = 9.2 count = 1 back = 2 }
fault "store_stop" { at = 16 lasts = 3 manner = "leader" }
fault "cut" { at = 21 lasts = 3 manner = "back" count = 2 }
fault "store_slow" { at = 26 lasts = 3 size = 0.3 }
fault "proxy_stop" { at = 27 lasts = 2.5 count = 1 }
fault "store_depose" { at = 31 }
fault "store_forward" { at = 36.5 size = 0.8 }
fault "store_full" { at = 33 lasts = 3 }
fault "proxy_term" { at = 33.5 count = 1 back = 2 }
