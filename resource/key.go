package resource

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
)

const (
	keySecretBytes = 24
	keyPrefix      = "cb_"
)

// Key lets callers act for one client account. Only the hash of its secret is kept.
type Key struct {
	Name    string `json:"-"`
	Account string
	// Hash is the hexadecimal SHA-256 of the secret.
	Hash string
	// Withdrawn is final: a withdrawn key is never accepted again.
	Withdrawn bool `json:",omitempty"`
}

// WithWithdrawn returns the key as withdrawn.
func (k Key) WithWithdrawn() Key {
	k.Withdrawn = true
	return k
}

func (k Key) named(name string) Key {
	k.Name = name
	return k
}

func (k Key) check() error {
	if k.Account == "" {
		return errors.New("Account is empty")
	}
	if raw, err := hex.DecodeString(k.Hash); err != nil || len(raw) != sha256.Size {
		return errors.New("Hash is not a hexadecimal SHA-256")
	}
	return nil
}

// NewSecret returns a random key secret, to be shown once.
func NewSecret() string {
	raw := make([]byte, keySecretBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// HashSecret returns the hash under which a secret is kept.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
