# Links between proxies, nodes and operators break, one way each, late, or in the midst: `gladegw rig run`.
scenario "links" { duration = 24 seed = 1 }
load { rate = 120 }
proxies { count = 3 }
operators { every_s = 0.2 }

fault "node_cut" { at = 2 lasts = 3 manner = "there" count = 1 }
fault "node_cut" { at = 6 lasts = 3 manner = "back" count = 1 }
fault "operators_cut" { at = 8 lasts = 3 manner = "both" count = 2 }
fault "node_late" { at = 11 lasts = 3 size = 0.1 count = 2 }
fault "node_reset" { at = 15 count = 3 }
fault "node_cut" { at = 17 lasts = 3 manner = "both" zone = "a" }
fault "proxy_kill" { at = 18 count = 1 back = 1 }
