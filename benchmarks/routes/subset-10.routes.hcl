pool "fleet" { subset = 10 }

route "all" { pool = "fleet" }
