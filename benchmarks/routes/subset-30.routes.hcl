pool "fleet" { subset = 30 }

route "all" { pool = "fleet" }
