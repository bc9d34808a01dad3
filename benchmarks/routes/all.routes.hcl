pool "fleet" {}

route "all" { pool = "fleet" }
