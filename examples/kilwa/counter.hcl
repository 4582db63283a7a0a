# Stock lookups while a customer stands at the counter.
service "counter" {
  slots            = 20
  connections      = 200
  default-class    = "browsing"
  not-run-statuses = [503]

  class "lookup" {
    match {
      method = "GET"
      path   = "/stock/*"
    }
    match {
      method = "HEAD"
      path   = "/stock/*"
    }
    priority   = "critical"
    repeat     = "safe"
    timeout    = "400ms"
    retries    = 2
    max-body   = "1KiB"
    max-answer = "64KiB"
  }

  class "browsing" {
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "1s"
    retries  = 0
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
