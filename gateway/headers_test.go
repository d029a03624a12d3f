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

func TestRequestLimits(t *testing.T) {
	scenarios := []struct {
		name    string
		values  []string
		limit   float64
		invalid string
	}{
		{"none", nil, 0, ""},
		{"a decimal number", []string{" 2.2 "}, 2.2, ""},
		{"the lowest of many", []string{"7", "x", "3"}, 3, "x"},
		{"zero", []string{"0"}, minRequestLimit, ""},
		{"negative", []string{"-1"}, 0, "-1"},
		{"no number", []string{"NaN"}, 0, "NaN"},
		{"infinite", []string{"Inf"}, 0, "Inf"},
		{"huge", []string{"1e300"}, 0, "1e300"},
		{"long", []string{strings.Repeat("y", 1000)}, 0, strings.Repeat("y", maxLoggedLimitBytes)},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			info := NativeHeaders.readResponseInfo(http.StatusOK, http.Header{NativeHeaders.RequestLimit: scenario.values})
			assert.Equal(t, scenario.limit, info.RequestLimit)
			assert.Equal(t, scenario.invalid, info.InvalidLimit)
		})
	}
}
