variable "members" {
  type    = number
  default = 3
}

variable "zone" {
  type = string
}

locals {
  image = format("scan-%02d", var.members)
  note  = <<-TEXT
    readings of ${var.members} members
    on ${node.class}
  TEXT
}

job "vibration-scan" {
  datacenters = [var.zone]
  type        = "batch"
  priority    = 70

  meta {
    curlew_class      = "scan"
    curlew_estimate_s = "30"
    curlew_due_s      = "900"
  }

  group "readings" {
    count = var.members * 4

    constraint {
      attribute = "${node.class}"
      operator  = "set_contains_any"
      value     = "piston, turbine"
    }

    task "read" {
      driver = "exec"

      config {
        image = local.image
        args  = ["--index", "${NOMAD_ALLOC_INDEX}", "--on", "${attr.unique.hostname}"]
      }

      env {
        NOTE   = local.note
        MEMBER = "${NOMAD_META_member}"
      }

      resources {
        cpu    = 5000
        memory = 2048
      }
    }
  }
}
