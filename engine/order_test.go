package engine

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

func TestStaleOrdersAreRejected(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		e := standin.NewEngine(standin.EngineConfig{ChecksFencing: checksFencing})
		server := httptest.NewServer(e.Handler())
		c, closeClient := NewClient()
		order := func(fence uint64, value string) error {
			return c.Order(context.Background(), server.Listener.Addr().String(), fence, "LoadModel", value)
		}
		assert.NoError(t, order(7, "new"))
		err := order(3, "old")
		if checksFencing {
			assertKind(t, err, ErrFenced)
			assert.Equal(t, "new", e.Orders()["LoadModel"])
		} else {
			assert.NoError(t, err)
		}
		closeClient()
		server.Close()
	}
}
