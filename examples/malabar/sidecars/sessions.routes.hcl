# The routes of sessions's sidecar, built by gladegw apps build; change the descriptions instead.
# source 09d8b50d632a55de
routes {
  app = "sessions"
  source = "09d8b50d632a55de"
}
