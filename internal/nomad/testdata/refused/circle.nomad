locals {
  a = local.b
  b = "${local.c}x"
  c = local.a
  d = 4
}

job "circle" {
  group "g" {
    task "t" {
      driver = "exec"
    }
  }
}
