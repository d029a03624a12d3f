package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// oddEntries returns values that another writer may leave among the entries of replicas and VMs.
func oddEntries() map[string]string {
	// deep is the depth of the nested values, which are as long as a record may be.
	const deep = 40_000
	entry := func(address, slots string) string {
		return `{"service":"` + deskService + `","zone":"zone-a","version":"v1","slots":` + slots + `,"state":"ready","coldRemainingMs":0,"sequence":1,"address":` + address +
			`,"Address":` + address + `,"AvailabilityZone":"zone-a"}`
	}
	return map[string]string{
		"deep array":         strings.Repeat("[", deep) + strings.Repeat("]", deep),
		"deep object":        strings.Repeat(`{"service":`, deep) + "1" + strings.Repeat("}", deep),
		"deep unknown field": `{"unknown":` + strings.Repeat("[", deep) + strings.Repeat("]", deep) + `}`,
		"large number":       entry(`"127.0.0.1:9"`, "1e400"),
		"large integer":      entry(`"127.0.0.1:9"`, "92233720368547758080"),
		"port out of range":  entry(`"127.0.0.1:70000"`, "4"),
		"negative port":      entry(`"127.0.0.1:-1"`, "4"),
		"port 0":             entry(`"127.0.0.1:0"`, "4"),
		"named port":         entry(`"127.0.0.1:http"`, "4"),
		"no port":            entry(`"127.0.0.1"`, "4"),
		"IPv6 zone":          entry(`"[fe80::1%eth0]:80"`, "4"),
		"empty":              "",
		"null":               "null",
	}
}

// TestSiteOddEntryEndsTheVM guards against entries of another writer that end the VMs, or keep them from following the list.
func TestSiteOddEntryEndsTheVM(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	for name, value := range oddEntries() {
		s.store.Put("keyed.servers", "odd "+name, []byte(value))
		s.store.Put(topicVMs, "odd "+name, []byte(value))
	}
	// A VM does not read what others have read without a change.
	s.updateEntry("s-1", "slots", 47)
	time.Sleep(maxSitePropagationDelay)
	late := s.newVM("vm-late")
	s.start(late)
	s.awaitServing(late)
	s.vms = append(s.vms, late)
	time.Sleep(maxSitePropagationDelay)
	s.updateEntry("s-0", "state", "draining")
	time.Sleep(maxSitePropagationDelay)
	for _, v := range s.vms {
		for range 10 {
			a := s.send(v, siteRequest{path: "/status/a"})
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.Equal(t, "by s-1", a.header.Get("Response-Signature"), "the list is still followed")
		}
		assert.Empty(t, s.logLines(v, "Event=replica-listed", "odd"), "an entry that names no replica is not used")
		for _, name := range []string{"port out of range", "negative port", "port 0", "named port", "no port", "IPv6 zone"} {
			assert.Empty(t, s.logLines(v, "Event=vm-listed", "odd "+name), "a record without a usable address is not used")
		}
		assert.NotEmpty(t, s.logLines(v, "replica-entry-unreadable", "odd port out of range"), v.name)
	}
}
