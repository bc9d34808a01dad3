# The routes of chargers's sidecar, built by gladegw apps build; change the descriptions instead.
# source b22b56c503730b79
routes {
  app = "chargers"
  source = "b22b56c503730b79"
}

pool "sessions" {
}

route "sessions.book" {
  hosts = ["sessions.malabar.example"]
  prefix = "/book-slot"
  pool = "sessions"
  attempts = 1
}

route "sessions.look" {
  hosts = ["sessions.malabar.example"]
  classes = ["nearby", "status"]
  pool = "sessions"
  attempts = 1
}
