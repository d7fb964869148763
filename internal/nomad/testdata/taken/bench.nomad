job "bench-test" {
  datacenters = ["*"]
  type        = "batch"

  group "rig" {
    count = 2

    meta {
      curlew_gang         = "yes"
      curlew_one_zone     = "yes"
      curlew_checkpoint_s = "30"
      curlew_spot         = "no"
    }

    task "load" {
      driver       = "docker"
      kill_timeout = "10s"

      config {
        image = "rig"
      }

      resources {
        cores  = 60
        memory = 102400

        device "nvidia/gpu" {
          count = 2
        }
      }
    }
  }
}
