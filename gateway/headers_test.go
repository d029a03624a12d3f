package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSharedPartsOfAPrompt(t *testing.T) {
	scenarios := []struct {
		name, header string
		parts        []string
	}{
		{"all but the last are shared", "5c1e:800,91bd:410,e440:250", []string{"5c1e", "91bd"}},
		{"spaces and missing lengths", "5c1e , 91bd:410,e440", []string{"5c1e", "91bd"}},
		{"a single part is the request's own", "5c1e:800", nil},
		{"empty entries name no part", ",,:3,e440:250", nil},
		{"an ID that is too long is skipped", strings.Repeat("a", maxPartIDBytes+1) + ":1,5c1e:2,e440:3", []string{"5c1e"}},
		{"none", "", nil},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			info := NativeHeaders.readRequestInfo(http.Header{NativeHeaders.PromptParts: {scenario.header}})
			assert.Equal(t, scenario.parts, info.SharedParts)
		})
	}
	t.Run("their number is bounded", func(t *testing.T) {
		assert.Len(t, parseSharedParts(strings.Repeat("a:1,", 10*maxSharedParts)), maxSharedParts)
	})
}
