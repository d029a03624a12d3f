// The run program starts one stand-in as a process of its own.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

func main() {
	kind := flag.String("kind", "", "stand-in to run: log, list, engine or desk")
	listen := flag.String("listen", "127.0.0.1:0", "loopback address and port")
	retention := flag.Duration("retention", 0, "log: how long records are kept, 0 for ever")
	lag := flag.Duration("lag", 0, "list and engine: age of what is reported")
	prefillRate := flag.Float64("prefill-rate", 0, "engine: prompt tokens a second")
	gap := flag.Duration("gap", 0, "engine: time between tokens")
	places := flag.Int("places", 0, "engine: requests decoded at once")
	fencing := flag.Bool("fencing", false, "engine: refuse old fencing numbers")
	flag.Parse()
	var handler http.Handler
	switch *kind {
	case "log":
		handler = standin.NewLog(*retention).Handler()
	case "list":
		handler = standin.NewList(*lag).Handler()
	case "engine":
		handler = standin.NewEngine(standin.EngineConfig{PrefillRate: *prefillRate, TokenGap: *gap, Places: *places, ReportLag: *lag, ChecksFencing: *fencing}).Handler()
	case "desk":
		handler = standin.NewDesk().Handler()
	default:
		fmt.Fprintf(os.Stderr, "run: -kind is %q, not log, list, engine or desk\n", *kind)
		os.Exit(2)
	}
	server := &http.Server{Addr: *listen, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		os.Exit(1)
	}
}
