# Settings that apply to all applications of the charger finder.
platform {
  attempts_over_tiers = 12
  unchanged           = true
}
