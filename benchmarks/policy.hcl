# A policy that changes every 3 s beside one that stays, in pairs.
experiment "policy" {
  scenarios = ["changes.hcl", "unchanged.hcl"]
  seeds     = [1, 2, 3]
}
variant "as-it-is" {}
