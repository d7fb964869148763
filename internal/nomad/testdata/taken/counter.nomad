locals {
  parts = { front = 2, back = 3 }
}

job "licence-counter" {
  dynamic "group" {
    for_each = local.parts
    labels   = [group.key]

    content {
      count = group.value

      spread {
        attribute = "${node.datacenter}"
      }

      task "serve" {
        driver = "exec"

        config {
          command = "serve-${group.key}"
        }

        logs {
          max_files = 3
        }
      }
    }
  }
}
