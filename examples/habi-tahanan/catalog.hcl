# Proofs and status pages that brand buyers check all day.
service "catalog" {
  slots            = 80
  connections      = 570
  default-class    = "browsing"
  not-run-statuses = [503]

  class "proof-status" {
    match {
      method = "GET"
      path   = "/proofs/*"
    }
    priority = "important"
    repeat   = "safe"
    timeout  = "2s"
    retries  = 2
  }

  class "browsing" {
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "2s"
    retries  = 1
  }

  customer "visayas-denim" {
    rank = 0
  }

  customer "sari-brands" {
    rank = 1
  }

  customer "panay-uniforms" {
    rank = 2
  }
}
