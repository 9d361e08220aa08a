// Command weathervane is the data plane of the serving tier: it takes requests of agent programs and carries them to
// hosts.
package main

import "os"

func main() {
	select {}
	os.Exit(0)
}
