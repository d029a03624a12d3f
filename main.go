// Command cassiabridge routes language-model requests to separate prefill and decode pools.
package main

import (
	"os"

	"github.com/cassiabridge/cassiabridge/app"
)

func main() {
	os.Exit(app.Run(os.Args[1:], os.Stdout, os.Stderr))
}
