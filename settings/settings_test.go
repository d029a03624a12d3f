package settings

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validSettings = `{
  // A comment.
  "VM": "vm-1", "AvailabilityZone": "zone-a",
  "Platform": {"Log": "http://127.0.0.1:1", "List": "http://127.0.0.1:2"},
  "Access": {"PeerSecret": "0123456789abcdef"},
}`

func TestParse(t *testing.T) {
	cfg, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	assert.Equal(t, "vm-1", cfg.VM)
	assert.Equal(t, 2000, cfg.Timing.FreshnessMillis)
	assert.Equal(t, "127.0.0.1:8080", cfg.Listen.Callers)
}

func TestErrorsHavePositions(t *testing.T) {
	_, err := Parse([]byte(`{
  "VM": "vm-1",
  "Listen": {"Callers": "somewhere"},
  "Platform": {"Log": "ftp://x", "List": "http://127.0.0.1:2"},
  "Access": {"PeerSecret": "short", "Operators": [{"Nme": "x"}]},
  "Timing": {"FreshnessMillis": 1},
  "Log": {"Level": "loud"}
}`))
	var settingsErr *Error
	require.ErrorAs(t, err, &settingsErr)
	lines := map[string]int{}
	for _, fieldErr := range settingsErr.FieldErrors {
		lines[fieldErr.Field] = fieldErr.Line
	}
	assert.Equal(t, map[string]int{
		"AvailabilityZone": 0, "Listen.Callers": 3, "Platform.Log": 4, "Access.PeerSecret": 5, "Access.Operators.0.Nme": 5,
		"Access.Operators.0": 5, "Timing.FreshnessMillis": 6, "Log.Level": 7,
	}, lines)
	assert.ErrorContains(t, err, "1 is outside 200 to 60000")
}

func TestMalformedSettings(t *testing.T) {
	for _, text := range []string{"", "{", "[]", `{"VM": 3}`, `{"Timing": {"LoanMillis": "x"}}`} {
		_, err := Parse([]byte(text))
		assert.Error(t, err, text)
	}
}

func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	assert.Equal(t, Page(), string(page), "run: cassiabridge check -page > docs/SETTINGS.md")
}
