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

// Key authenticates callers as a client account. Only the hash of its secret is stored.
type Key struct {
	Name    string `json:"-"`
	Account string
	// Hash is the hexadecimal SHA-256 of the secret.
	Hash string
	// Withdrawn marks a revoked key. It cannot be undone.
	Withdrawn bool `json:",omitempty"`
}

// AsWithdrawn returns a copy of the key with Withdrawn set.
func (k Key) AsWithdrawn() Key {
	k.Withdrawn = true
	return k
}

func (k Key) withNameAndDefaults(name string) Key {
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

// NewSecret generates a random key secret. It is shown to the operator once and never stored.
func NewSecret() string {
	raw := make([]byte, keySecretBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	return keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// HashSecret returns the hexadecimal SHA-256 of a secret.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
