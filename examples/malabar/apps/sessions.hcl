# The third tier: what a charger does now.
app "sessions" {
  owner = "station team"
}

pool "sessions" {}

route "look" {
  host    = "sessions.malabar.example"
  classes = ["nearby", "status"]
  pool    = "sessions"
}

route "book" {
  host   = "sessions.malabar.example"
  prefix = "/book-slot"
  pool   = "sessions"
}

expect "a charger's bookings reach the sessions" {
  app = "chargers"
  request {
    method = "POST"
    host   = "sessions.malabar.example"
    path   = "/book-slot/1"
  }
  goes_to = pool "sessions"
}
