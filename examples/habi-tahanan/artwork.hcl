# Artwork uploads. A lost upload delays a product launch.
service "artwork" {
  slots         = 130
  connections   = 900
  default-class = "browsing"

  # Artwork is stored under its own name, so an upload that runs twice is harmless.
  class "upload" {
    match {
      method = "PUT"
      path   = "/artwork/*"
    }
    match {
      method = "POST"
      path   = "/artwork"
    }
    priority   = "important"
    repeat     = "safe"
    timeout    = "90s"
    retries    = 1
    max-body   = "256MiB"
    max-answer = "64KiB"
  }

  class "artwork" {
    match {
      method = "GET"
      path   = "/artwork/*"
    }
    priority   = "important"
    repeat     = "safe"
    timeout    = "20s"
    retries    = 1
    max-answer = "256MiB"
  }

  class "browsing" {
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "5s"
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
