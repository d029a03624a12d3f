package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

const (
	// topicVMs is the router's own topic, in which each VM writes the address at which its peers reach it.
	topicVMs         = "keyed.cassiabridge-vms"
	maxDatagramBytes = 64 << 10
	noCut            = -1
)

// mesh carries the datagrams between VMs. Each VM sends to ports of the mesh that stand for the others, and hears them from there.
type mesh struct {
	vms []*vm
	// stands holds, by receiver and sender, the port that stands for the sender at the receiver.
	stands [][]*net.UDPConn
	// cut is the index of the VM that is cut off from all others, or negative.
	cut atomic.Int64
}

// newMesh connects VMs, none of which has started. Each reads the store through a view in which the addresses of the others are those of
// the mesh.
func (s *site) newMesh(vms []*vm) (*mesh, error) {
	m := &mesh{vms: vms, stands: make([][]*net.UDPConn, len(vms))}
	m.cut.Store(noCut)
	for at := range vms {
		m.stands[at] = make([]*net.UDPConn, len(vms))
		replace := map[string]string{}
		for of := range vms {
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				return nil, err
			}
			m.stands[at][of] = conn
			if at != of {
				replace[vms[of].peers] = conn.LocalAddr().String()
			}
		}
		if err := s.viewStore(vms[at], replace); err != nil {
			return nil, err
		}
	}
	for at := range vms {
		for of := range vms {
			go m.carry(at, of)
		}
	}
	return m, nil
}

// carry passes the datagrams on that one VM sends to the port that stands for another VM.
func (m *mesh) carry(from, to int) {
	addr, err := net.ResolveUDPAddr("udp4", m.vms[to].peers)
	if err != nil {
		return
	}
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := m.stands[from][to].ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if cut := m.cut.Load(); cut != int64(from) && cut != int64(to) {
			_, _ = m.stands[to][from].WriteToUDP(buffer[:n], addr)
		}
	}
}

// viewStore gives a VM a port of the store at which the addresses of other VMs are replaced.
func (s *site) viewStore(v *vm, replace map[string]string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	view := &storeView{handler: s.store.Handler(), addresses: replace}
	server := &http.Server{Handler: view, ReadHeaderTimeout: readyTimeout}
	go func() { _ = server.Serve(listener) }()
	return s.writeSettings(v, listener.Addr().String())
}

// storeView serves a store. In the list of VMs it replaces addresses by others of the same length.
type storeView struct {
	handler   http.Handler
	addresses map[string]string
}

// ServeHTTP implements http.Handler.
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Query().Get("topic") != topicVMs {
		v.handler.ServeHTTP(w, r)
		return
	}
	recorder := &responseRecorder{header: w.Header(), status: http.StatusOK}
	v.handler.ServeHTTP(recorder, r)
	body := recorder.body.Bytes()
	if strings.HasSuffix(r.URL.Path, "log-newest") {
		body = v.replaceInItems(body)
	}
	w.WriteHeader(recorder.status)
	_, _ = w.Write(v.replace(body))
}

func (v *storeView) replace(data []byte) []byte {
	for address, by := range v.addresses {
		data = bytes.ReplaceAll(data, []byte(address), []byte(by))
	}
	return data
}

// replaceInItems replaces the address in the values of the newest records.
func (v *storeView) replaceInItems(body []byte) []byte {
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Value  []byte `json:"value"`
			Offset uint64 `json:"offset"`
		} `json:"items"`
		HasMore   bool   `json:"hasMore"`
		EndOffset uint64 `json:"endOffset"`
	}
	if json.Unmarshal(body, &page) != nil {
		return body
	}
	for i := range page.Items {
		page.Items[i].Value = v.replace(page.Items[i].Value)
	}
	replaced, err := json.Marshal(page)
	if err != nil {
		return body
	}
	return replaced
}

// responseRecorder keeps a response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }
