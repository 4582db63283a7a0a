# Fold patterns and the status of orders.
service "catalogue" {
  slots            = 110
  connections      = 800
  default-class    = "browsing"
  not-run-statuses = [503]

  # When a status page is late, customers telephone the workshop.
  class "order-status" {
    match {
      method = "GET"
      path   = "/status/*"
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

  customer "arusha-hotel" {
    rank = 0
  }

  customer "zanzibar-weddings" {
    rank = 1
  }

  customer "upanga-tailors" {
    rank = 2
  }
}
