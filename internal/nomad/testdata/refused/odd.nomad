job "odd" {
  type        = "batch"
  datacenters = ["a", "b"]
  priority    = 101
  region      = "coast"
  node_pool   = "gpu"
  colour      = "red"

  periodic {
    cron = "0 3 * * *"
  }

  group "first" {
    count = 0

    network {
      mode = "host"
    }

    task "a" {
      driver = "exec"
      leader = true
    }

    task "b" {
      driver = "exec"
    }
  }

  group "second" {
    constraint {
      attribute = "${attr.kernel.name}"
      value     = "linux"
    }

    meta {
      curlew_estimate = "12"
      curlew_gang     = "maybe"
    }

    task "a" {
      driver       = "exec"
      kill_timeout = "1m"

      resources {
        cpu   = 100
        cores = 1

        device "fpga" {
          count = 1
        }
      }
    }
  }
}
