# Weaving orders. An order that runs twice wastes yarn and loom hours.
service "orders" {
  slots            = 100
  connections      = 700
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

  # The loom also runs for a change of an order, so a change must not run twice either.
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

  # The SHA-256 of the token "example-visayas-denim".
  customer "visayas-denim" {
    rank         = 0
    token-sha256 = "3251ad635d1d6ff44aca392a2308227874f626e919226d6d06d3e9b539233c75"
  }

  # The SHA-256 of the token "example-sari-brands".
  customer "sari-brands" {
    rank         = 1
    token-sha256 = "39d3d75b62cef7b3b806f10658dd97a8e076deb04f66c9aaab01bbfd7b7db9b5"
  }

  # The SHA-256 of the token "example-panay-uniforms".
  customer "panay-uniforms" {
    rank         = 2
    token-sha256 = "37e7c6e7253360a6aa8f26888d336477f8034982db9651bec8bfc555a419a12e"
  }
}
