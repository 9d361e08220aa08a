title  = "An operator drains for the whole fleet, and links fail"
about  = "A word said at one relay binds all that a chain of links joins to it, outlasts its origin, and is taken back on the other side of a cut."
form   = "appliance"
relays = 6
slots  = 32
held   = 512

partner "pay" {
  host "a" { rate = 200 }
  host "b" { rate = 200 }
  load "job-order" {
    rate   = 120
    within = "3s"
  }
}

partner "post" {
  host "x" { rate = 200 }
  host "y" { rate = 200 }
  load "status-update" {
    rate   = 60
    within = "3s"
  }
}

phase "whole" {
  for = "4s"
  say "drain" {
    target = "endpoint:pay-a"
    relay  = 1
    at     = "2s"
    within = "1s"
  }
}

phase "taken-back" {
  for = "3s"
  say "undrain" {
    target = "endpoint:pay-a"
    relay  = 4
  }
  expect {
    from      = "1s"
    delivered = 0.95
  }
}

# Relays of even numbers hear each other, and so do the others.
phase "halves" {
  for = "4s"
  cut "sides" {}
  say "drain" {
    target = "endpoint:pay-b"
    relay  = 0
    at     = "500ms"
    within = "1s"
  }
  say "drain" {
    target = "partner:post"
    relay  = 1
    at     = "500ms"
    within = "1s"
  }
}

phase "healed" { for = "3s" }

# Each hears its neighbours alone, and what is said at one end must come to the other.
phase "chain" {
  for = "4s"
  cut "chain" {}
  say "undrain" {
    target = "partner:post"
    relay  = 5
  }
  say "drain" {
    target = "endpoint:post-x"
    relay  = 0
    at     = "1s"
    within = "1s"
  }
}

phase "lost" {
  for = "5s"
  links {
    lose   = 0.3
    double = 0.3
  }
  say "undrain" {
    target = "endpoint:pay-b"
    relay  = 2
  }
  say "drain" {
    target = "endpoint:pay-a"
    relay  = 3
    at     = "1s"
    within = "3s"
  }
}

# The relay at which it is said dies in the next instant, while nobody hears it.
phase "origin-dies" {
  for = "4s"
  cut "alone" {}
  say "drain" {
    target = "endpoint:post-y"
    relay  = 0
    at     = "1s"
    within = "1s"
  }
  say "undrain" {
    target = "endpoint:post-x"
    relay  = 2
  }
}

phase "back" {
  for = "4s"
  kill {
    share = 1
    again = "500ms"
    empty = false
  }
}

phase "well" {
  for = "4s"
  expect {
    from      = "2s"
    delivered = 0.95
  }
}
