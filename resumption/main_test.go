package resumption

import (
	"testing"

	"github.com/cassiabridge/cassiabridge/standin/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, "500") }
