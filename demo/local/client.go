package local

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

// maxLineSize is the longest line of a stream, in bytes.
const maxLineSize = 4 << 20

// Reply is the reply to a caller: either an answer or a refusal, and the streamed text.
type Reply struct {
	Answer     *router.Answer
	Refusal    *router.Refusal
	Text       string
	FirstChunk time.Duration // time until the first chunk of a stream, or 0 if there was none
	Duration   time.Duration // time until the whole reply was read
}

// Call is a request of a caller.
type Call struct {
	Key      string // API key of the team
	Pipeline wire.PipelineID
	Body     any           // encoded as JSON
	Token    wire.Token    // reservation of a non-repeatable request, or ""
	Stream   bool          // whether to request an event stream
	Deadline time.Duration // 0 selects the deadline of the pipeline
}

// Post sends a request to the router at url and reads the whole reply. A refusal is no
// error; an error means that the connection broke or that the reply is malformed.
func Post(ctx context.Context, url string, c Call) (rep *Reply, err error) {
	defer func() {
		if err != nil {
			rep, err = nil, fmt.Errorf("post %s: %w", c.Pipeline, err)
		}
	}()
	body, err := json.Marshal(c.Body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/pipelines/"+string(c.Pipeline), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if c.Token != "" {
		req.Header.Set("Reservation", string(c.Token))
	}
	if c.Deadline > 0 {
		req.Header.Set("Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	}
	if c.Stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	rep = &Reply{}
	if resp.StatusCode == http.StatusOK && c.Stream {
		err = rep.readEvents(resp.Body, start)
	} else {
		err = rep.readJSON(resp)
	}
	rep.Duration = time.Since(start)
	return rep, err
}

// readJSON decodes an answer or, with another status than 200, a refusal.
func (rep *Reply) readJSON(resp *http.Response) error {
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		rep.Answer = new(router.Answer)
		return dec.Decode(rep.Answer)
	}
	rep.Refusal = new(router.Refusal)
	return dec.Decode(rep.Refusal)
}

// readEvents reads an event stream, which must contain an answer or a refusal.
func (rep *Reply) readEvents(r io.Reader, start time.Time) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineSize)
	name := ""
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "event: "); ok {
			name = v
			continue
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if err := rep.handleEvent(name, []byte(data), start); err != nil {
			return err
		}
	}
	if rep.Answer == nil && rep.Refusal == nil {
		return errors.New("stream ended without an answer or a refusal")
	}
	return sc.Err()
}

// handleEvent decodes one event of a stream.
func (rep *Reply) handleEvent(name string, data []byte, start time.Time) error {
	switch name {
	case "chunk":
		var c struct {
			Text string `json:"text"`
		}
		if rep.FirstChunk == 0 {
			rep.FirstChunk = time.Since(start)
		}
		err := json.Unmarshal(data, &c)
		rep.Text += c.Text
		return err
	case "answer":
		rep.Answer = new(router.Answer)
		return json.Unmarshal(data, rep.Answer)
	case "refusal":
		rep.Refusal = new(router.Refusal)
		return json.Unmarshal(data, rep.Refusal)
	default:
		return fmt.Errorf("unknown event %q", name)
	}
}

// Reserve obtains a reservation token for one non-repeatable request to a pipeline.
func Reserve(ctx context.Context, url, key string, p wire.PipelineID) (tok wire.Token, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("reserve %s: %w", p, err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/pipelines/"+string(p)+"/reservations", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusCreated {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineSize))
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	var out struct {
		Token wire.Token `json:"token"`
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out.Token, err
}
