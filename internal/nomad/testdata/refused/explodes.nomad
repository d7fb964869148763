locals {
  a = format("%1000000000s", "x")
  b = range(0, 1000000000)
  c = [for i in range(1000) : [for j in range(1000) : [for k in range(1000) : k]]]
  d = replace(join("", [for i in range(1000) : "aaaaaaaaaaaaaaaaaaaa"]), "a", join("", [for i in range(1000) : "bbbbbbbbbbbbbbbbbbbb"]))
  e = "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789"
  f = "${local.e}${local.e}${local.e}${local.e}${local.e}${local.e}${local.e}${local.e}${local.e}${local.e}"
  g = "${local.f}${local.f}${local.f}${local.f}${local.f}${local.f}${local.f}${local.f}${local.f}${local.f}"
  h = "${local.g}${local.g}${local.g}${local.g}${local.g}${local.g}${local.g}${local.g}${local.g}${local.g}"
  i = "${local.h}${local.h}${local.h}${local.h}${local.h}${local.h}${local.h}${local.h}${local.h}${local.h}"
  j = "${local.i}${local.i}${local.i}${local.i}${local.i}${local.i}${local.i}${local.i}${local.i}${local.i}"
}

job "explodes" {
  group "g" {
    task "t" {
      driver = "exec"
    }
  }
}
