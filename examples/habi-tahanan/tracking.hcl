# The status of orders. When a page is late, customers telephone a small staff.
service "tracking" {
  slots            = 30
  connections      = 300
  default-class    = "browsing"
  not-run-statuses = [503]

  class "status" {
    match {
      method = "GET"
      path   = "/orders/*"
    }
    priority   = "important"
    repeat     = "safe"
    timeout    = "1s500ms"
    retries    = 2
    max-body   = "1KiB"
    max-answer = "256KiB"
  }

  class "browsing" {
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "2s"
    retries  = 0
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
