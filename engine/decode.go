package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
)

const maxLineBytes = 1 << 20

// DecodeRequest asks an engine to import a KV cache and to generate tokens from it.
type DecodeRequest struct {
	Attempt string
	Model   string
	Prompt  string
	// Generated is the output so far. The first new token has index FirstIndex.
	Generated  string
	FirstIndex int
	// MaxTokens limits the output in tokens, including Generated.
	MaxTokens int
	// Source is the address of the prefill engine, and SourceAttempt identifies the prefill there.
	Source        string
	SourceAttempt string
}

// Token is one generated token.
type Token struct {
	Index int
	Text  string
}

// FinishReason is the reason why an engine stopped generating.
type FinishReason string

type decodeMessage struct {
	Attempt       string
	Model         string
	Prompt        string
	Generated     string `json:",omitempty"`
	FirstIndex    int
	MaxTokens     int
	Source        string
	SourceAttempt string
}

// streamLine is one line of a decode response: a token, or the end of the stream if Finish is set.
type streamLine struct {
	Attempt string
	Index   int
	Text    string       `json:",omitempty"`
	Finish  FinishReason `json:",omitempty"`
}

// Decode generates tokens and calls emit for each in order. It returns the finish reason at the end of
// the stream. A stream that ends early is an error, and an error of emit is returned unchanged.
func (c *Client) Decode(ctx context.Context, addr string, r DecodeRequest, emit func(Token) error) (FinishReason, error) {
	return c.stream(ctx, "decode", "http://"+addr+"/decode", decodeMessage(r), r.Attempt, r.FirstIndex, emit)
}

// Resume continues a decode whose connection was lost, starting at the token with index next.
func (c *Client) Resume(ctx context.Context, addr, attempt string, next int, emit func(Token) error) (FinishReason, error) {
	query := url.Values{"Attempt": {attempt}, "From": {fmt.Sprint(next)}}
	return c.stream(ctx, "resume", "http://"+addr+"/stream?"+query.Encode(), nil, attempt, next, emit)
}

func (c *Client) stream(ctx context.Context, op, url string, body any, attempt string, next int, emit func(Token) error) (FinishReason, error) {
	resp, err := c.send(ctx, op, url, body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	lines := bufio.NewReaderSize(resp.Body, 4096)
	for {
		line, err := readLine(lines)
		if err != nil {
			return "", &Error{Op: op, Kind: ErrBroken, Err: err}
		}
		if line.Attempt != attempt {
			return "", &Error{Op: op, Kind: ErrBroken, Err: fmt.Errorf("line is for attempt %q", line.Attempt)}
		}
		if line.Finish != "" {
			return line.Finish, nil
		}
		if line.Index != next {
			return "", &Error{Op: op, Kind: ErrBroken, Err: fmt.Errorf("token %d came in place of %d", line.Index, next)}
		}
		next++
		if err := emit(Token{Index: line.Index, Text: line.Text}); err != nil {
			return "", err
		}
	}
}

func readLine(r *bufio.Reader) (streamLine, error) {
	var data []byte
	for {
		part, isPrefix, err := r.ReadLine()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return streamLine{}, err
		}
		data = append(data, part...)
		if len(data) > maxLineBytes {
			return streamLine{}, fmt.Errorf("line is longer than %d bytes", maxLineBytes)
		}
		if !isPrefix {
			break
		}
	}
	var line streamLine
	return line, json.Unmarshal(data, &line)
}
