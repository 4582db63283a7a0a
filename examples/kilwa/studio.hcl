# Large pattern scans, whose transfers often stall. When a scan is lost, the pattern has to be photographed again.
service "studio" {
  slots         = 190
  connections   = 1200
  default-class = "browsing"

  # A scan is stored under its own name, so an upload that runs twice is harmless.
  class "upload" {
    match {
      method = "PUT"
      path   = "/scans/*"
    }
    match {
      method = "POST"
      path   = "/scans"
    }
    priority   = "important"
    repeat     = "safe"
    timeout    = "2m"
    retries    = 1
    max-body   = "512MiB"
    max-answer = "64KiB"
  }

  class "scan" {
    match {
      method = "GET"
      path   = "/scans/*"
    }
    priority   = "important"
    repeat     = "safe"
    timeout    = "30s"
    retries    = 1
    max-answer = "512MiB"
  }

  class "browsing" {
    priority = "sheddable"
    repeat   = "safe"
    timeout  = "5s"
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
