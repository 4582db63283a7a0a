# Stitch-and-ship orders. An order that runs twice wastes silk.
service "orders" {
  slots            = 140
  connections      = 950
  not-run-statuses = [503]
  claim-retention  = "48h"

  # Only attempts that were refused before execution are retried.
  class "booking" {
    match {
      method = "POST"
      path   = "/orders"
    }
    priority   = "critical"
    repeat     = "never"
    timeout    = "3s"
    retries    = 2
    max-body   = "256KiB"
    max-answer = "64KiB"
  }

  # Cloth is also cut for a change of an order, so a change must not run twice either.
  class "change" {
    match {
      method = "PUT"
      path   = "/orders/*"
    }
    match {
      method = "PATCH"
      path   = "/orders/*"
    }
    match {
      method = "POST"
      path   = "/orders/*"
    }
    match {
      method = "DELETE"
      path   = "/orders/*"
    }
    priority   = "important"
    repeat     = "never"
    timeout    = "3s"
    retries    = 1
    max-body   = "256KiB"
    max-answer = "64KiB"
  }

  class "status" {
    match {
      method = "GET"
      path   = "/orders/*"
    }
    priority = "important"
    repeat   = "safe"
    timeout  = "2s"
    retries  = 2
  }

  # There is no default-class: a write to any other path is refused, as the class browsing would allow retries of it.
  class "browsing" {
    match {
      method = "GET"
      path   = "/*"
    }
    match {
      method = "HEAD"
      path   = "/*"
    }
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "2s"
    retries  = 0
  }

  # The SHA-256 of the token "example-arusha-hotel".
  customer "arusha-hotel" {
    rank         = 0
    token-sha256 = "9f9e70c17a6a8a812879cf510359c419691cb71c3c2e1dee009832884ed473bc"
  }

  # The SHA-256 of the token "example-zanzibar-weddings".
  customer "zanzibar-weddings" {
    rank         = 1
    token-sha256 = "11d0a774ec1bb31176597bde614a23f904796bf5830370963fc64ea2f9d76c3f"
  }

  # The SHA-256 of the token "example-upanga-tailors".
  customer "upanga-tailors" {
    rank         = 2
    token-sha256 = "0435ec820cac9ca7ccf3569cb2b60f17921cf7df8d49860b16523d61b2e22371"
  }
}
