# Three modules over the same nodes, one a class: what dividing the decision costs.
pool "nearby" {}
pool "status" {}
pool "book-slot" {}

route "nearby" {
  prefix = "/nearby"
  pool   = "nearby"
}

route "status" {
  prefix = "/status"
  pool   = "status"
}

route "book-slot" {
  prefix = "/book-slot"
  pool   = "book-slot"
}
