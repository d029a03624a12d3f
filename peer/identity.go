package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const nonceBytes = 16

// Identity identifies one run of the process on a VM.
type Identity struct {
	VM          string
	Incarnation string
}

func newNonce() string {
	raw := make([]byte, nonceBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// proof returns the HMAC of an identity, its side of the connection and both nonces. The nonces prevent replay, and
// the side ("client" or "server") prevents reflection.
func proof(secret, side string, id Identity, clientNonce, serverNonce string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(strings.Join([]string{side, id.VM, id.Incarnation, clientNonce, serverNonce}, "\x00")))
	return hex.EncodeToString(mac.Sum(nil))
}

func equalProofs(a, b string) bool { return hmac.Equal([]byte(a), []byte(b)) }
