variable "must" {
  type = string
}

variable "number" {
  type    = number
  default = "many"
}

locals {
  x = file("/etc/passwd")
  y = unknown.thing
}

output "x" {
  value = 1
}
