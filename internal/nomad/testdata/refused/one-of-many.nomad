job "print" {
  datacenters = ["*"]
  type        = "batch"
  priority    = 50
  name        = "licence print run"
  all_at_once = false

  meta {
    owner = "clerks"
  }

  group "pages" {
    count = 12

    ephemeral_disk {
      size = 300
    }

    task "print" {
      driver       = "exec"
      kill_timeout = "5s"

      config {
        image = "print"
      }

      env {
        STATE = "LA"
      }

      restart {
        attempts = 3
        interval = "5m"
      }

      resources {
        cpu    = 500
        memory = 256
      }
    }
  }
}
