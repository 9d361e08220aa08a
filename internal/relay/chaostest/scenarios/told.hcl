title  = "Three relays keep to a limit that was told"
about  = "What a partner takes by contract holds for the fleet, whole, cut, with a relay stopped, killed and said to be gone."
form   = "appliance"
relays = 3
slots  = 64
held   = 512

# The hosts would take three times as much: whoever passes the contract meets no refusal.
partner "pay" {
  limit {
    rate  = 100
    burst = 20
  }
  host "a" { rate = 150 }
  host "b" { rate = 150 }
  load "job-order" {
    rate   = 200
    within = "3s"
  }
}

phase "whole" {
  for = "10s"
  expect {
    from      = "3s"
    delivered = 0.47
  }
}

phase "one-alone" {
  for = "8s"
  cut "alone" {}
  expect {
    from      = "2s"
    delivered = 0.46
  }
}

phase "nobody" {
  for = "8s"
  cut "nobody" {}
  expect {
    from      = "2s"
    delivered = 0.44
  }
}

phase "healed" {
  for = "6s"
  expect {
    from      = "2s"
    delivered = 0.46
  }
}

phase "lost" {
  for = "6s"
  links {
    lose    = 0.3
    reorder = 0.1
    late    = "2s"
  }
  expect {
    from      = "1s"
    delivered = 0.25
  }
}

phase "steward-stands-still" {
  for = "8s"
  stop {
    relays     = 1
    steward_of = "pay"
    for        = "5s"
  }
  expect {
    from      = "1s"
    to        = "5s"
    delivered = 0.40 # its part is a third, and nobody claims it
  }
}

phase "one-killed" {
  for = "6s"
  kill {
    relays           = 1
    spare_steward_of = "pay"
    again            = "4s"
    empty            = true
  }
  expect {
    from      = "1s"
    to        = "4s"
    delivered = 0.42
  }
}

phase "and-back" {
  for = "6s"
  expect {
    from      = "2s"
    delivered = 0.46
  }
}
