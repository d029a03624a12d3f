package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestForeignTextInsideAStream guards against text of an upstream that does not go on with a stream, between two events of it.
func TestForeignTextInsideAStream(t *testing.T) {
	whole := numberedEvents("\n", 1, 4)
	for name, text := range map[string]string{"text": "no such stream\n\nsorry\n\n", "page": "<html>\r\n\r\n</html>", "lines without data": "event: error\n\n"} {
		t.Run(name, func(t *testing.T) {
			body, complete := joinAnswers(t, 3, 100, func(n int, _ string) string {
				switch n {
				case 0:
					return chunkedAnswer(numberedEvents("\n", 1, 2), false)
				case 1:
					return "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nConnection: close\r\n\r\n" + text
				}
				return chunkedAnswer(numberedEvents("\n", 3, 4), true)
			})
			assert.True(t, complete)
			assert.Equal(t, whole, body)
		})
	}
}
