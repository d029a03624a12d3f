package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"
)

// requestHashBytes is the length of the hash in the ID of a request. No caller can find another request with the same one.
const requestHashBytes = 16

// requestPrefix begins the IDs of whole requests.
const requestPrefix = "request/"

// RequestID returns the ID of a whole request. The parts of the request are hashed, so that nothing of a body is kept or logged.
func RequestID(account, method, host, target string, body []byte) string {
	h := sha256.New()
	for _, text := range []string{account, method, host, target} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(text)))
		_, _ = io.WriteString(h, text)
	}
	_, _ = h.Write(body)
	return requestPrefix + hex.EncodeToString(h.Sum(nil)[:requestHashBytes])
}

// isRequest reports whether an ID is that of a whole request.
func isRequest(id string) bool { return strings.HasPrefix(id, requestPrefix) }
