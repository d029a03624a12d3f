// Command run serves one of the test doubles of package standin.
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
	kind := flag.String("kind", "", "test double to run: log, list, engine or desk")
	listen := flag.String("listen", "127.0.0.1:0", "loopback address and port to listen on")
	retention := flag.Duration("retention", 0, "log: retention of records, 0 to keep them forever")
	lag := flag.Duration("lag", 0, "list: delay of changes; engine: maximum age of reports")
	prefillRate := flag.Float64("prefill-rate", 0, "engine: prefill throughput in prompt tokens per second")
	gap := flag.Duration("gap", 0, "engine: time between generated tokens")
	places := flag.Int("places", 0, "engine: number of decode slots")
	fencing := flag.Bool("fencing", false, "engine: reject orders with a stale fencing token")
	flag.Parse()
	var handler http.Handler
	switch *kind {
	case "log":
		handler = standin.NewLog(*retention).Handler()
	case "list":
		handler = standin.NewList(*lag).Handler()
	case "engine":
		handler = standin.NewEngine(standin.EngineConfig{PrefillRate: *prefillRate, TokenGap: *gap, DecodeSlots: *places, ReportLag: *lag, ChecksFencing: *fencing}).Handler()
	case "desk":
		handler = standin.NewDesk().Handler()
	default:
		fmt.Fprintf(os.Stderr, "run: unknown -kind %q, want log, list, engine or desk\n", *kind)
		os.Exit(2)
	}
	server := &http.Server{Addr: *listen, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		os.Exit(1)
	}
}
